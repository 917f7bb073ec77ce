import {
  ErrorCode,
  ManualClock,
  MemoryEventLog,
  SavoryspurError,
  SystemClock,
} from '@savoryspur/common';
import type {PeerInfo} from '@savoryspur/schema';
import {expect} from 'chai';
import {ResultAsync} from 'neverthrow';
import {setImmediate as pause, setTimeout as sleep} from 'node:timers/promises';
import {OwnerDirectory} from '../src/peers/owner_directory.js';
import {computeSyncPeriodMs, OwnerSession} from '../src/peers/owner_session.js';
import {createPeer} from './support/create_peer.js';

const SELF = createPeer('self');
const OWNER = createPeer('owner');

/** Load: one owner gets the synchronizations of all daemons. */
describe('computeSyncPeriodMs', () => {
  const cases = [
    {daemons: 9, periodMs: 400},
    {daemons: 75, periodMs: 600},
    {daemons: 195, periodMs: 1560},
    {daemons: 410, periodMs: 2000},
  ];
  for (const {daemons, periodMs} of cases) {
    it(`keeps the calls of ${daemons} daemons to one owner under 210 a second`, () => {
      expect(computeSyncPeriodMs(daemons)).to.equal(periodMs);
      expect((daemons * 1000) / periodMs).to.be.below(210);
    });
  }
});

/** Load: an owner becomes unresponsive while requests wait for its decisions. */
describe('OwnerSession', () => {
  it('drops an owner that answers no check, before its long poll ends', async () => {
    let settlePoll: (() => void) | undefined;
    let isOwnerResponsive = true;
    const waits: number[] = [];
    const stop = new AbortController();
    const session = new OwnerSession({
      key: 'k',
      directory: new OwnerDirectory(
        {
          self: SELF,
          listOwnerCandidates: () => [[OWNER], []],
          listRecentlyStarted: () => [],
          isListed: () => true,
          readSoon: () => Promise.resolve(),
          recordContact: () => undefined,
        },
        new ManualClock(),
      ),
      clock: new ManualClock(),
      log: new MemoryEventLog(),
      countDaemons: () => 195,
      syncSelf: () => Promise.resolve(),
      syncPeer: (owner, waitMs) => {
        waits.push(waitMs);
        const answer = async (): Promise<void> => {
          if (!isOwnerResponsive) throw new Error('no answer');
          if (waits.length === 1) return;
          await new Promise<void>((resolve) => (settlePoll = resolve));
        };
        return ResultAsync.fromPromise(
          answer(),
          () =>
            new SavoryspurError(
              ErrorCode.TIMEOUT,
              {step: 's', peer: owner.host},
              'no answer',
            ),
        );
      },
    });
    const running = session.run(stop.signal);
    await pause();
    expect(session.getOwner()?.host).to.equal('owner');
    const change = session.getOwnerChangeSignal();
    isOwnerResponsive = false;
    session.checkOwner();
    session.checkOwner();
    await pause();
    expect(waits).to.deep.equal([0, 1560, 0]);
    expect(session.getOwner()).to.equal(undefined);
    expect(change.aborted).to.equal(true);
    stop.abort();
    settlePoll?.();
    await running;
  });

  // A session that counted an owner which answers again as a change would have
  // the daemon that it names ask itself for the pool.
  it('counts changes between daemons, and names the owner before across a gap', async () => {
    let found: PeerInfo | undefined = OWNER;
    const stop = new AbortController();
    const directory = {
      find: () => found,
      isSelf: ({host}: PeerInfo) => host === SELF.host,
      recordAnswer: () => undefined,
    } as unknown as OwnerDirectory;
    const session = new OwnerSession({
      key: 'k',
      directory,
      clock: new SystemClock(),
      log: new MemoryEventLog(),
      countDaemons: () => 1,
      syncSelf: () => sleep(1),
      syncPeer: () => ResultAsync.fromSafePromise(sleep(1)),
    });
    const running = session.run(stop.signal);
    const seen: Array<[number, string | undefined]> = [];
    for (const next of [OWNER, undefined, OWNER, undefined, SELF]) {
      found = next;
      await sleep(60);
      if (!next) continue;
      seen.push([session.countOwnerChanges(), session.getFormerOwner()?.host]);
    }
    stop.abort();
    await running;
    expect(seen).to.deep.equal([
      [1, undefined],
      [1, undefined],
      [2, 'owner'],
    ]);
  });
});
