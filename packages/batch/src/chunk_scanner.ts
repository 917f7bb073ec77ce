/** What a host knows of the chunks of one job, and which it may claim. */
import {
  type ChunkRow,
  ChunkState,
  type OutcomeCounts,
  validateChunkRow,
} from '@savoryspur/schema';
import type {ActiveJob} from './active_job.js';
import type {ClaimCandidate} from './chunk_claim.js';
import {formatChunkKey, parseChunkNumber} from './keys.js';
import type {ReadTokenBucket} from './read_token_bucket.js';
import {parseRows, type TypedRow} from './rows.js';
import type {WorkerContext} from './worker_context.js';

/** Chunk rows in the first read of a probe; doubles while none is free. */
const FIRST_PAGE_CHUNKS = 8;

/** Most chunk rows in one read. */
const MAX_PAGE_CHUNKS = 128;

/** A lease of another host as this host saw it. */
interface SeenLease {
  nonce: string;
  renewal: number;
  /** When this host had first read this state, on its monotonic clock. */
  sinceMs: number;
}

/** What a probe found. */
export enum ProbeResult {
  /** A chunk that may be claimed. */
  CANDIDATE = 'candidate',
  /** Nothing to claim now. */
  NOTHING = 'nothing',
  /** Every chunk is done. */
  ALL_DONE = 'all_done',
  /** The platform does not answer. */
  STORE_AWAY = 'store_away',
}

/** Result of a probe, with the chunk found. */
export interface ProbeAnswer {
  result: ProbeResult;
  candidate?: ClaimCandidate;
}

/** Looks through the chunks of one job. */
export class ChunkScanner {
  private readonly done = new Set<number>();
  private readonly seen = new Map<number, SeenLease>();
  private readonly counts: OutcomeCounts = {completed: 0, failed: 0};
  private cursor: number;
  private idleProbes = 0;
  private idleUntilMs = -Infinity;

  /**
   * @param context - table, clock and identity of the host
   * @param job - the job
   * @param pacer - counts the reads
   * @param isHeld - tells whether this host holds a chunk now
   */
  constructor(
    private readonly context: WorkerContext,
    private readonly job: ActiveJob,
    private readonly pacer: ReadTokenBucket,
    private readonly isHeld: (chunk: number) => boolean,
  ) {
    this.cursor = Math.floor(job.weight * job.row.chunks);
  }

  /** Gets the outcomes of all chunks known to be done. */
  getCounts(): OutcomeCounts {
    return {...this.counts};
  }

  /** Tells whether a probe is worth a read now. */
  isDue(): boolean {
    return this.context.clock.now() >= this.idleUntilMs;
  }

  /** Makes the next probe due at once. */
  reset(): void {
    this.idleProbes = 0;
    this.idleUntilMs = -Infinity;
  }

  /** Records a chunk that this host finished. */
  markDone(chunk: number, row: ChunkRow): void {
    if (this.done.has(chunk)) return;
    this.done.add(chunk);
    this.seen.delete(chunk);
    this.counts.completed += row.completed;
    this.counts.failed += row.failed;
  }

  /** Looks for a chunk to claim, from a place that differs between hosts. */
  async find(): Promise<ProbeAnswer> {
    const open = this.listOpen();
    let start = 0;
    for (let size = FIRST_PAGE_CHUNKS; start < open.length; size *= 2) {
      const count = Math.min(size, MAX_PAGE_CHUNKS);
      const answer = await this.readPage(open.slice(start, start + count));
      if (answer) return answer;
      start += count;
    }
    if (this.done.size === this.job.row.chunks) {
      return {result: ProbeResult.ALL_DONE};
    }
    this.pause();
    return {result: ProbeResult.NOTHING};
  }

  /** Lists the chunks not known to be done, from the cursor round. */
  private listOpen(): number[] {
    const {chunks} = this.job.row;
    const open: number[] = [];
    for (let step = 0; step < chunks; step++) {
      const chunk = (this.cursor + step) % chunks;
      if (!this.done.has(chunk) && !this.isHeld(chunk)) open.push(chunk);
    }
    return open;
  }

  private async readPage(page: number[]): Promise<ProbeAnswer | undefined> {
    const {table, clock, log} = this.context;
    this.pacer.spend(1);
    const askedMs = clock.now();
    const read = await table.read(
      page.map((chunk) => formatChunkKey(this.job.row.jobId, chunk)),
    );
    if (read.isErr()) return {result: ProbeResult.STORE_AWAY};
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
      const isFree = this.observe(chunk, row, askedMs, answeredMs);
      if (isFree) found ??= {job: this.job, chunk, row};
    }
    if (!found) return undefined;
    this.cursor = (found.chunk + 1) % this.job.row.chunks;
    this.idleProbes = 0;
    return {result: ProbeResult.CANDIDATE, candidate: found};
  }

  /** Takes in one row; tells whether the chunk may be claimed. */
  private observe(
    chunk: number,
    row: TypedRow<ChunkRow> | undefined,
    askedMs: number,
    answeredMs: number,
  ): boolean {
    if (row === undefined) return true;
    const {state, nonce, renewal} = row.value;
    if (state === ChunkState.DONE) {
      this.markDone(chunk, row.value);
      return false;
    }
    if (state === ChunkState.RELEASED || this.isGone(row.value)) return true;
    const seen = this.seen.get(chunk);
    if (seen?.nonce !== nonce || seen.renewal !== renewal) {
      this.seen.set(chunk, {nonce, renewal, sinceMs: answeredMs});
      return false;
    }
    return askedMs - seen.sinceMs >= this.context.leases.chunkMs;
  }

  /** A lease of this very process that it does not hold is left over too. */
  private isGone(row: ChunkRow): boolean {
    const {
      host,
      incarnation,
      isLeaseHolderTerminated: isHolderGone,
    } = this.context;
    if (row.host === host && row.incarnation === incarnation) return true;
    return isHolderGone(row.host, row.incarnation);
  }

  /** Puts the next probe off; longer with each in a row that found nothing. */
  pause(): void {
    const {clock, leases, settings} = this.context;
    const waitMs = Math.min(
      settings.pollMs * 2 ** this.idleProbes,
      Math.max(leases.chunkMs / 3, settings.pollMs),
    );
    this.idleProbes += 1;
    this.idleUntilMs = clock.now() + waitMs;
  }
}
