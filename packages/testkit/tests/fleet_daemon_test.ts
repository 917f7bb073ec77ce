/** Tests of the fleet harness with real daemons, through proxies. */
import {SystemClock} from '@savoryspur/common';
import {PoolKind} from '@savoryspur/schema';
import {expect} from 'chai';
import {
  createKeyEntry,
  FleetHarness,
  LoadGenerator,
  LoadOutcome,
  StandIns,
} from '../src/index.js';

const KEY = 'a-key-that-no-server-may-see';

const ZONES = [
  {name: 'a', region: 'r', hosts: 1},
  {name: 'b', region: 'r', hosts: 1},
];

describe('fleet harness on daemons', () => {
  let standIns: StandIns;
  let fleet: FleetHarness;

  before(async () => {
    standIns = await StandIns.start({engines: [{warm: true}, {warm: true}]});
    const zones = ZONES.map(({name, region}) => ({name, region, slots: 1}));
    fleet = await FleetHarness.start({
      standIns,
      zones: ZONES,
      environment: {
        name: 'test',
        zones,
        pools: [{name: 'assist', kind: PoolKind.ENGINE, warmupRequests: 1}],
        servers: standIns.engines.map(({url}, index) => ({
          id: `e-${index}`,
          pool: 'assist',
          zone: ZONES[index]!.name,
          url,
        })),
        models: [{name: 'm', pool: 'assist'}],
        workspaces: [{name: 'w', rate: 1000, burst: 1000}],
        keys: [createKeyEntry('k', 'w', KEY)],
      },
      hasProxies: true,
    });
  });

  after(async () => {
    await fleet.stop();
    await standIns.stop();
  });

  it('gives each caller its complete answer, and hides the key from engines', async () => {
    const load = {
      urls: fleet.listCallerUrls(),
      key: KEY,
      model: 'm',
      ratePerSecond: 20,
      durationMs: 1000,
      seed: 5,
      timeoutMs: 20_000,
    };
    const report = await new LoadGenerator(load, new SystemClock()).run();
    expect(report.failures).to.deep.equal([]);
    expect(report.count(LoadOutcome.COMPLETE)).to.equal(report.countSent());
    for (const engine of standIns.engines) {
      expect((await engine.findText(KEY)).found).to.equal(0);
    }
    const stats = await standIns.engines[0]!.getStats();
    expect(stats.completed).to.be.greaterThan(0);
  });

  it('stops daemons by SIGTERM with code 0', async () => {
    const exit = await fleet.daemons[0]!.stop();
    expect(exit).to.deep.equal({code: 0, signal: null});
  });
});
