/** Counts the items of a job by outcome, from its chunk rows. */
import type {SavoryspurError} from '@savoryspur/common';
import {
  type JobRow,
  JobState,
  type OutcomeCounts,
  validateChunkRow,
} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';
import type {BatchContext} from './context.js';
import {formatChunkRowPrefix} from './keys.js';
import {parseRows, scanPages} from './rows.js';

/** Time for which cached counts of a running job are used, milliseconds. */
const COUNTS_CACHE_TTL_MS = 2000;

/** Maximum number of jobs whose counts are cached. */
const MAX_CACHED_JOBS = 1000;

/** Counts of a running job with the time of their read. */
interface CachedCounts {
  counts: OutcomeCounts;
  readMs: number;
}

/** Counts the outcomes of jobs; caches the counts of running jobs briefly. */
export class OutcomeCounter {
  private readonly cache = new Map<string, CachedCounts>();

  /**
   * @param context - table, clock and log
   */
  constructor(private readonly context: BatchContext) {}

  /**
   * Counts the outcomes of a job. Uses the counts in the job row if there are
   * any, otherwise sums the chunk rows.
   */
  async count(job: JobRow): Promise<Result<OutcomeCounts, SavoryspurError>> {
    if (job.counts) return ok(job.counts);
    if (job.state !== JobState.IN_PROGRESS) {
      return sumOutcomes(this.context, job.id);
    }
    const nowMs = this.context.clock.now();
    const cached = this.cache.get(job.id);
    if (cached && nowMs - cached.readMs < COUNTS_CACHE_TTL_MS)
      return ok(cached.counts);
    const counts = await sumOutcomes(this.context, job.id);
    if (counts.isErr()) return err(counts.error);
    this.storeCounts(job.id, {counts: counts.value, readMs: nowMs});
    return counts;
  }

  /** Adds counts to the cache; a full cache drops the entry stored first. */
  private storeCounts(jobId: string, counts: CachedCounts): void {
    this.cache.delete(jobId);
    const oldest = this.cache.keys().next().value;
    if (this.cache.size >= MAX_CACHED_JOBS && oldest !== undefined) {
      this.cache.delete(oldest);
    }
    this.cache.set(jobId, counts);
  }
}

/**
 * Sums the committed outcomes of a job over its chunk rows. A chunk that was
 * never claimed has no row and no outcomes.
 *
 * @param context - table and log
 * @param jobId - the job
 */
export async function sumOutcomes(
  context: Pick<BatchContext, 'table' | 'log'>,
  jobId: string,
): Promise<Result<OutcomeCounts, SavoryspurError>> {
  const {table, log} = context;
  const counts: OutcomeCounts = {completed: 0, failed: 0};
  for await (const page of scanPages(table, formatChunkRowPrefix(jobId))) {
    if (page.isErr()) return err(page.error);
    for (const row of parseRows(page.value, validateChunkRow, log)) {
      counts.completed += row.value.completed;
      counts.failed += row.value.failed;
    }
  }
  return ok(counts);
}
