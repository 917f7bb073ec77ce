import {
  ErrorCode,
  ManualClock,
  MemoryEventLog,
  SavoryspurError,
  ServingEvent,
} from '@savoryspur/common';
import {expect} from 'chai';
import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import {PromptQuarantine} from '../src/online/prompt_quarantine.js';
import type {
  RowChanges,
  RowStore,
  RowTransaction,
  TableRow,
} from '../src/store/row_store.js';

/** Time between two crashes, milliseconds. */
const CRASH_PERIOD_MS = 1000;

/** Time for which a run takes until its server crashes, milliseconds. */
const RUN_MS = 100;

/** Time in which all rows are written and read, milliseconds. */
const SYNC_MS = 500;

/** Store of one table in memory. */
class MemoryTable implements RowStore {
  readonly rows = new Map<string, TableRow>();
  isAvailable = true;
  writes = 0;
  private version = 0;

  /**
   * @param clock - source of time
   */
  constructor(private readonly clock: ManualClock) {}

  /** Writes and removes rows. */
  transact({writes, removals = []}: RowTransaction) {
    if (!this.isAvailable) return errAsync(createUnavailable());
    this.version += 1;
    for (const {key, value, ...name} of writes) {
      this.writes += 1;
      this.rows.set(key, {...name, key, value, version: this.version});
    }
    for (const name of removals) {
      const row = {...name, value: undefined, version: this.version};
      this.rows.set(name.key, row);
    }
    return okAsync({isCommitted: true, conflicts: []});
  }

  /** Reads all rows. */
  read() {
    if (!this.isAvailable) return errAsync(createUnavailable());
    const rows = [...this.rows.values()].filter((row) => row.value);
    return okAsync({rows, hasMore: false, version: this.version});
  }

  /** Lists the one partition. */
  listParts() {
    return okAsync<string[], SavoryspurError>(['']);
  }

  /** Returns the changes after a version at the next millisecond. */
  watch(table: string, after: number) {
    if (!this.isAvailable) return errAsync(createUnavailable());
    return ResultAsync.fromSafePromise(this.clock.sleep(1)).map(
      (): RowChanges => {
        const rows = [...this.rows.values()];
        return {
          rows: rows.filter(({version}) => version > after),
          version: this.version,
        };
      },
    );
  }

  /** Reads the clock of the store, which differs from that of the daemons. */
  now() {
    return this.clock.now() + 5_000_000;
  }
}

function createUnavailable(): SavoryspurError {
  const origin = {step: 'store', peer: 'store'};
  return new SavoryspurError(ErrorCode.UNAVAILABLE, origin, 'unavailable');
}

/** Daemons that share one table. */
class Fleet {
  readonly clock = new ManualClock();
  readonly table = new MemoryTable(this.clock);
  readonly log = new MemoryEventLog();
  private readonly stop = new AbortController();

  /** Starts the quarantine of a daemon. */
  add(host: string): PromptQuarantine {
    const quarantine = new PromptQuarantine({
      host,
      store: this.table,
      clock: this.clock,
      log: this.log,
      countDaemons: () => 3,
      random: () => 0.5,
    });
    void quarantine.run(this.stop.signal);
    return quarantine;
  }

  /** Ends the tasks of all daemons. */
  close(): void {
    this.stop.abort();
  }

  /** Advances the time in small steps, so that rows are written and read. */
  async advance(ms: number): Promise<void> {
    for (let elapsed = 0; elapsed < ms; elapsed += 10) {
      this.clock.advance(10);
      for (let turn = 0; turn < 10; turn += 1) {
        await new Promise((resolve) => setImmediate(resolve));
      }
    }
  }

  /** Records one crash at each of the given daemons in turn. */
  async recordCrashes(
    quarantines: readonly PromptQuarantine[],
    ...parts: string[]
  ): Promise<void> {
    for (const quarantine of quarantines) {
      await this.advance(CRASH_PERIOD_MS);
      const nowMs = this.clock.now();
      const request = {fingerprint: `request-${nowMs}`, parts};
      quarantine.recordCrash(request, `s-${nowMs}`, nowMs - RUN_MS, nowMs);
    }
    await this.advance(SYNC_MS);
  }
}

