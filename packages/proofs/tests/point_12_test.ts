import {
  type CallAnswer,
  SHORT_TIMEOUT_SETTINGS,
  Site,
  SITE_WORKSPACES,
  SiteCaller,
  sleepMs,
} from '@savoryspur/proofs';
import {SeededRandom} from '@savoryspur/testkit';
import {expect} from 'chai';

/** Seed of the choice of hosts, the times of the calls and the faults. */
const SEED = 12;

/** Number of calls with an idempotency key, each sent several times. */
const KEYED_CALLS = 120;

/** Number of calls without an idempotency key, each sent once. */
const SINGLE_CALLS = 120;

describe('points 11 and 12: calls run at most once, and calls reported as "not run" did not run', () => {
  let site: Site;
  const caller = new SiteCaller(SITE_WORKSPACES[0]!);
  /** Caller of a workspace whose rate limit is lower than the rate of the single calls. */
  const limitedCaller = new SiteCaller(SITE_WORKSPACES[1]!);
  const random = new SeededRandom(SEED);

  before(async () => {
    site = await Site.start({
      zones: ['langley', 'abbotsford'],
      hostsPerZone: 2,
      enginesPerZone: 0,
      servicesPerZone: 2,
      settings: SHORT_TIMEOUT_SETTINGS,
      adjustDocument: (document) => {
        const limited = document.workspaces?.find(
          ({name}) => name === SITE_WORKSPACES[1]!.name,
        );
        Object.assign(limited!, {rate: 15, burst: 15});
      },
    });
  });

  after(() => site?.stop());

  /** Sends one call; returns undefined when the connection broke. */
  async function send(
    callId: string,
    isKeyed: boolean,
  ): Promise<CallAnswer | undefined> {
    const urls = site.fleet.listCallerUrls();
    const url = urls[Math.floor(random.takeUniform() * urls.length)]!;
    try {
      const sender = isKeyed ? caller : limitedCaller;
      return await sender.send(url, '/ledger/invoices', {
        method: 'POST',
        headers: isKeyed ? {'idempotency-key': callId} : {},
        body: JSON.stringify({callId}),
      });
    } catch (thrown) {
      return undefined;
    }
  }

  /** Counts the runs of each call over all services. */
  async function countRuns(): Promise<Map<string, number>> {
    const runs = new Map<string, number>();
    for (const service of site.standIns.services) {
      const stats = await service.getStats();
      for (const [id, count] of Object.entries(stats.runsByCall)) {
        runs.set(id, (runs.get(id) ?? 0) + count);
      }
    }
    return runs;
  }

  /** Injects faults into services, storage and one daemon while calls are outstanding. */
  async function applyFaults(): Promise<void> {
    const [first, second] = site.standIns.services;
    const {platform} = site.standIns;
    await first!.setFaults({
      lostReply: {next: 0, probability: 0.3},
      seed: SEED,
    });
    await second!.setFaults({refused: {next: 0, probability: 0.3}, seed: SEED});
    await platform.setFaults({
      table: {lostReply: {next: 0, probability: 0.2}},
      seed: SEED,
    });
    await sleepMs(1500);
    const killed = site.fleet.daemons[1]!;
    await killed.kill();
    await sleepMs(1000);
    await platform.setFaults({table: {down: true}});
    await sleepMs(1000);
    await platform.setFaults({table: {down: false}});
    await killed.start();
  }

  it('holds during lost replies, refusals, a storage outage and a kill', async () => {
    const singles = new Map<string, CallAnswer | undefined>();
    const faults = applyFaults();
    const sendKeyed = async (index: number): Promise<void> => {
      await sleepMs(random.takeUniform() * 4000);
      for (let resend = 0; resend < 3; resend++) {
        await send(`keyed-${index}`, true);
        await sleepMs(random.takeUniform() * 500);
      }
    };
    const sendSingle = async (index: number): Promise<void> => {
      await sleepMs(random.takeUniform() * 4000);
      singles.set(`single-${index}`, await send(`single-${index}`, false));
    };
    await Promise.all([
      faults,
      ...Array.from({length: KEYED_CALLS}, (unused, i) => sendKeyed(i)),
      ...Array.from({length: SINGLE_CALLS}, (unused, i) => sendSingle(i)),
    ]);
    const runs = await countRuns();
    const repeated = [...runs].filter(([, count]) => count > 1);
    expect(repeated, 'calls that ran more than once').to.deep.equal([]);
    let notRun = 0;
    for (const [id, answer] of singles) {
      if (answer?.headers['x-savoryspur-run'] !== 'not_run') continue;
      notRun += 1;
      expect(runs.get(id) ?? 0, `${id} said "not run"`).to.equal(0);
    }
    const answered = [...singles.values()].filter((a) => a?.status === 200);
    console.log(
      `seed ${SEED}: ${runs.size} calls ran, ${answered.length} of ${SINGLE_CALLS} single calls answered, ${notRun} said "not run"`,
    );
    expect(answered.length).to.be.greaterThan(0);
    expect(notRun).to.be.greaterThan(0);
  });

  it('returns the stored answer to a repeated call on another host', async () => {
    for (const service of site.standIns.services) {
      await service.setFaults({
        lostReply: {next: 0, probability: 0},
        refused: {next: 0, probability: 0},
      });
    }
    const answers: string[] = [];
    for (const url of site.fleet.listCallerUrls()) {
      const answer = await caller.send(url, '/ledger/invoices', {
        method: 'POST',
        headers: {'idempotency-key': 'resend-1'},
        body: JSON.stringify({callId: 'resend-1'}),
      });
      answers.push(answer.text);
    }
    expect(new Set(answers).size).to.equal(1);
    expect((await countRuns()).get('resend-1')).to.equal(1);
  });

  it('refuses a different call with a used idempotency key', async () => {
    const url = site.fleet.listCallerUrls()[0]!;
    const answer = await caller.send(url, '/ledger/invoices', {
      method: 'POST',
      headers: {'idempotency-key': 'resend-1'},
      body: JSON.stringify({callId: 'other'}),
    });
    expect(answer.status).to.equal(409);
    expect(answer.headers['x-savoryspur-run']).to.equal('not_run');
    expect((await countRuns()).get('other') ?? 0).to.equal(0);
  });
});
