import {MemoryEventLog, ServingEvent, SystemClock} from '@savoryspur/common';
import {expect} from 'chai';
import {okAsync, ResultAsync} from 'neverthrow';
import type {RowChanges, RowStore, TableRow} from '../src/store/row_store.js';
import {TableFollower} from '../src/store/table_follower.js';

/** Creates the row with the version as its key. */
function createRow(version: number): TableRow {
  const key = `row-${version}`;
  return {table: 't', part: '', key, value: Buffer.from('v'), version};
}

/** Store with two rows in its snapshot, and two in each of two later changes. */
class FakeStore implements Pick<RowStore, 'read' | 'watch'> {
  /** {@inheritDoc RowStore.read} */
  read() {
    const rows = [createRow(1), createRow(2)];
    return okAsync({rows, hasMore: false, version: 2});
  }

  /** {@inheritDoc RowStore.watch} */
  watch(table: string, after: number) {
    const version = after + 2;
    const changes: RowChanges = {
      rows: [createRow(after + 1), createRow(version)],
      version,
    };
    if (version <= 6) return okAsync(changes);
    return ResultAsync.fromSafePromise(
      new Promise<RowChanges>(() => undefined),
    );
  }
}

describe('TableFollower', () => {
  const cases: Array<{name: string; failing: string[]; failures: number}> = [
    {name: 'a row of the snapshot', failing: ['row-1'], failures: 1},
    {name: 'a row of a change', failing: ['row-3'], failures: 1},
    {
      name: 'all rows',
      failing: ['row-1', 'row-2', 'row-3', 'row-4', 'row-5', 'row-6'],
      failures: 6,
    },
    {name: 'the end of each answer', failing: ['finish'], failures: 3},
  ];
  for (const {name, failing, failures} of cases) {
    it(`follows a table whose listener fails on ${name}`, async () => {
      const log = new MemoryEventLog();
      const applied: string[] = [];
      const call = (step: string): void => {
        if (failing.includes(step)) throw new Error(`failed on ${step}`);
        applied.push(step);
      };
      const follower = new TableFollower({
        table: 't',
        store: new FakeStore() as unknown as RowStore,
        clock: new SystemClock(),
        log,
        isSinglePartition: true,
        listener: {apply: ({key}) => call(key), finish: () => call('finish')},
      });
      void follower.run(new AbortController().signal);
      const isDone = (): boolean => follower.getVersion() === 6;
      for (let turn = 0; turn < 50 && !isDone(); turn += 1)
        await new Promise((resolve) => setImmediate(resolve));
      expect(follower.getVersion()).to.equal(6);
      const steps = [
        'row-1',
        'row-2',
        'finish',
        'row-3',
        'row-4',
        'finish',
        'row-5',
        'row-6',
        'finish',
      ];
      expect(applied).to.deep.equal(
        steps.filter((step) => !failing.includes(step)),
      );
      const failed = log.records.filter(
        ({event}) => event === ServingEvent.UNEXPECTED_FAILURE,
      );
      expect(failed).to.have.length(failures);
      expect(failed[0]?.fields.table).to.equal('t');
      expect(failed[0]?.fields.reason).to.match(/^failed on /);
    });
  }
});
