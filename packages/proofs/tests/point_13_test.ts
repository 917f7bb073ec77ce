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

/** Seed of the arrivals. */
const SEED = 13;

/** Requests after which the daemons count a server as warm; engines need fewer. */
const WARMUP_REQUESTS = 10;

/** Time in which load warms up the servers, milliseconds. */
const WARMUP_MS = 4500;

/** Tokens of requests that still run when the server no longer gets new work. */
const LONG_REQUEST_TOKENS = 400;

/** Prefix of the prompts of long requests. */
const LONG_REQUEST_PREFIX = 'Long report';

/** Longest wait for a long request on the server that is removed, milliseconds. */
const MAX_SETUP_WAIT_MS = 15_000;

/** Id of the server that is removed from the environment. */
const REMOVED_SERVER_ID = 'assistant-1';

describe('point 13: a removed server gets no new work', () => {
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

  it('completes its running requests and gets no new ones after 3 s', async () => {
    const removed = site.standIns.engines[0]!;
    const others = site.standIns.engines.slice(1);
    const load = startLoad(site, {seed: SEED, ratePerSecond: 20});
    await sleepMs(WARMUP_MS);
    const longLoad = startLoad(site, {
      seed: SEED + 1,
      ratePerSecond: 5,
      maxTokens: LONG_REQUEST_TOKENS,
      makePrompt: (index) => `${LONG_REQUEST_PREFIX} ${index}`,
    });
    const hasLongRequest = async () =>
      (await removed.listArrivals()).some(({tag}) =>
        tag.includes(LONG_REQUEST_PREFIX),
      );
    const isLongRequestRunning = await waitUntil(
      hasLongRequest,
      MAX_SETUP_WAIT_MS,
    );
    expect(isLongRequestRunning, 'a long request before the removal').to.equal(
      true,
    );

    const servers = site.document.servers!.filter(
      ({id}) => id !== REMOVED_SERVER_ID,
    );
    await site.fleet.apply({...site.document, servers});
    const removedMs = getWallTimeMs();
    const longLoadEnd = longLoad.stop();
    await sleepMs(NO_NEW_WORK_AFTER_MS);
    const {running} = await removed.getStats();
    expect(running, 'requests that still ran').to.be.greaterThan(0);
    await sleepMs(2000);
    const afterMs = removedMs + NO_NEW_WORK_AFTER_MS;
    expect(await countArrivals([removed], afterMs), 'new work').to.equal(0);
    expect(await countArrivals(others, afterMs)).to.be.greaterThan(0);
    const longReport = await longLoadEnd;
    const report = await load.stop();
    expect(describeFailures(longReport)).to.deep.equal([]);
    expect(describeFailures(report)).to.deep.equal([]);
    const arrivals = await removed.listArrivals();
    const lastArrivalMs = Math.max(...arrivals.map(({atMs}) => atMs));
    console.log(
      `seed ${SEED}: last new work ${lastArrivalMs - removedMs} ms after the change, ${running} requests still ran after ${NO_NEW_WORK_AFTER_MS} ms, ${longReport.countSent()} long and ${report.countSent()} other requests all complete`,
    );
  });
});
