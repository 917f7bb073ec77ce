/**
 * Cache of the running jobs, refreshed by a rolling scan of the active rows.
 * Each read fetches one page, and the next read waits in proportion to the
 * bytes of that page: a long list costs no more bytes per second than a short
 * one, it is only refreshed less often.
 */
import {BatchEvent, computeRendezvousWeight} from '@savoryspur/common';
import {type ActiveJobRow, validateActiveJobRow} from '@savoryspur/schema';
import type {ActiveJob} from './active_job.js';
import {ACTIVE_PREFIX} from './keys.js';
import {parseRows, type TypedRow} from './rows.js';
import {computePollIntervalMs, type WorkerContext} from './worker_context.js';

/** Milliseconds in a second. */
const MS_PER_SECOND = 1000;

/** Exclusive upper bound of the values of the rendezvous hash. */
const RENDEZVOUS_WEIGHT_RANGE = 2 ** 32;

/**
 * Estimated size of one active row in an answer of the table service, bytes.
 */
const ACTIVE_ROW_WIRE_BYTES = 320;

/** Running jobs as last read by this host. */
export class ActiveJobCache {
  private readonly jobs = new Map<string, ActiveJob>();
  /**
   * Keys of jobs that this host knows to have ended. A scan that began earlier
   * may still return their rows.
   */
  private readonly endedKeys = new Set<string>();
  private lastScannedKey = '';
  private nextScanMs = -Infinity;

  /**
   * @param context - table, clock and bounds
   */
  constructor(private readonly context: WorkerContext) {}

  /** Lists the cached jobs. */
  list(): Iterable<ActiveJob> {
    return this.jobs.values();
  }

  /** Counts the cached jobs. */
  count(): number {
    return this.jobs.size;
  }

  /** Removes a job that has ended and ignores its row in later scans. */
  remove(job: ActiveJob): void {
    this.jobs.delete(job.key);
    this.endedKeys.add(job.key);
  }

  /**
   * Tells whether a job is in the cache.
   *
   * @param key - key of the active row
   */
  has(key: string): boolean {
    return this.jobs.has(key);
  }

  /** Finds a cached job by its id. */
  find(jobId: string): ActiveJob | undefined {
    for (const job of this.jobs.values()) {
      if (job.row.jobId === jobId) return job;
    }
    return undefined;
  }

  /**
   * Reads the next page of active rows when its read is due.
   *
   * @returns true after a successful read; false when no read was due or the
   *     table service failed
   */
  async scanNextPage(): Promise<boolean> {
    const {clock, table, bounds, log} = this.context;
    if (clock.now() < this.nextScanMs) return false;
    const limit = bounds.scanPageRows;
    const range = {prefix: ACTIVE_PREFIX, after: this.lastScannedKey, limit};
    const rows = await table.scan(range);
    if (rows.isErr()) {
      const {origin, message} = rows.error;
      log.record(BatchEvent.ACTIVE_SCAN_FAILED, {...origin, error: message});
      return false;
    }
    const count = rows.value.length;
    const isLastPage = count < limit;
    const lastKey = isLastPage ? '' : rows.value[count - 1]!.key;
    this.replacePage(lastKey, parseRows(rows.value, validateActiveJobRow, log));
    this.lastScannedKey = lastKey;
    this.nextScanMs = clock.now() + this.computeScanIntervalMs(count);
    return true;
  }

  /**
   * Computes the wait until the next page so that scans stay within
   * `scanBytesPerSecond`.
   *
   * @param rows - rows of the page just read
   * @returns the wait, milliseconds
   */
  private computeScanIntervalMs(rows: number): number {
    const bytes = rows * ACTIVE_ROW_WIRE_BYTES;
    const {scanBytesPerSecond} = this.context.bounds;
    const byteRateIntervalMs = (bytes * MS_PER_SECOND) / scanBytesPerSecond;
    return Math.max(computePollIntervalMs(this.context), byteRateIntervalMs);
  }

  /**
   * Updates the cache for the key range of one page: removes jobs whose rows
   * are no longer present and adds new ones.
   *
   * @param lastKey - last key of the page; empty when it is the last page
   * @param rows - valid rows of the page
   */
  private replacePage(
    lastKey: string,
    rows: ReadonlyArray<TypedRow<ActiveJobRow>>,
  ): void {
    const seen = new Set(rows.map((row) => row.key));
    const isOnPage = (key: string) =>
      key > this.lastScannedKey && (lastKey === '' || key <= lastKey);
    for (const key of this.jobs.keys()) {
      if (isOnPage(key) && !seen.has(key)) this.jobs.delete(key);
    }
    for (const key of this.endedKeys) {
      if (isOnPage(key) && !seen.has(key)) this.endedKeys.delete(key);
    }
    const firstSeenMs = this.context.clock.now();
    for (const {key, version, value} of rows) {
      if (this.endedKeys.has(key) || this.jobs.has(key)) continue;
      const rendezvousWeight =
        computeRendezvousWeight(value.jobId, this.context.host) /
        RENDEZVOUS_WEIGHT_RANGE;
      this.jobs.set(key, {
        key,
        version,
        row: value,
        rendezvousWeight,
        firstSeenMs,
      });
    }
  }
}
