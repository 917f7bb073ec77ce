import {SystemClock} from '@savoryspur/common';
import {
  SHORT_TIMEOUT_SETTINGS,
  Site,
  SITE_MODEL,
  SITE_WORKSPACES,
  SiteCaller,
  waitUntil,
} from '@savoryspur/proofs';
import {LoadGenerator, LoadOutcome} from '@savoryspur/testkit';
import {expect} from 'chai';

/** Tokens of one batch item. */
const BATCH_TOKENS = 400;

/** Time between tokens of the engines, milliseconds; an item takes 8 s. */
const BETWEEN_TOKENS_MS = 20;

/** The users' target for the first token of 95 in 100, milliseconds. */
const FIRST_TOKEN_MS = 490;

describe('point 3: online requests are not held up by batch work', () => {
  let site: Site;

  before(async () => {
    site = await Site.start({
      zones: ['langley'],
      hostsPerZone: 3,
      enginesPerZone: 2,
      servicesPerZone: 0,
      engineArgs: {warm: true, 'between-tokens-ms': BETWEEN_TOKENS_MS},
      settings: SHORT_TIMEOUT_SETTINGS,
      adjustDocument: (document) => {
        Object.assign(document.pools![0]!, {
          warmCapacity: 6,
          coldCapacity: 6,
          warmupRequests: 0,
          betweenTokensMs: 200,
        });
      },
    });
  });

  after(() => site?.stop());

  it('gives an online burst its first tokens within the target', async () => {
    const [bulk, online] = SITE_WORKSPACES;
    const url = site.fleet.listCallerUrls()[0]!;
    const prompts = new Map<string, string>();
    for (let i = 0; i < 60; i++) prompts.set(`lot-${i}`, `Long report ${i}`);
    const bulkCaller = new SiteCaller(bulk!);
    await bulkCaller.submitJob(url, prompts, undefined, BATCH_TOKENS);
    const isBusy = async () => {
      const stats = await Promise.all(
        site.standIns.engines.map((engine) => engine.getStats()),
      );
      return stats.every(({running}) => running >= 4);
    };
    expect(await waitUntil(isBusy, 20_000), 'batch fills').to.equal(true);
    const load = new LoadGenerator(
      {
        urls: site.fleet.listCallerUrls(),
        key: online!.secret,
        model: SITE_MODEL,
        ratePerSecond: 15,
        durationMs: 4000,
        seed: 3,
        timeoutMs: 20_000,
      },
      new SystemClock(),
    );
    const report = await load.run();
    const stats = await Promise.all(
      site.standIns.engines.map((engine) => engine.getStats()),
    );
    const cancelled = stats.reduce((sum, s) => sum + s.cancelled, 0);
    console.log(
      `${JSON.stringify(report.describe())}; ${cancelled} batch streams cancelled`,
    );
    expect(report.count(LoadOutcome.COMPLETE)).to.equal(report.countSent());
    const firstTokenMs = report.firstToken.computePercentile(95);
    expect(firstTokenMs).to.be.at.most(FIRST_TOKEN_MS);
    expect(cancelled).to.be.greaterThan(0);
  });
});
