import {
  countArrivals,
  describeFailures,
  getWallTimeMs,
  NO_NEW_WORK_AFTER_MS,
  SHORT_TIMEOUT_SETTINGS,
  Site,
  sleepMs,
  startLoad,
  waitUntil,
} from '@savoryspur/proofs';
import {expect} from 'chai';

const SEED = 13;

/** Requests after which a server counts as warm; more than engines need. */
const WARMUP_REQUESTS = 10;

/** Time in which load warms the servers, milliseconds. */
const WARMUP_MS = 4500;

/** Tokens of requests that outlast the time until no new work comes. */
const LONG_TOKENS = 400;

/** Start of the prompts of long requests. */
const LONG_MARK = 'Long report';

/** Longest wait for a long request at the leaving server, milliseconds. */
const MAX_SETUP_MS = 15_000;

/** Server that leaves, and its engine. */
const LEAVING_SERVER = 'assistant-1';

describe('point 13: a leaving server gets no new work', () => {
  let site: Site;

  before(async () => {
    site = await Site.start({
      zones: ['langley', 'abbotsford'],
      hostsPerZone: 2,
      enginesPerZone: 2,
      servicesPerZone: 0,
      engineArgs: {'between-tokens-ms': 20, warm: true},
      settings: SHORT_TIMEOUT_SETTINGS,
      adjustDocument: (document) => {
        for (const pool of document.pools ?? []) {
          pool.warmupRequests = WARMUP_REQUESTS;
        }
      },
    });
  });

  after(() => site?.stop());

  it('ends what it runs and gets nothing after 3 s', async () => {
    const leaving = site.standIns.engines[0]!;
    const others = site.standIns.engines.slice(1);
    const load = startLoad(site, {seed: SEED, ratePerSecond: 20});
    await sleepMs(WARMUP_MS);
    const longLoad = startLoad(site, {
      seed: SEED + 1,
      ratePerSecond: 5,
      maxTokens: LONG_TOKENS,
      makePrompt: (index) => `${LONG_MARK} ${index}`,
    });
    const hasLong = async () =>
      (await leaving.listArrivals()).some(({tag}) => tag.includes(LONG_MARK));
    const isUsed = await waitUntil(hasLong, MAX_SETUP_MS);
    expect(isUsed, 'a long request before it leaves').to.equal(true);

    const servers = site.document.servers!.filter(
      ({id}) => id !== LEAVING_SERVER,
    );
    await site.fleet.apply({...site.document, servers});
    const leftMs = getWallTimeMs();
    const longEnd = longLoad.stop();
    await sleepMs(NO_NEW_WORK_AFTER_MS);
    const {running} = await leaving.getStats();
    expect(running, 'requests that still ran').to.be.greaterThan(0);
    await sleepMs(2000);
    const afterMs = leftMs + NO_NEW_WORK_AFTER_MS;
    expect(await countArrivals([leaving], afterMs), 'new work').to.equal(0);
    expect(await countArrivals(others, afterMs)).to.be.greaterThan(0);
    const longReport = await longEnd;
    const report = await load.stop();
    expect(describeFailures(longReport)).to.deep.equal([]);
    expect(describeFailures(report)).to.deep.equal([]);
    const arrivals = await leaving.listArrivals();
    const lastMs = Math.max(...arrivals.map(({atMs}) => atMs));
    console.log(
      `seed ${SEED}: last new work ${lastMs - leftMs} ms after the change, ${running} requests still ran after ${NO_NEW_WORK_AFTER_MS} ms, ${longReport.countSent()} long and ${report.countSent()} other requests all whole`,
    );
  });
});
