/** The running jobs that one host looks at, and in which order. */
import {ActiveJobCache} from './active_job_cache.js';
import type {ActiveJob} from './active_job.js';
import {FairShare} from './fair_share.js';
import {ChunkScanner} from './chunk_scanner.js';
import {ReadTokenBucket} from './read_token_bucket.js';
import type {WorkerContext} from './worker_context.js';

/** Doublings of the hosts that look at a job, for hosts with work. */
const BUSY_DOUBLINGS = 3;

/** Doublings of the hosts that look at a job, for hosts without work. */
const IDLE_DOUBLINGS = 20;

/** Chunks that a host holds. */
export interface HeldChunks {
  /** Tells whether the host holds a chunk of a job. */
  has(job: ActiveJob, chunk: number): boolean;
  /** Counts the chunks of all jobs. */
  count(): number;
}

/** Jobs of one host. */
export class JobScheduler {
  readonly directory: ActiveJobCache;
  private readonly fairShare: FairShare;
  private readonly pacer: ReadTokenBucket;
  private readonly probes = new Map<string, ChunkScanner>();

  /**
   * @param context - platform, clock, callbacks and bounds
   * @param held - chunks of this host
   */
  constructor(
    private readonly context: WorkerContext,
    private readonly held: HeldChunks,
  ) {
    this.directory = new ActiveJobCache(context);
    this.fairShare = new FairShare(context.getWeight);
    this.pacer = new ReadTokenBucket(
      context.clock,
      context.bounds.fleetProbesPerSecond,
      () => context.listHosts().length,
    );
  }

  /** Tells whether this host may look for a chunk now. */
  hasToken(): boolean {
    return this.pacer.hasToken();
  }

  /**
   * Lists the jobs that this host looks at now: as many hosts look at a job as
   * it has chunks, and twice as many after each while, so that none is
   * overlooked. A host that has work stays with fewer jobs than an idle one.
   */
  listCandidates(): ActiveJob[] {
    const hosts = this.context.listHosts().length;
    const jobs = [...this.directory.list()];
    return jobs.filter((job) => this.computeShare(job, hosts) > 1 - job.weight);
  }

  /** Chooses the job to look at next. */
  choose(candidates: Iterable<ActiveJob>): ActiveJob | undefined {
    const due: ActiveJob[] = [];
    for (const job of candidates) {
      if (this.getProbe(job).isDue()) due.push(job);
    }
    return this.fairShare.choose(due);
  }

  /** Records items of a job that this host took. */
  spend(job: ActiveJob, items: number): void {
    this.fairShare.spend(job.row.workspace, items);
  }

  /** Gets what is known of the chunks of a job. */
  getProbe(job: ActiveJob): ChunkScanner {
    const known = this.probes.get(job.key);
    if (known) return known;
    const isHeld = (chunk: number) => this.held.has(job, chunk);
    const probe = new ChunkScanner(this.context, job, this.pacer, isHeld);
    this.probes.set(job.key, probe);
    return probe;
  }

  /** Forgets a job that ended. */
  remove(job: ActiveJob): void {
    this.directory.remove(job);
    this.probes.delete(job.key);
  }

  /** Forgets what belongs to jobs that no longer run. */
  clear(): void {
    this.fairShare.clear();
    for (const key of this.probes.keys()) {
      if (!this.directory.has(key)) this.probes.delete(key);
    }
  }

  /** Computes the part of the hosts that look at a job. */
  private computeShare(job: ActiveJob, hosts: number): number {
    const {bounds, clock} = this.context;
    const first = Math.max(bounds.firstCandidates, job.row.chunks);
    const ageMs = clock.now() - job.firstSeenMs;
    const doublings = Math.floor(ageMs / bounds.candidateDoublingMs);
    const limit = this.held.count() > 0 ? BUSY_DOUBLINGS : IDLE_DOUBLINGS;
    return (first * 2 ** Math.min(doublings, limit)) / hosts;
  }
}
