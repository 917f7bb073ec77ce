import {expect} from 'chai';
import {ServerRule} from '../src/slots/server_rule.js';
import {ServerSpeed} from '../src/slots/server_speed.js';
import {
  createServers,
  type Report,
  type Scenario,
  runServers,
} from './support/run_servers.js';

const SERVERS = 20;

/** Creates servers of which every other one has the first speed, and the rest the second one. */
function createServersOfSpeeds(first: number, second: number) {
  return createServers(SERVERS).map((server, index) => ({
    ...server,
    run: () => ({slowness: 1 / (index % 2 === 0 ? first : second)}),
  }));
}

function compare(scenario: Omit<Scenario, 'rules'>): [Report, Report] {
  return [[], [new ServerRule()]].map((rules) =>
    runServers({...scenario, rules}),
  ) as [Report, Report];
}

/** Computes the share of the servers with odd numbers in the calls. */
function computeOddShare(report: Report, kind: 'online' | 'batch'): number {
  const servers = [...report.servers.values()];
  const sum = (list: typeof servers): number =>
    list.reduce((total, server) => total + server[kind], 0);
  return sum(servers.filter((server, index) => index % 2 === 1)) / sum(servers);
}

describe('ServerSpeed', () => {
  const rates = [
    {ratePerSecond: 90, minShift: 0.03},
    {ratePerSecond: 150, minShift: 0.1},
  ];
  for (const {ratePerSecond, minShift} of rates) {
    it(`moves online requests to fast servers and batch items to slow ones, at ${ratePerSecond} requests/s`, () => {
      const [without, weighed] = compare({
        servers: createServersOfSpeeds(0.55, 1.2),
        ratePerSecond,
        batchFraction: 0.3,
        durationMs: 20_000,
      });
      const computeShift = (kind: 'online' | 'batch'): number =>
        computeOddShare(weighed, kind) - computeOddShare(without, kind);
      expect(computeShift('online')).to.be.above(minShift);
      expect(computeShift('batch')).to.be.below(-minShift);
    });
  }

  it('changes no placement while speeds differ by 15 %', () => {
    const [without, weighed] = compare({
      servers: createServersOfSpeeds(1, 1.15),
      ratePerSecond: 150,
      batchFraction: 0.3,
      durationMs: 12_000,
    });
    expect(weighed).to.deep.equal(without);
  });

  it('does not take the bad link of one daemon for slow servers', () => {
    const [without, weighed] = compare({
      servers: createServers(SERVERS),
      ratePerSecond: 150,
      durationMs: 12_000,
      getLinkSlowness: (holder) => (holder === 'host-3' ? 3 : 1),
    });
    expect(weighed).to.deep.equal(without);
  });

  describe('without a pool', () => {
    const SLOW_LOG_RATIO = Math.log(1.8);
    let speed: ServerSpeed;

    /** Records calls of a number of holders to five servers, of which the first is slow for some of them. */
    function record(holders: number, slowFor: number, nowMs: number): void {
      for (let call = 0; call < 10 * holders; call += 1) {
        const holder = call % holders;
        for (let server = 0; server < 5; server += 1) {
          const isSlow = server === 0 && holder < slowFor;
          const ratio = isSlow ? SLOW_LOG_RATIO : 0;
          speed.record(`s-${server}`, `host-${holder}`, ratio, nowMs);
        }
      }
    }

    beforeEach(() => {
      speed = new ServerSpeed();
    });

    it('weighs a server by what most holders have measured, less than an open connection counts', () => {
      record(5, 3, 0);
      expect(speed.getLoadPenalty('s-0', false, 0)).to.be.within(0.1, 0.14);
      expect(speed.getLoadPenalty('s-0', true, 0)).to.be.within(-0.14, -0.1);
      expect(speed.getLoadPenalty('s-1', false, 0)).to.equal(0);
      expect(speed.count()).to.deep.equal({slow: 1, alike: 4, fast: 0});
    });

    it('does not weigh a server that is slow for few holders', () => {
      record(5, 2, 0);
      expect(speed.getLoadPenalty('s-0', false, 0)).to.equal(0);
    });

    it('does not weigh a server that is slow for one of two holders', () => {
      record(2, 1, 0);
      expect(speed.getLoadPenalty('s-0', false, 0)).to.equal(0);
    });

    it('learns the speed in a fleet of one daemon', () => {
      record(1, 1, 0);
      expect(speed.getLoadPenalty('s-0', false, 0)).to.be.above(0.1);
    });

    it('forgets what was measured a minute ago', () => {
      record(5, 5, 0);
      expect(speed.getLoadPenalty('s-0', false, 0)).to.be.above(0);
      expect(speed.getLoadPenalty('s-0', false, 61_000)).to.equal(0);
      expect(speed.count()).to.deep.equal({slow: 0, alike: 0, fast: 0});
    });
  });
});
