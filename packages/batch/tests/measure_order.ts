/**
 * Simulates several orders of work over the same jobs and measures the lateness
 * of jobs and the workspace with the fewest jobs in time. Run it with `node
 * packages/batch/dist/tests/measure_order.js`; `SEED` seeds the random jobs.
 */
import type {ActiveJob} from '../src/active_job.js';
import {FairShare} from '../src/fair_share.js';

/** Number of hosts; each chooses its jobs independently. */
const HOSTS = 12;

/** Chunks that a host runs at once. */
const CHUNKS_PER_HOST = 2;

/** Duration of one chunk, seconds. */
const CHUNK_DURATION_S = 100;

/** Time in which the jobs arrive, seconds. */
const ARRIVAL_PERIOD_S = 43_200;

/** Parameters of the generated jobs. */
interface Demand {
  name: string;
  /** Work of all jobs as a fraction of the capacity of all hosts. */
  load: number;
  /** Whether all jobs of the largest workspace have the shortest window. */
  isGreedy: boolean;
}

const DEMANDS: Demand[] = [
  {name: '0.95', load: 0.95, isGreedy: false},
  {name: '1.1', load: 1.1, isGreedy: false},
  {name: '1.5', load: 1.5, isGreedy: false},
  {name: '1.5, greedy', load: 1.5, isGreedy: true},
];

/** Fraction of the work by workspace: a few large ones, most small. */
const WORKSPACE_DEMAND_FRACTIONS = [
  0.45, 0.25, 0.12, 0.06, 0.05, 0.04, 0.02, 0.01,
];

/** Completion windows of the jobs, seconds. */
const WINDOWS_S = [3600, 7200, 14_400];

/** Chunks of a small, a medium and a large job. */
const JOB_CHUNKS = [2, 10, 120];

interface SimulatedJob {
  active: ActiveJob;
  arrivalS: number;
  remainingChunks: number;
  runningChunks: number;
  endS: number;
}

type JobOrder = (
  host: number,
  jobs: SimulatedJob[],
) => SimulatedJob | undefined;

/** Creates a seeded generator of random numbers in [0, 1). */
function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state * 1664525 + 1013904223) >>> 0;
    return state / 2 ** 32;
  };
}

function createJobs(seed: number, {load, isGreedy}: Demand): SimulatedJob[] {
  const random = createRandom(seed);
  const total =
    ((HOSTS * CHUNKS_PER_HOST * ARRIVAL_PERIOD_S) / CHUNK_DURATION_S) * load;
  const jobs: SimulatedJob[] = [];
  for (const [n, part] of WORKSPACE_DEMAND_FRACTIONS.entries()) {
    let left = Math.round(total * part);
    while (left > 0) {
      const kind =
        n < 2 ? 1 + Math.floor(random() * 2) : Math.floor(random() * 2);
      const chunks = Math.min(JOB_CHUNKS[kind]!, left);
      left -= chunks;
      const arrivalS = Math.floor(random() * ARRIVAL_PERIOD_S);
      const drawn = Math.floor(random() * WINDOWS_S.length);
      const windowS = WINDOWS_S[isGreedy && n === 0 ? 0 : drawn]!;
      jobs.push(createJob(jobs.length, n, chunks, arrivalS, windowS));
    }
  }
  return jobs.sort((a, b) => a.arrivalS - b.arrivalS);
}

function createJob(
  id: number,
  workspace: number,
  chunks: number,
  arrivalS: number,
  windowS: number,
): SimulatedJob {
  const row = {
    jobId: `job-${id}`,
    workspace: `w${workspace}`,
    indexName: '',
    createdAt: arrivalS,
    deadline: arrivalS + windowS,
    items: chunks,
    chunks,
  };
  const active = {
    key: row.jobId,
    version: 1,
    row,
    rendezvousWeight: 0,
    firstSeenMs: 0,
  };
  return {active, arrivalS, remainingChunks: chunks, runningChunks: 0, endS: 0};
}

