import {
  SHORT_TIMEOUT_SETTINGS,
  Site,
  SITE_WORKSPACES,
  SiteCaller,
  sleepMs,
  waitUntil,
} from '@savoryspur/proofs';
import {ProxyAction} from '@savoryspur/schema';
import {expect} from 'chai';

/** Number of items in the batch job. */
const ITEMS = 400;

/** Time within which all work on a cancelled job must have ended, milliseconds. */
const MAX_STOP_MS = 5000;

describe('point 2: a cancelled batch stops', () => {
  let site: Site;
  const caller = new SiteCaller(SITE_WORKSPACES[0]!);

  before(async () => {
    site = await Site.start({
      zones: ['langley', 'abbotsford'],
      hostsPerZone: 2,
      enginesPerZone: 1,
      servicesPerZone: 0,
      engineArgs: {warm: true, 'first-token-ms': 500},
      settings: SHORT_TIMEOUT_SETTINGS,
      hasProxies: true,
    });
  });

  after(() => site?.stop());

  /** Counts the requests that run on all engines. */
  async function countRunning(): Promise<number> {
    const stats = await Promise.all(
      site.standIns.engines.map((engine) => engine.getStats()),
    );
    return stats.reduce((sum, {running}) => sum + running, 0);
  }

  it('stops on all hosts, also on those that the cancellation cannot reach', async () => {
    const prompts = new Map<string, string>();
    for (let i = 0; i < ITEMS; i++) prompts.set(`lot-${i}`, `Report on ${i}`);
    const url = site.fleet.listCallerUrls()[0]!;
    const job = await caller.submitJob(url, prompts);
    const hasCommitted = async () =>
      (await caller.showJob(url, job.id)).request_counts.completed > 0;
    expect(await waitUntil(hasCommitted, 30_000)).to.equal(true);
    await site.fleet.links!.applyFaultBetweenZones(
      'abbotsford',
      ProxyAction.CUT,
    );
    const path = `/v1/batches/${job.id}/cancel`;
    const answer = await caller.send(url, path, {method: 'POST'});
    expect(answer.status).to.equal(200);
    const cancelled = await caller.showJob(url, job.id);
    expect(cancelled.status).to.equal('cancelled');
    const isIdle = async () => (await countRunning()) === 0;
    expect(await waitUntil(isIdle, MAX_STOP_MS)).to.equal(true);
    const results = await caller.readLines(url, cancelled.output_file_id);
    await sleepMs(2000);
    expect(await countRunning()).to.equal(0);
    const later = await caller.readLines(url, cancelled.output_file_id);
    expect(later.length).to.equal(results.length);
    expect(later.length).to.be.lessThan(ITEMS);
  });
});
