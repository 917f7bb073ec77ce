/** Tests of the measurements of forwarded calls. */
import {expect} from 'chai';
import {
  measureRound,
  type Rig,
  startRig,
  stopRig,
} from '../src/forwarding_slopes.js';
import {
  ANSWER_BYTES,
  EVENT_BYTES,
  formatStreamPath,
  WHOLE_PATH,
} from '../src/forwarding_server.js';
import {runSpread} from '../src/forwarding_spread.js';

const CALLS = 5;

describe('measureRound', function () {
  this.timeout(60_000);
  let rig: Rig;

  before(async () => {
    rig = await startRig();
  });

  after(() => stopRig(rig));

  const cases = [
    {name: 'complete answers', path: WHOLE_PATH, answerBytes: ANSWER_BYTES},
    {
      name: 'streams',
      path: formatStreamPath(3, 1),
      answerBytes: 3 * EVENT_BYTES,
    },
  ];
  for (const {name, path, answerBytes} of cases) {
    const plan = {path, answerBytes, calls: CALLS, concurrency: 1};

    it(`finds that direct calls with ${name} don't go through the other host`, async () => {
      const cost = await measureRound(rig, plan, false);
      expect(cost.betweenBytes).to.equal(0);
      expect(cost.serverBytes).to.be.greaterThan(0);
    });

    it(`counts the bytes of forwarded calls with ${name} beyond the bodies`, async () => {
      const cost = await measureRound(rig, plan, true);
      expect(cost.betweenBytes).to.be.greaterThan(cost.serverBytes);
      expect(cost.betweenMicroseconds).to.be.greaterThan(0);
    });
  }
});

describe('runSpread', () => {
  const model = {
    daemons: 12,
    zones: 3,
    cutOffHosts: 4,
    requestsPerSecond: 50,
    durationMs: 100,
    seconds: 4,
  };

  it('spreads the calls of a zone over the other zones', () => {
    const row = runSpread({...model, isAnnounced: true});
    expect(row.failedCalls).to.equal(0);
    expect(row.refusalsPerOriginSecond).to.equal(0);
    expect(row.shareOutsideZone).to.equal(1);
    expect(row.servingHosts).to.equal(8);
    expect(row.meanRequestsPerSecond).to.be.closeTo(25, 3);
    expect(row.maxRequestsPerSecond).to.be.at.least(row.meanRequestsPerSecond!);
  });

  it('counts the refusals of hosts that have not said that they are cut off', () => {
    const row = runSpread({...model, isAnnounced: false});
    expect(row.failedCalls).to.equal(0);
    expect(row.refusalsPerOriginSecond).to.be.greaterThan(0);
  });

  it('keeps the calls of one host in its zone', () => {
    const row = runSpread({...model, cutOffHosts: 1, isAnnounced: true});
    expect(row.shareOutsideZone).to.be.lessThan(0.5);
  });
});
