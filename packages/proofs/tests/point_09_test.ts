import {
  countArrivals,
  describeFailures,
  getWallTimeMs,
  NO_NEW_WORK_AFTER_MS,
  SHORT_TIMEOUT_SETTINGS,
  Site,
  SiteOperator,
  sleepMs,
  startLoad,
  waitUntil,
} from '@savoryspur/proofs';
import type {EngineProcess} from '@savoryspur/testkit';
import {expect} from 'chai';

const ZONES = ['langley', 'abbotsford'];
/** Zone that is taken out of service. */
const LEAVING_ZONE = ZONES[0]!;
/** Requests that an engine can run at the same time while it is cold. */
const COLD_CAPACITY = 2;
/** Seed of the arrivals. */
const SEED = 9;

/** Requests after which the daemons count a server as warm; engines need fewer. */
const WARMUP_REQUESTS = 10;

/** Time in which load warms up the servers, milliseconds. */
const WARMUP_MS = 4500;

/** Tokens of requests that still run when the zone no longer gets new work. */
const LONG_REQUEST_TOKENS = 250;

describe('point 9: a zone out of service gets no new work', () => {
  let site: Site;
  let leaving: EngineProcess[];
  let staying: EngineProcess[];
  const operator = new SiteOperator();

  before(async () => {
    site = await Site.start({
      zones: ZONES,
      hostsPerZone: 2,
      enginesPerZone: 2,
      servicesPerZone: 0,
      engineArgs: {
        'between-tokens-ms': 20,
        'cold-capacity': COLD_CAPACITY,
      },
      settings: SHORT_TIMEOUT_SETTINGS,
      adjustDocument: (document) => {
        for (const pool of document.pools ?? []) {
          pool.warmupRequests = WARMUP_REQUESTS;
        }
      },
    });
    const {engines} = site.standIns;
    leaving = engines.filter((engine, index) => index % ZONES.length === 0);
    staying = engines.filter((engine, index) => index % ZONES.length !== 0);
  });

  after(() => site?.stop());

  async function sumRunning(engines: EngineProcess[]): Promise<number> {
    const stats = await Promise.all(engines.map((e) => e.getStats()));
    return stats.reduce((sum, {running}) => sum + running, 0);
  }

  it('is replaced by other zones and warms up again by slow start', async () => {
    const operatorUrl = site.fleet.listDaemons(ZONES[1]!)[0]!.callerUrl;
    const load = startLoad(site, {seed: SEED, ratePerSecond: 20});
    await sleepMs(WARMUP_MS);
    const longLoad = startLoad(site, {
      seed: SEED + 1,
      ratePerSecond: 20,
      durationMs: 500,
      maxTokens: LONG_REQUEST_TOKENS,
    });
    await sleepMs(700);
    const loadedMs = getWallTimeMs();
    await sleepMs(500);
    const before = await countArrivals(leaving, loadedMs);
    expect(before, 'arrivals before the zone is taken out').to.be.greaterThan(
      0,
    );

    await operator.setZoneOut(operatorUrl, LEAVING_ZONE, true);
    const outMs = getWallTimeMs();
    await sleepMs(NO_NEW_WORK_AFTER_MS);
    const runningAtEnd = await sumRunning(leaving);
    await sleepMs(2000);
    const afterMs = outMs + NO_NEW_WORK_AFTER_MS;
    expect(await countArrivals(leaving, afterMs), 'new work').to.equal(0);
    expect(await countArrivals(staying, afterMs)).to.be.greaterThan(0);
    const lastArrivalMs = Math.max(
      ...(await Promise.all(leaving.map((engine) => engine.listArrivals())))
        .flat()
        .map(({atMs}) => atMs),
    );
    expect(runningAtEnd, 'requests that still ran').to.be.greaterThan(0);
    const longReport = await longLoad.stop();
    expect(describeFailures(longReport)).to.deep.equal([]);

    for (const engine of leaving) await engine.setCold();
    const crashesBefore = await sumCrashes();
    const backMs = getWallTimeMs();
    await operator.setZoneOut(operatorUrl, LEAVING_ZONE, false);
    const isWarm = await waitUntil(async () => {
      const stats = await Promise.all(leaving.map((e) => e.getStats()));
      return stats.every(({isCold}) => !isCold);
    }, 20_000);
    expect(isWarm, 'servers of the zone became warm again').to.equal(true);
    const report = await load.stop();
    expect(describeFailures(report)).to.deep.equal([]);
    expect(await countArrivals(leaving, backMs)).to.be.greaterThan(0);
    expect(await sumCrashes()).to.equal(crashesBefore);
    const maxCold: number[] = [];
    for (const engine of leaving) {
      const {maxRunningCold} = await engine.getStats();
      expect(maxRunningCold).to.be.at.most(COLD_CAPACITY);
      maxCold.push(maxRunningCold);
    }
    console.log(
      `seed ${SEED}: last new work ${lastArrivalMs - outMs} ms after the zone was out, ${runningAtEnd} requests still ran after ${NO_NEW_WORK_AFTER_MS} ms, ${longReport.countSent()} long and ${report.countSent()} other requests all complete, highest number running while cold ${maxCold.join(', ')}`,
    );
  });

  it('control: without slow start a cold server is overloaded', async () => {
    const pools = site.document.pools!.map((pool) => ({
      ...pool,
      coldCapacity: pool.warmCapacity,
    }));
    await site.fleet.apply({...site.document, pools});
    const load = startLoad(site, {seed: SEED, ratePerSecond: 60});
    await sleepMs(500);
    const before = await sumCrashes();
    for (const engine of leaving) await engine.setCold();
    const isOverloaded = await waitUntil(
      async () => (await sumCrashes()) > before,
      10_000,
    );
    await load.stop();
    expect(isOverloaded).to.equal(true);
  });

  async function sumCrashes(): Promise<number> {
    const {engines} = site.standIns;
    const stats = await Promise.all(engines.map((e) => e.getStats()));
    return stats.reduce((sum, {crashes}) => sum + crashes, 0);
  }
});
