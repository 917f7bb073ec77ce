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

/** Maximum number of tokens in the answer to a batch item. */
const BATCH_TOKENS = 400;

/** Time between two tokens of an engine, milliseconds; a batch item takes 8 s. */
const BETWEEN_TOKENS_MS = 20;

/** The users' target for the 95th percentile of the time to the first token, milliseconds. */
const FIRST_TOKEN_TARGET_MS = 490;

describe('point 3: batch work does not delay online requests', () => {
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

  it('answers an online burst with first tokens within the target', async () => {
    const [batchWorkspace, onlineWorkspace] = SITE_WORKSPACES;
    const url = site.fleet.listCallerUrls()[0]!;
    const prompts = new Map<string, string>();
    for (let i = 0; i < 60; i++) prompts.set(`lot-${i}`, `Long report ${i}`);
    const batchCaller = new SiteCaller(batchWorkspace!);
    await batchCaller.submitJob(url, prompts, undefined, BATCH_TOKENS);
    const isBusy = async () => {
      const stats = await Promise.all(
        site.standIns.engines.map((engine) => engine.getStats()),
      );
      return stats.every(({running}) => running >= 4);
    };
    expect(
      await waitUntil(isBusy, 20_000),
      'batch work fills the engines',
    ).to.equal(true);
    const load = new LoadGenerator(
      {
        urls: site.fleet.listCallerUrls(),
        key: onlineWorkspace!.secret,
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
    expect(firstTokenMs).to.be.at.most(FIRST_TOKEN_TARGET_MS);
    expect(cancelled).to.be.greaterThan(0);
  });
});
