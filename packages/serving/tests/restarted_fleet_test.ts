import {ManualClock, MemoryEventLog} from '@savoryspur/common';
import type {PeerInfo} from '@savoryspur/schema';
import {expect} from 'chai';
import {okAsync} from 'neverthrow';
import {createStopController} from '../src/create_stop_controller.js';
import {RequestQuarantine} from '../src/online/request_quarantine.js';
import {Membership} from '../src/peers/membership.js';
import {OwnerDirectory} from '../src/peers/owner_directory.js';
import type {RowStore, TableRow} from '../src/store/row_store.js';
import {createPeer} from './support/create_peer.js';

const HOSTS = 24;

/** When all daemons are killed, milliseconds; they have been stable for long. */
const KILLED_MS = 12_000;

/** When the first of them is back, milliseconds; the others follow within {@link STARTS_SPREAD_MS}. */
const RESTARTED_MS = 13_000;
const STARTS_SPREAD_MS = 300;

/** Time after the first start by which all daemons agree on the owners, milliseconds. */
const AGREED_AFTER_MS = 900;

/** Time for which the owners stay the same, milliseconds: beyond that in which a daemon counts as recently started. */
const COMPARED_FOR_MS = 9000;

/** Interval between the calls of a daemon to the owner of a key, milliseconds. */
const STEP_MS = 20;

const KEYS = ['places:chat', 'places:lookup', 'limits'];

/** Load: all daemons are killed at once, and start again while the rows of the former incarnations are still there. */
describe('a fleet whose daemons were all killed', () => {
  const cases = [
    {name: 'and all are back', lost: 0},
    {name: 'and some stay away', lost: 3},
  ];
  for (const {name, lost} of cases) {
    it(`agrees on the owners soon and keeps them, ${name}`, async () => {
      const clock = new ManualClock();
      const store = createStore(clock);
      const running = new Map<string, Daemon>();
      const start = (index: number, incarnation: string): void => {
        const self = createHost(index, incarnation);
        running.set(self.host, new Daemon(self, store, clock));
      };
      for (let index = 0; index < HOSTS; index += 1) start(index, 'former');
      const seen = new Map<string, Set<string>>();
      const untilMs = RESTARTED_MS + COMPARED_FOR_MS;
      for (let nowMs = 0; nowMs <= untilMs; nowMs += STEP_MS) {
        clock.advance(STEP_MS);
        await new Promise(setImmediate);
        if (nowMs === KILLED_MS) {
          for (const daemon of running.values()) daemon.kill();
          running.clear();
        }
        for (let index = lost; index < HOSTS; index += 1) {
          const startMs = RESTARTED_MS + (index / HOSTS) * STARTS_SPREAD_MS;
          if (nowMs >= startMs && nowMs < startMs + STEP_MS)
            start(index, 'next');
        }
        for (const daemon of running.values()) {
          for (const key of KEYS) {
            const owner = daemon.callOwner(key, running);
            if (nowMs < RESTARTED_MS + AGREED_AFTER_MS) continue;
            if (owner === undefined) continue;
            seen.set(key, (seen.get(key) ?? new Set()).add(owner));
          }
        }
      }
      for (const daemon of running.values()) daemon.kill();
      for (const key of KEYS) expect([...seen.get(key)!]).to.have.length(1);
    });
  }
});

function createHost(index: number, incarnation: string): PeerInfo {
  const zone = `zone-${index % 3}`;
  return {...createPeer(`host-${index}`, zone), incarnation};
}

/** Membership and owner directory of one daemon. */
class Daemon {
  private readonly stop = createStopController();
  private readonly directory: OwnerDirectory;
  private readonly owners = new Map<string, PeerInfo>();

  constructor(
    readonly self: PeerInfo,
    store: RowStore,
    clock: ManualClock,
  ) {
    const members = new Membership({
      self,
      cores: 1,
      store,
      clock,
      log: new MemoryEventLog(),
      quarantine: new RequestQuarantine(clock),
      isCutOff: () => false,
    });
    this.directory = new OwnerDirectory(members, clock);
    void members.run(this.stop.signal);
  }

  kill(): void {
    this.stop.abort();
  }

  /** Calls the owner of a key as a session does; returns the present owner, if one has answered. */
  callOwner(key: string, running: ReadonlyMap<string, Daemon>) {
    const owner = this.directory.find(key);
    if (!owner) this.owners.delete(key);
    if (!owner) return undefined;
    const found = running.get(owner.host);
    if (found?.self.incarnation === owner.incarnation) {
      this.directory.recordAnswer(owner);
      this.owners.set(key, owner);
    } else if (found) this.directory.recordEnd(owner);
    else this.directory.recordFailure(owner);
    const known = this.owners.get(key);
    return known && `${known.host}/${known.incarnation}`;
  }
}

/** Creates a store that keeps rows in memory. */
function createStore(clock: ManualClock): RowStore {
  const rows = new Map<string, TableRow>();
  let version = 0;
  return {
    transact: ({writes}) => {
      version += 1;
      for (const row of writes) rows.set(row.key, {...row, version});
      return okAsync({isCommitted: true, conflicts: []});
    },
    read: () => okAsync({rows: [...rows.values()], hasMore: false, version}),
    listParts: () => okAsync(['']),
    watch: () => okAsync({rows: [], version}),
    now: () => clock.now() + 70_000,
  };
}
