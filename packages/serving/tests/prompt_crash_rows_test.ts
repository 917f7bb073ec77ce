import {ManualClock, MemoryEventLog, ServingEvent} from '@savoryspur/common';
import {expect} from 'chai';
import {okAsync} from 'neverthrow';
import {PromptQuarantine} from '../src/online/prompt_quarantine.js';
import type {
  RowPage,
  RowStore,
  RowTransaction,
  RowWrite,
  TableRow,
  TransactionOutcome,
} from '../src/store/row_store.js';

/** Maximum size of a row of the store, bytes. */
const MAX_ROW_BYTES = 65_536;

/** Number of crashes of one daemon: more than it publishes. */
const CRASHES = 20;

/** Store with an empty table that keeps what is written. */
class FakeStore implements Pick<RowStore, 'transact' | 'read' | 'now'> {
  readonly writes: RowWrite[] = [];

  /**
   * @param clock - source of time
   */
  constructor(private readonly clock: ManualClock) {}

  /** {@inheritDoc RowStore.transact} */
  transact(transaction: RowTransaction) {
    this.writes.push(...transaction.writes);
    const outcome: TransactionOutcome = {isCommitted: true, conflicts: []};
    return okAsync(outcome);
  }

  /** {@inheritDoc RowStore.read} */
  read() {
    const page: RowPage = {rows: [], hasMore: false, version: 1};
    return okAsync(page);
  }

  /** {@inheritDoc RowStore.now} */
  now(): number {
    return this.clock.now();
  }
}

/** Creates the quarantine of one daemon, which has read the empty table. */
function createQuarantine() {
  const clock = new ManualClock();
  const log = new MemoryEventLog();
  const store = new FakeStore(clock);
  const quarantine = new PromptQuarantine({
    host: 'host-1',
    store: store as unknown as RowStore,
    clock,
    log,
    countDaemons: () => 2,
    random: () => 0.5,
  });
  quarantine.finish();
  return {clock, log, store, quarantine};
}

const CASES = [
  {name: 'an empty name', parts: (): string[] => ['', 'a1']},
  {
    name: 'names as long as the headers of a request may be',
    parts: (index: number): string[] => [
      'a'.repeat(8000),
      `${index}`.padEnd(8000, 'b'),
    ],
  },
];

describe('rows of crashes that peers cannot read', () => {
  for (const {name, parts} of CASES) {
    it(`because a prompt part has ${name}`, async () => {
      const {clock, log, store, quarantine} = createQuarantine();
      for (let index = 0; index < CRASHES; index += 1) {
        clock.advance(1000);
        const endedMs = clock.now();
        const request = {fingerprint: `f-${index}`, parts: parts(index)};
        quarantine.recordCrash(request, `s-${index}`, endedMs - 10, endedMs);
        await new Promise((resolve) => setImmediate(resolve));
      }
      expect(store.writes).to.not.equal([]);
      for (const {table, part, key, value} of store.writes) {
        expect(value.length, 'size').to.be.at.most(MAX_ROW_BYTES);
        const row: TableRow = {table, part, key: `${key}-2`, value, version: 2};
        quarantine.apply(row);
      }
      const rejected = log.records.filter(
        ({event}) => event === ServingEvent.DOCUMENT_REJECTED,
      );
      expect(rejected).to.deep.equal([]);
    });
  }
});
