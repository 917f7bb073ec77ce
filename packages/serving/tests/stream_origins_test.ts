import {
  ErrorCode,
  ManualClock,
  MemoryEventLog,
  SavoryspurError,
} from '@savoryspur/common';
import {expect} from 'chai';
import {errAsync, okAsync} from 'neverthrow';
import {StreamOrigins} from '../src/online/stream_origins.js';
import {
  type ListedVersion,
  ServerReadOutcome,
} from '../src/service_registry.js';
import type {RowStore, TableRow} from '../src/store/row_store.js';

const SERVICE = 'model';

/** Time after which a look-up has an answer, milliseconds. */
const MAX_LOOKUP_MS = 2000;

const STEP_MS = 50;

const ATTEMPT_ID = 'attempt-1';

const ORIGIN = {service: SERVICE, softwareVersion: 'v2'};

/** Store with the rows of one other daemon. */
class RowsOfOne {
  isAvailable = true;
  value: Buffer | undefined;

  read(range: {part: string}): ReturnType<RowStore['read']> {
    if (!this.isAvailable) {
      const origin = {step: 'read', peer: 'store'};
      return errAsync(new SavoryspurError(ErrorCode.UNAVAILABLE, origin, ''));
    }
    const row: TableRow = {
      table: 'stream_origins',
      part: '0',
      key: 'other',
      value: this.value,
      version: 1,
    };
    const rows = this.value && range.part === '0' ? [row] : [];
    return okAsync({rows, hasMore: false, version: 1});
  }

  transact(): ReturnType<RowStore['transact']> {
    return okAsync({isCommitted: true, conflicts: []});
  }

  now(): number {
    return 0;
  }
}

describe('StreamOrigins.find', () => {
  let clock: ManualClock;
  let store: RowsOfOne;
  let versions: ListedVersion[];
  let outcome: ServerReadOutcome;
  let isOutageShared: boolean;
  /** Versions that a read of the store adds. */
  let newVersions: string[];
  let origins: StreamOrigins;
  let stop: AbortController;

  beforeEach(async () => {
    clock = new ManualClock();
    store = new RowsOfOne();
    versions = [];
    newVersions = [];
    addVersion('v1');
    isOutageShared = false;
    stop = new AbortController();
    origins = new StreamOrigins({
      host: 'host-1',
      store: store as unknown as RowStore,
      clock,
      log: new MemoryEventLog(),
      registry: {
        listVersions: () => versions,
        readVersions: () => {
          newVersions.forEach(addVersion);
          return Promise.resolve(outcome);
        },
      },
      isOutageShared: () => isOutageShared,
      countDaemons: () => 3,
      random: () => 0,
    });
    void origins.run(stop.signal);
    await advance(STEP_MS);
  });

  afterEach(() => stop.abort());

  function addVersion(softwareVersion: string): void {
    versions.push({service: SERVICE, softwareVersion, listedMs: clock.now()});
  }

  /** Lets time pass in steps, in which pending work proceeds. */
  async function advance(ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
      await new Promise((resolve) => setImmediate(resolve));
      clock.advance(STEP_MS);
    }
    await new Promise((resolve) => setImmediate(resolve));
  }

  /** Publishes the stream as one of another daemon. */
  function publish(): void {
    const other = new StreamOrigins({
      host: 'other',
      store: {
        ...store,
        now: () => 0,
        read: () => okAsync({rows: [], hasMore: false, version: 1}),
        transact: ({writes}: {writes: Array<{value: Buffer}>}) => {
          store.value = writes[0]?.value;
          return okAsync({isCommitted: true, conflicts: []});
        },
      } as unknown as RowStore,
      clock,
      log: new MemoryEventLog(),
      registry: {
        listVersions: () => [...versions, {...ORIGIN, listedMs: clock.now()}],
        readVersions: () => Promise.resolve(ServerReadOutcome.UNCHANGED),
      },
      isOutageShared: () => false,
      countDaemons: () => 3,
      random: () => 0,
    });
    void other.run(stop.signal);
    other.record(ATTEMPT_ID, ORIGIN, clock.now() + 60_000);
  }

  const {UNCHANGED, CHANGED, FAILED} = ServerReadOutcome;
  const cases = [
    {name: 'no further version', read: UNCHANGED, kind: 'any'},
    {name: 'other servers of its version', read: CHANGED, kind: 'any'},
    {
      name: 'other servers, while rows cannot be read',
      read: CHANGED,
      areRowsAway: true,
      kind: 'unknown',
    },
    {name: 'a new version', read: CHANGED, added: ['v2'], kind: 'unknown'},
    {
      name: 'a new version from a watch during the read',
      read: UNCHANGED,
      added: ['v2'],
      kind: 'unknown',
    },
    {
      name: 'a new version that began the stream',
      read: CHANGED,
      added: ['v2'],
      isPublished: true,
      kind: 'known',
    },
    {name: 'nothing, alone', read: FAILED, kind: 'unknown'},
    {
      name: 'nothing, with all others',
      read: FAILED,
      isShared: true,
      areRowsAway: true,
      kind: 'any',
    },
  ];
  for (const entry of cases) {
    it(`gives ${entry.kind} when a daemon that knows one version learns of ${entry.name}`, async () => {
      outcome = entry.read;
      newVersions = entry.added ?? [];
      isOutageShared = entry.isShared ?? false;
      if (entry.isPublished) {
        publish();
        await advance(STEP_MS);
      }
      store.isAvailable = !entry.areRowsAway;
      const lookup = origins.find(ATTEMPT_ID, [SERVICE]);
      await advance(MAX_LOOKUP_MS);
      expect((await lookup).kind).to.equal(entry.kind);
    });
  }

  it('shares one read among the look-ups that wait for it', async () => {
    let reads = 0;
    outcome = UNCHANGED;
    newVersions = {
      forEach: () => {
        reads += 1;
      },
    } as unknown as string[];
    const lookups = Array.from({length: 20}, (none, index) =>
      origins.find(`attempt-${index}`, [SERVICE]),
    );
    await advance(MAX_LOOKUP_MS);
    await Promise.all(lookups);
    expect(reads).to.be.at.most(2);
  });
});
