import {SystemClock} from '@savoryspur/common';
import {Site, SITE_MODEL, SITE_WORKSPACES} from '@savoryspur/proofs';
import {LoadGenerator, type LoadReport} from '@savoryspur/testkit';
import {expect} from 'chai';

const KEY = SITE_WORKSPACES[0]!.secret;

const clock = new SystemClock();

describe('routing with real processes', () => {
  let site: Site;

  /** Starts a site whose engines are warm after a number of requests. */
  async function start(warmupRequests = 8): Promise<void> {
    site = await Site.start({
      zones: ['langley', 'abbotsford'],
      hostsPerZone: 2,
      enginesPerZone: 2,
      servicesPerZone: 0,
      engineArgs: {coldRequests: warmupRequests},
      adjustDocument: (document) => {
        for (const pool of document.pools ?? [])
          pool.warmupRequests = warmupRequests;
      },
    });
  }
  afterEach(() => site?.stop());

  function runLoad(durationMs: number, ratePerSecond: number) {
    const load = new LoadGenerator(
      {
        urls: site.fleet.listCallerUrls(),
        key: KEY,
        model: SITE_MODEL,
        ratePerSecond,
        durationMs,
        seed: 7,
        timeoutMs: 20_000,
      },
      clock,
    );
    return load.run();
  }

  async function sumCrashes(): Promise<number> {
    let sum = 0;
    for (const engine of site.standIns.engines) {
      sum += (await engine.getStats()).crashes;
    }
    return sum;
  }

  /** Sends one chat request; returns the status of the answer. */
  async function post(url: string, content: string): Promise<number> {
    const answer = await fetch(`${url}/v1/chat/completions`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${KEY}`,
        'content-type': 'application/json',
      },
      body: JSON.stringify({
        model: SITE_MODEL,
        messages: [{role: 'user', content}],
      }),
    });
    await answer.arrayBuffer();
    return answer.status;
  }

  /** Formats a report for failure messages, and for the output when the variable SHOW is set. */
  function describeReport(report: LoadReport): string {
    const failures = report.failures.slice(0, 5).map((f) => f.detail);
    return JSON.stringify({...report.describe(), failures}, null, 1);
  }

  it('never overloads cold engines', async () => {
    await start();
    const report = await runLoad(4000, 80);
    if (process.env.SHOW) console.error(describeReport(report));
    expect(await sumCrashes(), describeReport(report)).to.equal(0);
  });

  it('never overloads cold engines after all engines crashed and a daemon was killed', async () => {
    await start();
    const running = runLoad(8000, 60);
    await clock.sleep(3000);
    for (const engine of site.standIns.engines) await engine.fail();
    await site.fleet.daemons[0]!.kill();
    const report = await running;
    if (process.env.SHOW) console.error(describeReport(report));
    const engines = site.standIns.engines.length;
    expect(await sumCrashes(), describeReport(report)).to.equal(engines);
  });

  it('detects by token intervals that an engine became cold without a new boot marker', async () => {
    await start(80);
    const running = runLoad(16_000, 150);
    await clock.sleep(11_000);
    const before = await sumCrashes();
    await site.standIns.engines[0]!.setCold(1500);
    const report = await running;
    if (process.env.SHOW) console.error(describeReport(report));
    expect(await sumCrashes()).to.equal(before);
  });

  it('quarantines a request that crashes engines after two crashes', async () => {
    await start();
    await runLoad(2000, 40);
    const urls = site.fleet.listCallerUrls();
    for (let i = 0; i < 3; i++) {
      for (const url of urls) {
        expect(await post(url, 'CRASH please')).not.to.equal(200);
      }
      await clock.sleep(300);
    }
    expect(await sumCrashes()).to.be.at.most(2);
    expect(await post(urls[0]!, 'an innocent request')).to.equal(200);
  });
});