describe('PromptQuarantine', () => {
  let fleet: Fleet;
  let first: PromptQuarantine;
  let second: PromptQuarantine;
  let third: PromptQuarantine;

  beforeEach(async () => {
    fleet = new Fleet();
    first = fleet.add('h1');
    second = fleet.add('h2');
    third = fleet.add('h3');
    await fleet.advance(SYNC_MS);
  });
  afterEach(() => fleet.close());

  it('refuses on all daemons a part that crashed one server at each of them', async () => {
    await fleet.recordCrashes([first, second], 'bad');
    expect(third.isQuarantined(['bad'])).to.equal(false);
    await fleet.recordCrashes([third], 'bad');
    for (const quarantine of [first, second, third]) {
      expect(quarantine.isQuarantined(['a', 'bad'])).to.equal(true);
      expect(quarantine.isQuarantined(['a'])).to.equal(false);
      expect(quarantine.isQuarantined([])).to.equal(false);
    }
    const events = fleet.log.records.map(({event}) => event);
    expect(events).to.include(ServingEvent.PARTS_QUARANTINED);
  });

  it('counts no crash from before a sound answer that another daemon saw', async () => {
    await fleet.recordCrashes([first, second], 'a');
    third.recordSound(['a']);
    await fleet.advance(SYNC_MS);
    await fleet.recordCrashes([first], 'a');
    expect(first.isQuarantined(['a'])).to.equal(false);
    expect(second.isQuarantined(['a'])).to.equal(false);
  });

  it('releases a part on all daemons after a sound answer', async () => {
    await fleet.recordCrashes([first, second, third], 'a');
    expect(first.isQuarantined(['a'])).to.equal(true);
    second.recordSound(['a']);
    await fleet.advance(SYNC_MS);
    expect(first.isQuarantined(['a'])).to.equal(false);
    const events = fleet.log.records.map(({event}) => event);
    expect(events).to.include(ServingEvent.PARTS_RELEASED);
  });

  it('is kept when all daemons are killed and start again', async () => {
    await fleet.recordCrashes([first, second, third], 'bad');
    fleet.close();
    const next = new Fleet();
    for (const [key, row] of fleet.table.rows) next.table.rows.set(key, row);
    await next.advance(fleet.clock.now());
    const restarted = next.add('h1');
    await next.advance(SYNC_MS);
    expect(restarted.isQuarantined(['bad'])).to.equal(true);
    await next.recordCrashes([restarted], 'other');
    expect(restarted.isQuarantined(['bad'])).to.equal(true);
    const row = next.table.rows.get('h1')?.value?.toString() ?? '';
    expect(row).to.include('"bad"');
    next.close();
  });

  it('publishes the crashes that it saw while the store was unavailable', async () => {
    fleet.table.isAvailable = false;
    await fleet.recordCrashes([first, first, first], 'bad');
    expect(first.isQuarantined(['bad'])).to.equal(true);
    expect(second.isQuarantined(['bad'])).to.equal(false);
    fleet.table.isAvailable = true;
    await fleet.advance(2 * SYNC_MS);
    expect(second.isQuarantined(['bad'])).to.equal(true);
  });

  it('ends after its term, and one more crash starts it again', async () => {
    await fleet.recordCrashes([first, second, third], 'bad');
    await fleet.advance(120_000);
    expect(first.isQuarantined(['bad'])).to.equal(false);
    await fleet.recordCrashes([second], 'bad');
    expect(first.isQuarantined(['bad'])).to.equal(true);
  }).timeout(20_000);

  it('writes nothing for parts under which no server crashed', async () => {
    for (let answer = 0; answer < 100; answer += 1) first.recordSound(['a']);
    await fleet.advance(SYNC_MS);
    expect(fleet.table.writes).to.equal(0);
  });

  it('writes a sound part on one daemon when all see it', async () => {
    await fleet.recordCrashes([first], 'a');
    const before = fleet.table.writes;
    first.recordSound(['a']);
    await fleet.advance(100);
    for (const quarantine of [second, third]) quarantine.recordSound(['a']);
    await fleet.advance(SYNC_MS);
    expect(fleet.table.writes).to.equal(before + 1);
  });
});
