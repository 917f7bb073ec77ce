import {
  ErrorCode,
  ManualClock,
  MemoryEventLog,
  SavoryspurError,
} from '@savoryspur/common';
import {expect} from 'chai';
import {ResultAsync} from 'neverthrow';
import {setImmediate as pause} from 'node:timers/promises';
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
});
