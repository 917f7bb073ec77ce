/**
 * Measures routing in a model: `node packages/bench/dist/src/routing_bench_main.js
 * [seconds]`. Prints one JSON object.
 */
import {SystemClock} from '@savoryspur/common';
import {type Pool, PoolKind, TrafficClass} from '@savoryspur/schema';
import {measureGrants} from './grant_cost.js';
import {OnlineStats, runRequest, startModel} from './routing_model.js';

/** Longest measurement of one variant unless said otherwise, seconds. */
const DEFAULT_SECONDS = 12;

/** Batch requests that want to run at once. */
const BATCH_LOOPS = 64;

/** Tokens of a batch answer. */
const BATCH_TOKENS = 120;

/** Tokens of an online answer. */
const ONLINE_TOKENS = 20;

/** Period of the online bursts, milliseconds. */
const BURST_PERIOD_MS = 3000;

/** Length of an online burst, milliseconds. */
const BURST_MS = 600;

/** Mean time between online arrivals, milliseconds. */
const CALM_GAP_MS = 40;

/** Mean time between online arrivals in a burst, milliseconds. */
const BURST_GAP_MS = 5;

/** Time for which batch work runs before online requests, milliseconds. */
const RAMP_MS = 2000;

/** A very large objective, which nothing misses, milliseconds. */
const NO_OBJECTIVE_MS = 1e9;

const clock = new SystemClock();

/** Pool of the model. */
const MODEL_POOL: Pool = {
  name: 'assistant',
  kind: PoolKind.ENGINE,
  warmCapacity: 16,
  coldCapacity: 16,
  warmupRequests: 1,
  headroom: 4,
  checksFencing: true,
  firstTokenMs: 150,
  betweenTokensMs: 14,
};

/** Makes a random source with a seed (mulberry32). */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
  };
}

/** One variant of the comparison. */
interface Variant {
  name: string;
  hasBatch: boolean;
  isBatchPreemptible: boolean;
}

/** Sends online requests in bursts until the time is up. */
async function runOnline(
  run: (name: string) => Promise<void>,
  endMs: number,
  seed: number,
): Promise<void> {
  const random = createRandom(seed);
  const startMs = clock.now();
  const requests: Array<Promise<void>> = [];
  let dueMs = startMs;
  while (dueMs < endMs) {
    await clock.sleep(Math.max(dueMs - clock.now(), 0));
    requests.push(run(`online-${requests.length}`));
    const isBurst = (dueMs - startMs) % BURST_PERIOD_MS < BURST_MS;
    const gapMs = isBurst ? BURST_GAP_MS : CALM_GAP_MS;
    dueMs -= Math.log(1 - random()) * gapMs;
  }
  await Promise.all(requests);
}

/** Measures one variant. */
async function measureVariant(
  variant: Variant,
  seconds: number,
  seed: number,
): Promise<Record<string, number | string>> {
  const pool = variant.isBatchPreemptible
    ? MODEL_POOL
    : {
        ...MODEL_POOL,
        headroom: 0,
        firstTokenMs: NO_OBJECTIVE_MS,
        betweenTokensMs: NO_OBJECTIVE_MS,
      };
  const settings = {isBatchPreemptible: variant.isBatchPreemptible};
  const fleet = startModel({clock, pool, servers: 3, settings});
  await clock.sleep(200);
  const stats = new OnlineStats();
  const rampMs = variant.hasBatch ? RAMP_MS : 0;
  const endMs = clock.now() + rampMs + seconds * 1000;
  const loops: Array<Promise<void>> = [];
  const runBatch = async (loop: number): Promise<void> => {
    for (let i = 0; clock.now() < endMs; i++) {
      const name = `batch-${loop}-${i}`;
      const trafficClass = TrafficClass.BATCH;
      const request = {name, trafficClass, tokens: BATCH_TOKENS};
      await runRequest(fleet, clock, request, stats);
    }
  };
  for (let i = 0; variant.hasBatch && i < BATCH_LOOPS; i++) {
    loops.push(runBatch(i));
  }
  await clock.sleep(rampMs);
  stats.batchTokens = 0;
  const trafficClass = TrafficClass.ONLINE;
  const run = (name: string): Promise<void> =>
    runRequest(
      fleet,
      clock,
      {name, trafficClass, tokens: ONLINE_TOKENS},
      stats,
    );
  await runOnline(run, endMs, seed);
  await Promise.all(loops);
  await fleet.stop();
  const {firstToken, betweenTokens} = stats;
  return {
    variant: variant.name,
    online: firstToken.count(),
    refused: stats.refused,
    firstTokenP50: firstToken.computePercentile(50),
    firstTokenP95: firstToken.computePercentile(95),
    firstTokenP99: firstToken.computePercentile(99),
    betweenTokensP50: betweenTokens.computePercentile(50),
    betweenTokensP95: betweenTokens.computePercentile(95),
    batchTokensPerSecond: Math.round(stats.batchTokens / seconds),
    revokedItems: stats.revokedItems,
  };
}

/** Runs all measurements. */
async function main(): Promise<void> {
  const seconds = Number(process.argv[2] ?? DEFAULT_SECONDS);
  const seed = Number(process.argv[3] ?? 1);
  const grants = [];
  for (const servers of [28, 112, 418]) {
    grants.push(await measureGrants(clock, MODEL_POOL, servers));
  }
  const variants = [
    {name: 'online alone', hasBatch: false, isBatchPreemptible: true},
    {name: 'with batch', hasBatch: true, isBatchPreemptible: true},
    {
      name: 'with batch, no yielding',
      hasBatch: true,
      isBatchPreemptible: false,
    },
  ];
  const classes = [];
  for (const variant of variants) {
    classes.push(await measureVariant(variant, seconds, seed));
  }
  console.log(JSON.stringify({seconds, seed, grants, classes}, null, 2));
}

await main();
