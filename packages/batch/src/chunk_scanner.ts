/** Scans the chunk rows of one job for a chunk that this host may claim. */
import {
  type ChunkRow,
  ChunkState,
  type OutcomeCounts,
  validateChunkRow,
} from '@savoryspur/schema';
import type {ActiveJob} from './active_job.js';
import type {ClaimCandidate} from './chunk_claim.js';
import {formatChunkRowKey, parseChunkNumber} from './keys.js';
import type {ReadTokenBucket} from './read_token_bucket.js';
import {parseRows, type TypedRow} from './rows.js';
import type {WorkerContext} from './worker_context.js';

/**
 * Chunk rows in the first read of a scan; doubles while no chunk is claimable.
 */
const INITIAL_PAGE_CHUNKS = 8;

/** Maximum number of chunk rows in one read. */
const MAX_PAGE_CHUNKS = 128;

/**
 * A lease of another process as this host has observed it. The lease has
 * expired when its nonce and renewal count stay the same for the term of the
 * lease.
 */
interface ObservedLease {
  nonce: string;
  renewal: number;
  /** Monotonic time after the first read with these values, milliseconds. */
  sinceMs: number;
}

/** Result of a scan. */
export enum ScanResult {
  /** A claimable chunk was found. */
  CANDIDATE = 'candidate',
  /** No chunk is claimable at present. */
  NOTHING = 'nothing',
  /** Every chunk is done. */
  ALL_DONE = 'all_done',
  /** The table service is unavailable. */
  STORE_UNAVAILABLE = 'store_away',
}

/** Result of a scan, with the claimable chunk if there is one. */
export interface ScanOutcome {
  result: ScanResult;
  candidate?: ClaimCandidate;
}

/** Scans the chunks of one job and remembers which are done. */
export class ChunkScanner {
  private readonly doneChunks = new Set<number>();
  private readonly observedLeases = new Map<number, ObservedLease>();
  private readonly doneCounts: OutcomeCounts = {completed: 0, failed: 0};
  private cursor: number;
  private emptyScans = 0;
  private nextScanMs = -Infinity;

  /**
   * @param context - table, clock and identity of the host
   * @param job - the job
   * @param readBucket - token bucket for reads of chunk rows
   * @param isHeld - tells whether this host holds a chunk of the job
   */
  constructor(
    private readonly context: WorkerContext,
    private readonly job: ActiveJob,
    private readonly readBucket: ReadTokenBucket,
    private readonly isHeld: (chunk: number) => boolean,
  ) {
    this.cursor = Math.floor(job.rendezvousWeight * job.row.chunks);
  }

  /** Gets the outcome counts of all chunks that are known to be done. */
  getDoneCounts(): OutcomeCounts {
    return {...this.doneCounts};
  }

  /** Tells whether the backoff after empty scans has elapsed. */
  isScanDue(): boolean {
    return this.context.clock.now() >= this.nextScanMs;
  }

  /** Makes the next scan due at once. */
  resetBackoff(): void {
    this.emptyScans = 0;
    this.nextScanMs = -Infinity;
  }

  /** Records that a chunk is done, with the outcome counts of its row. */
  markDone(chunk: number, row: ChunkRow): void {
    if (this.doneChunks.has(chunk)) return;
    this.doneChunks.add(chunk);
    this.observedLeases.delete(chunk);
    this.doneCounts.completed += row.completed;
    this.doneCounts.failed += row.failed;
  }

  /**
   * Reads chunk rows until it finds a claimable chunk or has read all of them.
   * The first chunk differs between hosts, so that they rarely compete for the
   * same chunk.
   */
  async findClaimable(): Promise<ScanOutcome> {
    const unfinished = this.listUnfinished();
    let start = 0;
    for (let size = INITIAL_PAGE_CHUNKS; start < unfinished.length; size *= 2) {
      const count = Math.min(size, MAX_PAGE_CHUNKS);
      const outcome = await this.readPage(
        unfinished.slice(start, start + count),
      );
      if (outcome) return outcome;
      start += count;
    }
    if (this.doneChunks.size === this.job.row.chunks) {
      return {result: ScanResult.ALL_DONE};
    }
    this.pauseScans();
    return {result: ScanResult.NOTHING};
  }

