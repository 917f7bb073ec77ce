import {ManualClock, MemoryEventLog, ServingEvent} from '@savoryspur/common';
import {expect} from 'chai';
import {CutOffTracker} from '../src/online/cut_off_tracker.js';

/** Time of a cut-off before peers are told, milliseconds. */
const REPORT_MS = 1000;

/** Time after a cut-off before peers are told of its end, milliseconds. */
const RECOVERY_MS = 4000;

describe('CutOffTracker', () => {
  let clock: ManualClock;
  let log: MemoryEventLog;
  let tracker: CutOffTracker;

  beforeEach(() => {
    clock = new ManualClock();
    log = new MemoryEventLog();
    tracker = new CutOffTracker(clock, log);
  });

  function recordSilence(...serverIds: string[]): void {
    for (const id of serverIds) tracker.recordSilence(id);
  }

  function listEvents(): number[] {
    return log.records.map(({event}) => event);
  }

  it('takes silence of one server, also repeated, for the fault of that server', () => {
    recordSilence('a', 'a', 'a');
    expect(tracker.isCutOff()).to.equal(false);
    expect(listEvents()).to.deep.equal([]);
  });

  it('is cut off after silence of two servers with no response in between', () => {
    recordSilence('a', 'b');
    expect(tracker.isCutOff()).to.equal(true);
    expect(listEvents()).to.deep.equal([ServingEvent.SERVERS_CUT_OFF]);
  });

  it('is not cut off when any server has responded in between', () => {
    recordSilence('a');
    tracker.recordReach();
    recordSilence('b');
    expect(tracker.isCutOff()).to.equal(false);
  });

  it('ends with the first response, and logs its duration once', () => {
    recordSilence('a', 'b');
    clock.advance(700);
    tracker.recordReach();
    tracker.recordReach();
    expect(tracker.isCutOff()).to.equal(false);
    expect(listEvents()).to.deep.equal([
      ServingEvent.SERVERS_CUT_OFF,
      ServingEvent.SERVERS_REACHED,
    ]);
    expect(log.records.at(-1)?.fields.cutOffMs).to.equal(700);
  });

  it('counts no servers that are gone', () => {
    recordSilence('a', 'b');
    tracker.removeUnknownServers((id) => id !== 'b');
    expect(tracker.isCutOff()).to.equal(false);
    recordSilence('c');
    expect(tracker.isCutOff()).to.equal(true);
  });

  it('is not reported to peers for a short cut', () => {
    recordSilence('a', 'b');
    clock.advance(REPORT_MS - 1);
    expect(tracker.isCutOffForPeers()).to.equal(false);
    tracker.recordReach();
    clock.advance(REPORT_MS);
    expect(tracker.isCutOffForPeers()).to.equal(false);
  });

  it('is reported to peers until it has been over for a while', () => {
    recordSilence('a', 'b');
    clock.advance(REPORT_MS);
    expect(tracker.isCutOffForPeers()).to.equal(true);
    tracker.recordReach();
    clock.advance(RECOVERY_MS - 1);
    expect(tracker.isCutOffForPeers()).to.equal(true);
    clock.advance(1);
    expect(tracker.isCutOffForPeers()).to.equal(false);
  });

  it('does not flap for peers when servers are reached between cuts', () => {
    recordSilence('a', 'b');
    clock.advance(REPORT_MS);
    expect(tracker.isCutOffForPeers()).to.equal(true);
    for (let cut = 0; cut < 5; cut += 1) {
      tracker.recordReach();
      clock.advance(RECOVERY_MS / 2);
      expect(tracker.isCutOffForPeers()).to.equal(true);
      recordSilence('a', 'b');
      clock.advance(REPORT_MS / 2);
      expect(tracker.isCutOffForPeers()).to.equal(true);
    }
    tracker.recordReach();
    clock.advance(RECOVERY_MS);
    expect(tracker.isCutOffForPeers()).to.equal(false);
  });

  it('reports a new cut again only after its time', () => {
    recordSilence('a', 'b');
    clock.advance(REPORT_MS);
    expect(tracker.isCutOffForPeers()).to.equal(true);
    tracker.recordReach();
    clock.advance(RECOVERY_MS);
    expect(tracker.isCutOffForPeers()).to.equal(false);
    recordSilence('a', 'b');
    expect(tracker.isCutOffForPeers()).to.equal(false);
    clock.advance(REPORT_MS);
    expect(tracker.isCutOffForPeers()).to.equal(true);
  });

  it('reports a cut of a daemon that is asked only after its end', () => {
    // Heartbeats ask; a slow one may miss the whole cut.
    recordSilence('a', 'b');
    clock.advance(REPORT_MS * 2);
    tracker.recordReach();
    expect(tracker.isCutOffForPeers()).to.equal(false);
  });
});
