/** Selects the running jobs that this host works on and their order. */
import {ActiveJobCache} from './active_job_cache.js';
import type {ActiveJob} from './active_job.js';
import {FairShare} from './fair_share.js';
import {ChunkScanner} from './chunk_scanner.js';
import {ReadTokenBucket} from './read_token_bucket.js';
import type {WorkerContext} from './worker_context.js';

/**
 * Maximum number of times that the number of hosts per job doubles, as applied
 * by a host that holds chunks.
 */
const MAX_BUSY_HOST_DOUBLINGS = 3;

/**
 * Maximum number of times that the number of hosts per job doubles, as applied
 * by a host that holds no chunk.
 */
const MAX_IDLE_HOST_DOUBLINGS = 20;

/** Lookup of the chunks that this host holds. */
export interface HeldChunkLookup {
  /** Tells whether the host holds a chunk of a job. */
  has(job: ActiveJob, chunk: number): boolean;
  /** Counts the chunks of all jobs. */
  count(): number;
}

/** Selects jobs for one host. */
export class JobScheduler {
  readonly activeJobs: ActiveJobCache;
  private readonly fairShare: FairShare;
  private readonly readBucket: ReadTokenBucket;
  private readonly scanners = new Map<string, ChunkScanner>();

  /**
   * @param context - storage, clock, callbacks and bounds
   * @param held - chunks that this host holds
   */
  constructor(
    private readonly context: WorkerContext,
    private readonly held: HeldChunkLookup,
  ) {
    this.activeJobs = new ActiveJobCache(context);
    this.fairShare = new FairShare(context.getWorkspaceWeight);
    this.readBucket = new ReadTokenBucket(
      context.clock,
      context.bounds.fleetChunkReadsPerSecond,
      () => context.listHosts().length,
    );
  }

  /** Tells whether the token bucket allows a read of chunk rows now. */
  hasReadToken(): boolean {
    return this.readBucket.hasToken();
  }

  /**
   * Lists the jobs that this host works on now. Rendezvous hashing selects the
   * hosts of a job: at first as many as the job has chunks, but at least
   * `initialHostsPerJob`. Their number doubles every `hostsPerJobDoublingMs`,
   * so that no job stays without a host that has room. A host that holds chunks
   * follows fewer doublings than an idle host, so it works on fewer jobs.
   */
  listCandidates(): ActiveJob[] {
    const hosts = this.context.listHosts().length;
    const jobs = [...this.activeJobs.list()];
    return jobs.filter(
      (job) => this.computeHostFraction(job, hosts) > 1 - job.rendezvousWeight,
    );
  }

  /** Chooses the next job among the candidates whose scan is due. */
  choose(candidates: Iterable<ActiveJob>): ActiveJob | undefined {
    const due: ActiveJob[] = [];
    for (const job of candidates) {
      if (this.getScanner(job).isScanDue()) due.push(job);
    }
    return this.fairShare.choose(due);
  }

  /** Records claimed items of a job for the fair share of its workspace. */
  recordClaimedItems(job: ActiveJob, items: number): void {
    this.fairShare.recordItems(job.row.workspace, items);
  }

  /** Gets the chunk scanner of a job; creates it on the first call. */
  getScanner(job: ActiveJob): ChunkScanner {
    const existing = this.scanners.get(job.key);
    if (existing) return existing;
    const isHeld = (chunk: number) => this.held.has(job, chunk);
    const scanner = new ChunkScanner(
      this.context,
      job,
      this.readBucket,
      isHeld,
    );
    this.scanners.set(job.key, scanner);
    return scanner;
  }

  /** Removes a job that has ended. */
  remove(job: ActiveJob): void {
    this.activeJobs.remove(job);
    this.scanners.delete(job.key);
  }

  /** Removes the scanners of ended jobs and the shares of idle workspaces. */
  removeUnused(): void {
    this.fairShare.removeIdle();
    for (const key of this.scanners.keys()) {
      if (!this.activeJobs.has(key)) this.scanners.delete(key);
    }
  }

  /**
   * Computes the fraction of all hosts that work on a job; above 1 when every
   * host does.
   *
   * @param hosts - number of hosts
   */
  private computeHostFraction(job: ActiveJob, hosts: number): number {
    const {bounds, clock} = this.context;
    const initialHosts = Math.max(bounds.initialHostsPerJob, job.row.chunks);
    const ageMs = clock.now() - job.firstSeenMs;
    const doublings = Math.floor(ageMs / bounds.hostsPerJobDoublingMs);
    const limit =
      this.held.count() > 0 ? MAX_BUSY_HOST_DOUBLINGS : MAX_IDLE_HOST_DOUBLINGS;
    return (initialHosts * 2 ** Math.min(doublings, limit)) / hosts;
  }
}
