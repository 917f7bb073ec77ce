/**
 * The running jobs, read by a rolling scan. Each read takes one page; the pace
 * follows the bytes read, so that a long list costs no more per second than a
 * short one and is only refreshed less often.
 */
import {BatchEvent, computeWeight} from '@savoryspur/common';
import {type ActiveRow, validateActiveRow} from '@savoryspur/schema';
import type {ActiveJob} from './active_job.js';
import {ACTIVE_PREFIX} from './keys.js';
import {parseRows, type TypedRow} from './rows.js';
import {computePollMs, type WorkerContext} from './worker_context.js';

/** Milliseconds in a second. */
const MS_PER_SECOND = 1000;

/** Weights of the rendezvous hash. */
const WEIGHTS = 2 ** 32;

/** Bytes of one active row on the wire. */
const ROW_BYTES = 320;

/** Jobs that run, as this host knows them. */
export class ActiveJobCache {
  private readonly jobs = new Map<string, ActiveJob>();
  /** Jobs known to have ended whose rows may still be seen. */
  private readonly ended = new Set<string>();
  private after = '';
  private nextScanMs = -Infinity;

  /**
   * @param context - table, clock and bounds
   */
  constructor(private readonly context: WorkerContext) {}

  /** Lists the jobs. */
  list(): Iterable<ActiveJob> {
    return this.jobs.values();
  }

  /** Counts the jobs. */
  count(): number {
    return this.jobs.size;
  }

  /** Forgets a job that ended. */
  remove(job: ActiveJob): void {
    this.jobs.delete(job.key);
    this.ended.add(job.key);
  }

  /** Tells whether a job is known to run. */
  has(key: string): boolean {
    return this.jobs.has(key);
  }

  /** Finds a job by its id. */
  find(jobId: string): ActiveJob | undefined {
    for (const job of this.jobs.values()) {
      if (job.row.jobId === jobId) return job;
    }
    return undefined;
  }

  /**
   * Reads the next page when it is due.
   *
   * @returns whether the platform answered
   */
  async scan(): Promise<boolean> {
    const {clock, table, bounds, log} = this.context;
    if (clock.now() < this.nextScanMs) return false;
    const limit = bounds.scanRows;
    const range = {prefix: ACTIVE_PREFIX, after: this.after, limit};
    const rows = await table.scan(range);
    if (rows.isErr()) {
      const {origin, message} = rows.error;
      log.record(BatchEvent.ACTIVE_SCAN_FAILED, {...origin, error: message});
      return false;
    }
    const count = rows.value.length;
    const isLastPage = count < limit;
    const last = isLastPage ? '' : rows.value[count - 1]!.key;
    this.replacePage(last, parseRows(rows.value, validateActiveRow, log));
    this.after = last;
    this.nextScanMs = clock.now() + this.computePause(count);
    return true;
  }

  /** Computes the wait that keeps the scans within their bytes a second. */
  private computePause(rows: number): number {
    const bytes = rows * ROW_BYTES;
    const {scanBytesPerSecond} = this.context.bounds;
    const paceMs = (bytes * MS_PER_SECOND) / scanBytesPerSecond;
    return Math.max(computePollMs(this.context), paceMs);
  }

  /**
   * Replaces what is known of the keys of a page.
   *
   * @param last - last key of the page; empty when the page ends the list
   * @param rows - rows of the page
   */
  private replacePage(
    last: string,
    rows: ReadonlyArray<TypedRow<ActiveRow>>,
  ): void {
    const seen = new Set(rows.map((row) => row.key));
    const isOnPage = (key: string) =>
      key > this.after && (last === '' || key <= last);
    for (const key of this.jobs.keys()) {
      if (isOnPage(key) && !seen.has(key)) this.jobs.delete(key);
    }
    for (const key of this.ended) {
      if (isOnPage(key) && !seen.has(key)) this.ended.delete(key);
    }
    const firstSeenMs = this.context.clock.now();
    for (const {key, version, value} of rows) {
      if (this.ended.has(key) || this.jobs.has(key)) continue;
      const weight = computeWeight(value.jobId, this.context.host) / WEIGHTS;
      this.jobs.set(key, {key, version, row: value, weight, firstSeenMs});
    }
  }
}
