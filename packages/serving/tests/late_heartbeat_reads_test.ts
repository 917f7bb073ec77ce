import {ManualClock, MemoryEventLog} from '@savoryspur/common';
import {expect} from 'chai';
import {okAsync, ResultAsync} from 'neverthrow';
import {createStopController} from '../src/create_stop_controller.js';
import {RequestQuarantine} from '../src/online/request_quarantine.js';
import {formatHostIncarnation} from '../src/peers/incarnation.js';
import {Membership} from '../src/peers/membership.js';
import type {RowPage, RowStore} from '../src/store/row_store.js';
import {createPeer} from './support/create_peer.js';

/** Interval between heartbeats of a small fleet, milliseconds. */
const HEARTBEAT_MS = 1000;

/** Time without a heartbeat after which a daemon is no longer alive, milliseconds. */
const EXPIRY_MS = 2500;

const SELF = createPeer('host-1');
const PEER = createPeer('host-2');

/** Reads of the heartbeats after the last one of a daemon. */
interface ReadCase {
  name: string;
  /** Times from the read that showed the last heartbeat to later reads, milliseconds. */
  readsMs: number[];
  /** Time that the last of these reads takes to be answered, milliseconds. */
  durationMs: number;
  isAlive: boolean;
}

const CASES: ReadCase[] = [
  {
    name: 'answered before the process stood still, taken after it',
    readsMs: [HEARTBEAT_MS],
    durationMs: 3 * EXPIRY_MS,
    isAlive: true,
  },
  {
    name: 'answered late, sent after the last one that the daemon may miss',
    readsMs: [HEARTBEAT_MS, 2 * HEARTBEAT_MS, 3 * HEARTBEAT_MS],
    durationMs: EXPIRY_MS,
    isAlive: false,
  },
  {
    name: 'answered at once, sent after the last one that the daemon may miss',
    readsMs: [HEARTBEAT_MS, 2 * HEARTBEAT_MS, 3 * HEARTBEAT_MS],
    durationMs: 0,
    isAlive: false,
  },
];

/** Creates the rows of a store in which a daemon writes no more heartbeats. */
function createPage(): RowPage {
  const row = {
    ...PEER,
    cores: 1,
    isLeaving: false,
    isCutOff: false,
    beat: 1,
    crashes: [],
  };
  const value = Buffer.from(JSON.stringify(row));
  const name = {table: 'members', part: '', key: PEER.host};
  return {rows: [{...name, value, version: 1}], hasMore: false, version: 1};
}

/** Waits until what the membership does without waiting for time is done. */
function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

describe('a read of the heartbeats that shows no new one of a daemon', () => {
  for (const {name, readsMs, durationMs, isAlive} of CASES) {
    it(`${name}: the daemon is ${isAlive ? '' : 'not '}alive`, async () => {
      const clock = new ManualClock();
      const stop = createStopController();
      const answers: Array<() => void> = [];
      const store: RowStore = {
        transact: () => okAsync({isCommitted: true, conflicts: []}),
        read: () =>
          ResultAsync.fromSafePromise(
            new Promise((resolve) => {
              answers.push(() => resolve(createPage()));
            }),
          ),
        listParts: () => okAsync(['']),
        watch: () => okAsync({rows: [], version: 1}),
        now: () => undefined,
      };
      const members = new Membership({
        self: SELF,
        cores: 1,
        store,
        clock,
        log: new MemoryEventLog(),
        quarantine: new RequestQuarantine(clock),
        isCutOff: () => false,
      });
      void members.run(stop.signal);
      answers.pop()?.();
      await settle();
      for (const readMs of readsMs) {
        clock.advance(readMs - clock.now());
        await settle();
        const isLast = readMs === readsMs.at(-1);
        if (isLast) clock.advance(durationMs);
        answers.pop()?.();
        await settle();
      }
      stop.abort();
      expect({
        isListed: members.listPeers().length === 1,
        isRunning: members.isIncarnationAlive(formatHostIncarnation(PEER)),
      }).to.deep.equal({isListed: isAlive, isRunning: isAlive});
    });
  }
});
