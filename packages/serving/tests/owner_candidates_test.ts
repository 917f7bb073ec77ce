import {ManualClock, MemoryEventLog} from '@savoryspur/common';
import {expect} from 'chai';
import {okAsync} from 'neverthrow';
import {createStopController} from '../src/create_stop_controller.js';
import {RequestQuarantine} from '../src/online/request_quarantine.js';
import {Membership} from '../src/peers/membership.js';
import type {RowStore, TableRow} from '../src/store/row_store.js';
import {createPeer} from './support/create_peer.js';

/** Time of the store's clock when the daemons' clock starts, milliseconds. */
const STORE_CLOCK_OFFSET_MS = 70_000;

/** Hosts that run from the start. */
const FORMER_HOSTS = ['host-1', 'host-2', 'host-3'];

/** When two more daemons start, one after the other, milliseconds. */
const STARTS_MS = {'host-4': 9000, 'host-5': 11_000};

/** When the last daemon has read the heartbeats, and the end of the comparison, milliseconds. */
const COMPARED_MS = {from: 11_500, until: 18_000};

const STEP_MS = 50;

/** Creates a store that keeps rows in memory, those of some hosts as former builds write them. */
function createStore(
  clock: ManualClock,
  formerBuildHosts: readonly string[],
): RowStore {
  const rows = new Map<string, TableRow>();
  let version = 0;
  return {
    transact: ({writes}) => {
      version += 1;
      for (const row of writes) {
        const isFormer = formerBuildHosts.includes(row.key);
        const value = isFormer ? dropTime(row.value) : row.value;
        rows.set(row.key, {...row, value, version});
      }
      return okAsync({isCommitted: true, conflicts: []});
    },
    read: () => okAsync({rows: [...rows.values()], hasMore: false, version}),
    listParts: () => okAsync(['']),
    watch: () => okAsync({rows: [], version}),
    now: () => clock.now() + STORE_CLOCK_OFFSET_MS,
  };
}

/** Leaves out of a row what former builds do not write. */
function dropTime(value: Buffer): Buffer {
  const row = JSON.parse(value.toString()) as Record<string, unknown>;
  return Buffer.from(JSON.stringify({...row, aliveSinceMs: undefined}));
}

/** Waits until what the memberships do without waiting for time is done. */
function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

const CASES = [
  {name: 'of one build', formerBuildHosts: []},
  {name: 'of two builds', formerBuildHosts: FORMER_HOSTS},
];

describe('daemons of which some have just started', () => {
  for (const {name, formerBuildHosts} of CASES) {
    it(`${name} name the same candidates for owners: two that do not agree both grant the slots of a server`, async () => {
      const clock = new ManualClock();
      const store = createStore(clock, formerBuildHosts);
      const stop = createStopController();
      const members: Membership[] = [];
      const start = (host: string): void => {
        const member = new Membership({
          self: createPeer(host),
          cores: 1,
          store,
          clock,
          log: new MemoryEventLog(),
          quarantine: new RequestQuarantine(clock),
          isCutOff: () => false,
        });
        void member.run(stop.signal);
        members.push(member);
      };
      for (const host of FORMER_HOSTS) start(host);
      const waiting = Object.entries(STARTS_MS);
      const seen = new Set<string>();
      for (let nowMs = 0; nowMs <= COMPARED_MS.until; nowMs += STEP_MS) {
        clock.advance(STEP_MS);
        await settle();
        const [next] = waiting;
        if (next && nowMs >= next[1]) {
          waiting.shift();
          start(next[0]);
        }
        if (nowMs < COMPARED_MS.from) continue;
        const views = members.map((member) =>
          member
            .listOwnerCandidates()
            .flat()
            .map(({host}) => host)
            .sort()
            .join(),
        );
        expect(new Set(views), `at ${nowMs} ms`).to.have.property('size', 1);
        seen.add(views[0]!);
      }
      stop.abort();
      expect([...seen]).to.deep.equal([
        'host-1,host-2,host-3',
        'host-1,host-2,host-3,host-4',
        'host-1,host-2,host-3,host-4,host-5',
      ]);
    });
  }
});