  /**
   * Lists the chunks that are neither known to be done nor held by this host,
   * starting at the cursor and wrapping around.
   */
  private listUnfinished(): number[] {
    const {chunks} = this.job.row;
    const unfinished: number[] = [];
    for (let step = 0; step < chunks; step++) {
      const chunk = (this.cursor + step) % chunks;
      if (!this.doneChunks.has(chunk) && !this.isHeld(chunk))
        unfinished.push(chunk);
    }
    return unfinished;
  }

  /**
   * Reads the rows of some chunks. A chunk whose row is invalid is skipped.
   *
   * @returns the outcome of the scan, or undefined when no chunk of the page is
   *     claimable
   */
  private async readPage(page: number[]): Promise<ScanOutcome | undefined> {
    const {table, clock, log} = this.context;
    this.readBucket.spendTokens(1);
    const requestedMs = clock.now();
    const read = await table.read(
      page.map((chunk) => formatChunkRowKey(this.job.row.jobId, chunk)),
    );
    if (read.isErr()) return {result: ScanResult.STORE_UNAVAILABLE};
    const answeredMs = clock.now();
    const rows = parseRows(read.value, validateChunkRow, log);
    const byChunk = new Map(
      rows.map((row) => [parseChunkNumber(row.key), row]),
    );
    const present = new Set(read.value.map((row) => parseChunkNumber(row.key)));
    let found: ClaimCandidate | undefined;
    for (const chunk of page) {
      const row = byChunk.get(chunk);
      if (row === undefined && present.has(chunk)) continue;
      const isClaimable = this.observeRow(chunk, row, requestedMs, answeredMs);
      if (isClaimable) found ??= {job: this.job, chunk, row};
    }
    if (!found) return undefined;
    this.cursor = (found.chunk + 1) % this.job.row.chunks;
    this.emptyScans = 0;
    return {result: ScanResult.CANDIDATE, candidate: found};
  }

  /**
   * Records what the row of a chunk says about its lease.
   *
   * @param row - the row; undefined when no host has claimed the chunk yet
   * @param requestedMs - monotonic time before the read, milliseconds
   * @param answeredMs - monotonic time after the read, milliseconds
   * @returns whether the chunk is claimable
   */
  private observeRow(
    chunk: number,
    row: TypedRow<ChunkRow> | undefined,
    requestedMs: number,
    answeredMs: number,
  ): boolean {
    if (row === undefined) return true;
    const {state, nonce, renewal} = row.value;
    if (state === ChunkState.DONE) {
      this.markDone(chunk, row.value);
      return false;
    }
    if (state === ChunkState.RELEASED || this.isOrphaned(row.value))
      return true;
    const observed = this.observedLeases.get(chunk);
    if (observed?.nonce !== nonce || observed.renewal !== renewal) {
      this.observedLeases.set(chunk, {nonce, renewal, sinceMs: answeredMs});
      return false;
    }
    return requestedMs - observed.sinceMs >= this.context.leases.chunkMs;
  }

  /**
   * Tells whether the lease holder is known to have terminated. A lease of this
   * process is orphaned too: chunks that the process still holds are not
   * scanned.
   */
  private isOrphaned(row: ChunkRow): boolean {
    const {host, incarnation, isLeaseHolderTerminated} = this.context;
    if (row.host === host && row.incarnation === incarnation) return true;
    return isLeaseHolderTerminated(row.host, row.incarnation);
  }

  /**
   * Delays the next scan. The delay starts at the poll interval and doubles
   * with each consecutive empty scan, up to a third of the lease term.
   */
  pauseScans(): void {
    const {clock, leases, settings} = this.context;
    const waitMs = Math.min(
      settings.pollMs * 2 ** this.emptyScans,
      Math.max(leases.chunkMs / 3, settings.pollMs),
    );
    this.emptyScans += 1;
    this.nextScanMs = clock.now() + waitMs;
  }
}