/** Creates a fair order; each host has its own fair-share state. */
function createFairOrder(): JobOrder {
  const shares = Array.from({length: HOSTS}, () => new FairShare(() => 1));
  return (host, jobs) => {
    const byActive = new Map(jobs.map((job) => [job.active, job]));
    const chosen = shares[host]!.choose([...byActive.keys()]);
    if (!chosen) return undefined;
    shares[host]!.recordItems(chosen.row.workspace, 1);
    return byActive.get(chosen);
  };
}

const ORDERS = new Map<string, () => JobOrder>([
  ['first in, first out', () => (host, jobs) => jobs[0]],
  [
    'earliest deadline only',
    () => (host, jobs) =>
      jobs.reduce<SimulatedJob | undefined>(
        (best, job) =>
          !best || job.active.row.deadline < best.active.row.deadline
            ? job
            : best,
        undefined,
      ),
  ],
  ['fair, then earliest deadline', createFairOrder],
]);

/** Simulates the hosts and sets the end time of each job. */
function runSimulation(jobs: SimulatedJob[], order: JobOrder): void {
  const workers: Array<{host: number; freeS: number; job?: SimulatedJob}> = [];
  for (let n = 0; n < HOSTS * CHUNKS_PER_HOST; n++) {
    workers.push({host: n % HOSTS, freeS: 0});
  }
  for (let nowS = 0; jobs.some((job) => job.endS === 0); nowS += 1) {
    for (const worker of workers) {
      if (worker.freeS > nowS) continue;
      if (
        worker.job &&
        --worker.job.runningChunks === 0 &&
        worker.job.remainingChunks === 0
      ) {
        worker.job.endS = nowS;
      }
      const open = jobs.filter(
        (job) => job.arrivalS <= nowS && job.remainingChunks > 0,
      );
      worker.job = order(worker.host, open);
      if (!worker.job) continue;
      worker.job.remainingChunks -= 1;
      worker.job.runningChunks += 1;
      worker.freeS = nowS + CHUNK_DURATION_S;
    }
  }
}

/** Computes the fraction of the jobs of a workspace that end in time. */
function computeOnTime(jobs: SimulatedJob[], n: number): number {
  const own = jobs.filter((job) => job.active.row.workspace === `w${n}`);
  const good = own.filter((job) => job.endS <= job.active.row.deadline);
  return good.length / own.length;
}

/**
 * Prints one row: lateness of all jobs and the workspaces with most late jobs.
 */
function report(demand: Demand, name: string, jobs: SimulatedJob[]): void {
  const lateness = jobs.map((job) => job.endS - job.active.row.deadline);
  const late = lateness.filter((s) => s > 0).sort((a, b) => a - b);
  const p95 = late[Math.floor(late.length * 0.95)] ?? 0;
  const onTime = WORKSPACE_DEMAND_FRACTIONS.map((part, n) =>
    computeOnTime(jobs, n),
  );
  const within = onTime.filter(
    (value, n) =>
      WORKSPACE_DEMAND_FRACTIONS[n]! * demand.load <=
      1 / WORKSPACE_DEMAND_FRACTIONS.length,
  );
  const formatPart = (part: number) => `${(100 * part).toFixed(1)} %`;
  const columns = [
    demand.name,
    name,
    formatPart(late.length / jobs.length),
    `${Math.round(p95 / 60)} min`,
    formatPart(Math.min(...onTime)),
    formatPart(Math.min(...within)),
  ];
  console.log(`| ${columns.join(' | ')} |`);
}

const seed = Number(process.env.SEED ?? 7);
console.log(`seed ${seed}`);
console.log(
  '| load | order | late jobs | 95th lateness | on time, worst of all | on time, worst within its share |',
);
console.log('| --- '.repeat(6) + '|');
for (const demand of DEMANDS) {
  for (const [name, create] of ORDERS) {
    const jobs = createJobs(seed, demand);
    runSimulation(jobs, create());
    report(demand, name, jobs);
  }
}
