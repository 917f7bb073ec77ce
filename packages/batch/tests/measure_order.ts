/**
 * Measures lateness and the worst-served workspace for several orders of work,
 * in one run over the same jobs. Run it with
 * `node packages/batch/dist/tests/measure_order.js`; `SEED` sets the jobs.
 */
import type {ActiveJob} from '../src/active_job.js';
import {FairShare} from '../src/fair_share.js';

/** Hosts that choose on their own. */
const HOSTS = 12;

/** Chunks that a host works on at once. */
const CHUNKS_PER_HOST = 2;

/** Time of one chunk, seconds. */
const CHUNK_DURATION_S = 100;

/** Length of the trace, seconds. */
const TRACE_DURATION_S = 43_200;

/** Demand of the jobs. */
interface Demand {
  name: string;
  /** Part of the capacity that is asked for. */
  load: number;
  /** Whether all jobs of the largest workspace ask for the shortest window. */
  isGreedy: boolean;
}

const DEMANDS: Demand[] = [
  {name: '0.95', load: 0.95, isGreedy: false},
  {name: '1.1', load: 1.1, isGreedy: false},
  {name: '1.5', load: 1.5, isGreedy: false},
  {name: '1.5, greedy', load: 1.5, isGreedy: true},
];

/** Part of the demand of each workspace: a few large, most small. */
const WORKSPACE_DEMAND_FRACTIONS = [
  0.45, 0.25, 0.12, 0.06, 0.05, 0.04, 0.02, 0.01,
];

/** Windows of the jobs, seconds. */
const WINDOWS_S = [3600, 7200, 14_400];

/** Chunks of one job: small, middle and large. */
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

/** Makes a generator of numbers from 0 to below 1. */
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
    ((HOSTS * CHUNKS_PER_HOST * TRACE_DURATION_S) / CHUNK_DURATION_S) * load;
  const jobs: SimulatedJob[] = [];
  for (const [n, part] of WORKSPACE_DEMAND_FRACTIONS.entries()) {
    let left = Math.round(total * part);
    while (left > 0) {
      const kind =
        n < 2 ? 1 + Math.floor(random() * 2) : Math.floor(random() * 2);
      const chunks = Math.min(JOB_CHUNKS[kind]!, left);
      left -= chunks;
      const arrivalS = Math.floor(random() * TRACE_DURATION_S);
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

/** Makes an order in which each host keeps its own account. */
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

/** Works the jobs off and sets the time at which each ends. */
function runSimulation(jobs: SimulatedJob[], order: JobOrder): void {
  const lanes: Array<{host: number; freeS: number; job?: SimulatedJob}> = [];
  for (let n = 0; n < HOSTS * CHUNKS_PER_HOST; n++) {
    lanes.push({host: n % HOSTS, freeS: 0});
  }
  for (let nowS = 0; jobs.some((job) => job.endS === 0); nowS += 1) {
    for (const lane of lanes) {
      if (lane.freeS > nowS) continue;
      if (
        lane.job &&
        --lane.job.runningChunks === 0 &&
        lane.job.remainingChunks === 0
      ) {
        lane.job.endS = nowS;
      }
      const open = jobs.filter(
        (job) => job.arrivalS <= nowS && job.remainingChunks > 0,
      );
      lane.job = order(lane.host, open);
      if (!lane.job) continue;
      lane.job.remainingChunks -= 1;
      lane.job.runningChunks += 1;
      lane.freeS = nowS + CHUNK_DURATION_S;
    }
  }
}

/** Computes the part of the jobs of a workspace that end in time. */
function computeOnTime(jobs: SimulatedJob[], n: number): number {
  const own = jobs.filter((job) => job.active.row.workspace === `w${n}`);
  const good = own.filter((job) => job.endS <= job.active.row.deadline);
  return good.length / own.length;
}

/** Prints one line: lateness over all jobs and the worst workspaces. */
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
