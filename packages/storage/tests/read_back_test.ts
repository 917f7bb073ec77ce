import {
  ErrorCode,
  ManualClock,
  MemoryEventLog,
  SavoryspurError,
} from '@savoryspur/common';
import {
  type TableService,
  transactWithReadBack,
  TransactionOutcome,
} from '@savoryspur/storage';
import type {Row, Transaction, TransactionAnswer} from '@savoryspur/schema';
import {expect} from 'chai';
import {errAsync, okAsync, type ResultAsync} from 'neverthrow';

/** Faults of a transaction on the fake table. */
enum Fault {
  NONE,
  /** The table commits, and its answer is lost. */
  LOST_ANSWER,
  /** The request does not reach the table. */
  LOST_REQUEST,
}

const AMBIGUOUS = new SavoryspurError(
  ErrorCode.AMBIGUOUS,
  {step: 'table.transact', peer: 'fake'},
  'no answer',
);

/** Table service with one row; its transactions have the given faults in turn. */
class FakeTable implements TableService {
  row: Row | undefined;
  writes = 0;

  constructor(private readonly faults: Fault[]) {}

  read(): ResultAsync<Row[], SavoryspurError> {
    return okAsync(this.row ? [this.row] : []);
  }

  scan(): ResultAsync<Row[], SavoryspurError> {
    return this.read();
  }

  transact(
    transaction: Transaction,
  ): ResultAsync<TransactionAnswer, SavoryspurError> {
    const fault = this.faults.shift() ?? Fault.NONE;
    if (fault === Fault.LOST_REQUEST) return errAsync(AMBIGUOUS);
    const [condition] = transaction.conditions;
    const [write] = transaction.writes;
    const committed = condition!.version === (this.row?.version ?? 0);
    if (committed) {
      this.writes += 1;
      const version = (this.row?.version ?? 0) + 1;
      this.row = {key: write!.key, version, value: write!.value};
    }
    if (fault === Fault.LOST_ANSWER) return errAsync(AMBIGUOUS);
    return okAsync({committed, version: this.row?.version ?? 0});
  }
}

const TRANSACTION: Transaction = {
  conditions: [{key: 'k', version: 0}],
  writes: [{key: 'k', value: {nonce: 'mine'}}],
};

/** Runs the transaction on a table and returns its outcome; the clock advances as often as needed. */
async function run(table: FakeTable): Promise<TransactionOutcome> {
  const clock = new ManualClock();
  let isDone = false;
  const outcome = transactWithReadBack(
    {table, clock, log: new MemoryEventLog()},
    TRANSACTION,
  );
  void outcome.then(() => {
    isDone = true;
  });
  while (!isDone) {
    await new Promise((resolve) => setImmediate(resolve));
    clock.advance(1000);
  }
  return (await outcome)._unsafeUnwrap();
}

describe('transactWithReadBack', () => {
  it('commits exactly once when the answer is lost', async () => {
    const table = new FakeTable([Fault.LOST_ANSWER]);
    expect(await run(table)).to.equal(TransactionOutcome.COMMITTED);
    expect(table.writes).to.equal(1);
  });

  it('commits exactly once when two requests are lost', async () => {
    const table = new FakeTable([Fault.LOST_REQUEST, Fault.LOST_REQUEST]);
    expect(await run(table)).to.equal(TransactionOutcome.COMMITTED);
    expect(table.writes).to.equal(1);
  });

  it('reports a conflict after a lost request', async () => {
    const table = new FakeTable([Fault.LOST_REQUEST]);
    table.row = {key: 'k', version: 7, value: {nonce: 'theirs'}};
    expect(await run(table)).to.equal(TransactionOutcome.CONFLICT);
    expect(table.writes).to.equal(0);
  });
});
