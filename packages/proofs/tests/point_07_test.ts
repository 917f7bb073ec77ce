import {
  SHORT_TIMEOUT_SETTINGS,
  Site,
  SITE_WORKSPACES,
  SiteCaller,
  sleepMs,
} from '@savoryspur/proofs';
import {computeRateExcess, SeededRandom} from '@savoryspur/testkit';
import {ProxyAction} from '@savoryspur/schema';
import {expect} from 'chai';

/** Seed of the choice of hosts. */
const SEED = 7;

/** Rate per second and burst of the workspace under test. */
const RATE_LIMIT = {rate: 20, burst: 20};

/** Requests per second that the workspace's callers send. */
const REQUESTS_PER_SECOND = 100;

/** Time for which the callers send requests, milliseconds. */
const LOAD_DURATION_MS = 14_000;

describe('point 7: no workspace gets more than its rate and burst', () => {
  let site: Site;
  const caller = new SiteCaller(SITE_WORKSPACES[1]!);
  const random = new SeededRandom(SEED);

  before(async () => {
    site = await Site.start({
      zones: ['langley', 'abbotsford', 'chilliwack'],
      hostsPerZone: 2,
      enginesPerZone: 0,
      servicesPerZone: 1,
      settings: SHORT_TIMEOUT_SETTINGS,
      hasProxies: true,
      adjustDocument: (document) => {
        const limited = document.workspaces?.find(
          ({name}) => name === SITE_WORKSPACES[1]!.name,
        );
        Object.assign(limited!, RATE_LIMIT);
      },
    });
  });

  after(() => site?.stop());

  /** Sends one call to a random host; the first host gets more than half of the calls. */
  async function send(): Promise<void> {
    const urls = site.fleet.listCallerUrls();
    const index =
      random.takeUniform() < 0.5 ? 0 : Math.floor(random.takeUniform() * 6);
    try {
      await caller.send(urls[index]!, '/ledger/grades', {
        method: 'POST',
        body: JSON.stringify({callId: 'grade'}),
      });
    } catch (thrown) {
      // The host is down, so it admits no request.
    }
  }

  /** Kills, pauses and restarts hosts and cuts links while requests arrive. */
  async function applyFaults(): Promise<void> {
    const {daemons, links} = site.fleet;
    await sleepMs(2000);
    daemons[1]!.process.pause();
    await sleepMs(1500);
    await daemons[2]!.kill();
    daemons[1]!.process.resume();
    await links!.applyFaultBetweenZones('chilliwack', ProxyAction.CUT);
    await sleepMs(1500);
    await daemons[2]!.start();
    await links!.applyFaultToPlatformLink('chilliwack', ProxyAction.CUT);
    await sleepMs(2500);
    await links!.applyFaultToPlatformLink('chilliwack', ProxyAction.HEAL);
    await links!.applyFaultBetweenZones('chilliwack', ProxyAction.HEAL);
    await daemons[0]!.stop();
    await daemons[0]!.start();
  }

  /** Sends requests for some time; returns their number. */
  async function sendFor(durationMs: number): Promise<number> {
    const pending: Array<Promise<void>> = [];
    const startMs = performance.now();
    while (performance.now() - startMs < durationMs) {
      pending.push(send());
      await sleepMs(1000 / REQUESTS_PER_SECOND);
    }
    await Promise.all(pending);
    return pending.length;
  }

  /** Lists the wall clock times at which admitted requests arrived at a service. */
  async function listAdmissions(): Promise<number[]> {
    const arrivalsMs: number[] = [];
    for (const service of site.standIns.services) {
      for (const {atMs} of await service.listArrivals()) arrivalsMs.push(atMs);
    }
    return arrivalsMs;
  }

  it('holds in every time window during kill, pause, cut and restart', async () => {
    const [sent] = await Promise.all([
      sendFor(LOAD_DURATION_MS),
      applyFaults(),
    ]);
    const admissions = await listAdmissions();
    const excess = computeRateExcess(admissions, RATE_LIMIT);
    const allowed =
      RATE_LIMIT.burst + (RATE_LIMIT.rate * LOAD_DURATION_MS) / 1000;
    console.log(
      `seed ${SEED}: ${admissions.length} admitted of ${sent}, at most ${allowed} allowed, excess ${excess.toFixed(2)}`,
    );
    expect(admissions.length).to.be.greaterThan(allowed / 4);
    expect(excess).to.be.at.most(0);
  });

  it('control: the check finds an excess when the rate limit is higher', async () => {
    const workspaces = site.document.workspaces!.map((workspace) => ({
      ...workspace,
      rate: 1000,
      burst: 1000,
    }));
    await site.fleet.apply({...site.document, workspaces});
    const before = (await listAdmissions()).length;
    await sendFor(4000);
    const later = (await listAdmissions()).sort((a, b) => a - b).slice(before);
    expect(computeRateExcess(later, RATE_LIMIT)).to.be.greaterThan(0);
  });
});
