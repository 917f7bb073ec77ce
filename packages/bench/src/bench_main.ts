/**
 * Measures online traffic without and with concurrent batch work on a small
 * fleet: `npm run bench`. The result also gives the latencies with batch work as
 * ratios to those without.
 */
import fs from 'node:fs/promises';
import path from 'node:path';
import {SystemClock} from '@savoryspur/common';
import {
  Site,
  SITE_MODEL,
  SITE_WORKSPACES,
  SiteCaller,
} from '@savoryspur/proofs';
import {LoadGenerator, LoadOutcome, type LoadReport} from '@savoryspur/testkit';

const RESULT_FILE = path.resolve(
  import.meta.dirname,
  '../../../../docs/results/bench.json',
);

/** Seed of the random arrival times of online requests. */
const SEED = 11;

/** Mean arrival rate of online requests, per second. */
const ONLINE_RATE_PER_SECOND = 20;

/** Duration of the online load in each variant, milliseconds. */
const VARIANT_DURATION_MS = 20_000;

/** Time in which batch work fills the servers before online load starts, milliseconds. */
const BATCH_RAMP_UP_MS = 3000;

/** Maximum number of tokens in the answer to an online request. */
const ONLINE_MAX_TOKENS = 24;

/** Timeout of an online request, milliseconds. */
const ONLINE_TIMEOUT_MS = 20_000;

/** Items of the batch job: more than the fleet can complete during the measurement. */
const BATCH_ITEMS = 20_000;

const PERCENTILES = [50, 95, 99];

/** Percentiles of one latency by name, such as `p95`; milliseconds or ratios. */
type Percentiles = Record<string, number>;

/** Result of one variant; the fields are written to the result file. */
interface VariantResult {
  name: string;
  sent: number;
  whole: number;
  firstTokenMs: Percentiles;
  betweenTokensMs: Percentiles;
  batchItemsPerSecond: number;
}

const clock = new SystemClock();

async function runOnline(site: Site): Promise<LoadReport> {
  const generator = new LoadGenerator(
    {
      urls: site.fleet.listCallerUrls(),
      key: SITE_WORKSPACES[0]!.secret,
      model: SITE_MODEL,
      ratePerSecond: ONLINE_RATE_PER_SECOND,
      durationMs: VARIANT_DURATION_MS,
      seed: SEED,
      timeoutMs: ONLINE_TIMEOUT_MS,
      maxTokens: ONLINE_MAX_TOKENS,
    },
    clock,
  );
  return generator.run();
}

async function runAlone(site: Site): Promise<VariantResult> {
  return describeVariant('online alone', await runOnline(site), 0);
}

async function runWithBatch(site: Site): Promise<VariantResult> {
  const caller = new SiteCaller(SITE_WORKSPACES[1]!);
  const [url] = site.fleet.listCallerUrls();
  const prompts = new Map(
    Array.from({length: BATCH_ITEMS}, (unused, i) => [`item-${i}`, `lot ${i}`]),
  );
  const job = await caller.submitJob(url!, prompts);
  await clock.sleep(BATCH_RAMP_UP_MS);
  const before = await countCompleted(site);
  const startMs = clock.now();
  const report = await runOnline(site);
  const seconds = (clock.now() - startMs) / 1000;
  const completed = (await countCompleted(site)) - before;
  const items = completed - report.count(LoadOutcome.COMPLETE);
  await caller.send(url!, `/v1/batches/${job.id}/cancel`, {method: 'POST'});
  return describeVariant('online with batch', report, items / seconds);
}

/** Counts the requests that the engines completed, both online requests and batch items. */
async function countCompleted(site: Site): Promise<number> {
  let count = 0;
  for (const engine of site.standIns.engines) {
    count += (await engine.getStats()).completed;
  }
  return count;
}

function describeVariant(
  name: string,
  report: LoadReport,
  batchItemsPerSecond: number,
): VariantResult {
  const computePercentiles = (
    read: (percentile: number) => number,
  ): Percentiles =>
    Object.fromEntries(PERCENTILES.map((p) => [`p${p}`, read(p)]));
  return {
    name,
    sent: report.countSent(),
    whole: report.count(LoadOutcome.COMPLETE),
    firstTokenMs: computePercentiles((p) =>
      report.firstToken.computePercentile(p),
    ),
    betweenTokensMs: computePercentiles((p) =>
      report.betweenTokens.computePercentile(p),
    ),
    batchItemsPerSecond,
  };
}

function computeRatios(value: Percentiles, base: Percentiles): Percentiles {
  return Object.fromEntries(
    Object.entries(value).map(([name, ms]) => [name, ms / base[name]!]),
  );
}

async function main(): Promise<void> {
  const site = await Site.start({
    zones: ['zone-1', 'zone-2'],
    hostsPerZone: 2,
    enginesPerZone: 2,
    servicesPerZone: 0,
    engineArgs: {warm: true, 'first-token-ms': 40, 'between-tokens-ms': 8},
  });
  try {
    const alone = await runAlone(site);
    const batch = await runWithBatch(site);
    const result = {
      command: 'npm run bench',
      seed: SEED,
      measuredAt: clock.nowWall().toISOString(),
      variants: [alone, batch],
      ratios: {
        firstToken: computeRatios(batch.firstTokenMs, alone.firstTokenMs),
        betweenTokens: computeRatios(
          batch.betweenTokensMs,
          alone.betweenTokensMs,
        ),
      },
      notRun: [
        'online with non-preemptible batch work: daemons have no setting that disables preemption',
      ],
    };
    const text = `${JSON.stringify(result, null, 1)}\n`;
    await fs.mkdir(path.dirname(RESULT_FILE), {recursive: true});
    await fs.writeFile(RESULT_FILE, text);
    process.stdout.write(text);
  } finally {
    await site.stop();
  }
}

await main();
