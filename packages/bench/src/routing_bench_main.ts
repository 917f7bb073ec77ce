/**
 * Measures routing in a simulation: the cost of grants, and the latency of online
 * requests without batch work, with preemptible and with non-preemptible batch
 * work. Run `node packages/bench/dist/src/routing_bench_main.js [seconds] [seed]`;
 * it prints one JSON object.
 */
import {SystemClock} from '@savoryspur/common';
import {type Pool, PoolKind, TrafficClass} from '@savoryspur/schema';
import {measureGrants} from './grant_cost.js';
import {RunStats, runRequest, startSimulation} from './routing_simulation.js';

/** Default duration of the online load in one variant, seconds. */
const DEFAULT_SECONDS = 12;

/** Number of loops that send batch requests, each with one request in flight at a time. */
const BATCH_LOOPS = 64;

/** Tokens in the answer to a batch request. */
const BATCH_TOKENS = 120;

/** Tokens in the answer to an online request. */
const ONLINE_TOKENS = 20;

/** Time between the starts of two online bursts, milliseconds. */
const BURST_PERIOD_MS = 3000;

/** Duration of an online burst, milliseconds. */
const BURST_MS = 600;

/** Mean time between online arrivals outside of bursts, milliseconds. */
const MEAN_ARRIVAL_GAP_MS = 40;

/** Mean time between online arrivals in a burst, milliseconds. */
const MEAN_BURST_ARRIVAL_GAP_MS = 5;

/** Time for which batch work runs before online load starts, milliseconds. */
const BATCH_RAMP_UP_MS = 2000;

/** Latency objective so large that no request misses it, milliseconds. */
const NO_OBJECTIVE_MS = 1e9;

/** Time in which the owner takes over the pool's servers, milliseconds. */
const OWNER_TAKEOVER_MS = 200;

const clock = new SystemClock();

/** Pool of the simulated engines. */
const ENGINE_POOL: Pool = {
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

/** Creates a seeded random number generator (mulberry32). */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
  };
}

/** One variant of the comparison of traffic classes. */
interface Variant {
  name: string;
  hasBatch: boolean;
  isBatchPreemptible: boolean;
}

/**
 * Sends online requests as a Poisson process whose rate rises in bursts.
 *
 * @param run - runs the request of a name to its end
 * @param endMs - time from which no request is sent, on the monotonic clock,
 *   milliseconds
 * @param seed - seed of the arrival times
 */
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
    const gapMs = isBurst ? MEAN_BURST_ARRIVAL_GAP_MS : MEAN_ARRIVAL_GAP_MS;
    dueMs -= Math.log(1 - random()) * gapMs;
  }
  await Promise.all(requests);
}

/** Measures one variant; the result is printed as JSON. */
async function measureVariant(
  variant: Variant,
  seconds: number,
  seed: number,
): Promise<Record<string, number | string>> {
  const pool = variant.isBatchPreemptible
    ? ENGINE_POOL
    : {
        ...ENGINE_POOL,
        headroom: 0,
        firstTokenMs: NO_OBJECTIVE_MS,
        betweenTokensMs: NO_OBJECTIVE_MS,
      };
  const settings = {isBatchPreemptible: variant.isBatchPreemptible};
  const fleet = startSimulation({clock, pool, servers: 3, settings});
  await clock.sleep(OWNER_TAKEOVER_MS);
  const stats = new RunStats();
  const rampMs = variant.hasBatch ? BATCH_RAMP_UP_MS : 0;
  const endMs = clock.now() + rampMs + seconds * 1000;
  const batchLoops: Array<Promise<void>> = [];
  const runBatchLoop = async (loop: number): Promise<void> => {
    for (let i = 0; clock.now() < endMs; i++) {
      const name = `batch-${loop}-${i}`;
      const trafficClass = TrafficClass.BATCH;
      const request = {name, trafficClass, tokens: BATCH_TOKENS};
      await runRequest(fleet, clock, request, stats);
    }
  };
  for (let i = 0; variant.hasBatch && i < BATCH_LOOPS; i++) {
    batchLoops.push(runBatchLoop(i));
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
  await Promise.all(batchLoops);
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

/** Runs all measurements and prints the result. */
async function main(): Promise<void> {
  const seconds = Number(process.argv[2] ?? DEFAULT_SECONDS);
  const seed = Number(process.argv[3] ?? 1);
  const grants = [];
  for (const servers of [28, 112, 418]) {
    grants.push(await measureGrants(clock, ENGINE_POOL, servers));
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
