import {
  Site,
  SITE_MODEL,
  SITE_WORKSPACES,
  SHORT_TIMEOUT_SETTINGS,
  sleepMs,
} from '@savoryspur/proofs';
import {SystemClock} from '@savoryspur/common';
import {LoadGenerator, LoadOutcome} from '@savoryspur/testkit';
import {expect} from 'chai';

/** Time for which the load balancer may still send requests after readiness fails, milliseconds. */
const BALANCER_LAG_MS = 300;

describe('point 14: a planned stop interrupts no request', () => {
  let site: Site;

  before(async () => {
    site = await Site.start({
      zones: ['langley', 'abbotsford', 'chilliwack'],
      hostsPerZone: 2,
      enginesPerZone: 2,
      servicesPerZone: 0,
      engineArgs: {warm: true},
      settings: SHORT_TIMEOUT_SETTINGS,
    });
  });

  after(() => site?.stop());

  it('restarts every host under load without a failed request', async () => {
    const {daemons} = site.fleet;
    const balancer = await site.standIns.startBalancer();
    await balancer.setDaemons(
      daemons.map(({settings: {listen}}) => ({
        address: listen.address,
        callerPort: listen.callerPort,
        opsPort: listen.opsPort,
      })),
    );
    await sleepMs(BALANCER_LAG_MS);
    const load = new LoadGenerator(
      {
        urls: [balancer.url],
        key: SITE_WORKSPACES[0]!.secret,
        model: SITE_MODEL,
        ratePerSecond: 30,
        durationMs: 60_000,
        seed: 14,
        timeoutMs: 20_000,
      },
      new SystemClock(),
    );
    const stopping = new AbortController();
    const running = load.run(stopping.signal);
    for (const daemon of daemons) {
      const exit = await daemon.stop();
      expect(exit?.code, `exit of ${daemon.host}`).to.equal(0);
      await daemon.start();
      await daemon.waitReady();
      await sleepMs(BALANCER_LAG_MS);
    }
    stopping.abort();
    const report = await running;
    console.log(JSON.stringify(report.describe()));
    expect(report.countSent()).to.be.greaterThan(100);
    expect(
      report.failures.map((f) => `${f.outcome} ${f.detail}`),
    ).to.deep.equal([]);
    expect(report.count(LoadOutcome.COMPLETE)).to.equal(report.countSent());
  });
});
