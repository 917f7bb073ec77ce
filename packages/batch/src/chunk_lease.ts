/**
 * The lease of one chunk and every write to its row. The lease holder measures
 * the term from before it sends a renewal; another host measures the term from
 * after it has read the row, so the lease ends for the lease holder first. No
 * write takes effect after another host has claimed the chunk or the job has
 * ended.
 */
import type {Clock} from '@savoryspur/common';
import type {TableService} from '@savoryspur/storage';
import {type ChunkRow, validateChunkRow} from '@savoryspur/schema';
import type {ActiveJob} from './active_job.js';
import {formatChunkRowKey, formatJobRowKey} from './keys.js';
import {parseRow} from './rows.js';

/**
 * Fraction of the term during which the lease holder relies on its lease; the
 * remainder allows for clock drift between hosts.
 */
const HOLDER_TERM_FRACTION = 0.9;

/**
 * Maximum number of attempts at one write; after that the table service is
 * considered unavailable.
 */
const MAX_WRITE_ATTEMPTS = 3;

/**
 * Time after a failed write for which {@link ChunkLease.check} sends no
 * renewal, milliseconds.
 */
const UNAVAILABLE_RECHECK_MS = 1000;

/** State of a lease as its holder knows it after a write. */
export enum LeaseState {
  /** The write took effect. */
  HELD = 'held',
  /** The table service is unavailable; the lease may still be held. */
  STORE_UNAVAILABLE = 'store_away',
  /** Another host has claimed the chunk, or the job has ended. */
  LOST = 'lost',
}

/**
 * Computes the next chunk row from the current one, or undefined when the
 * current row needs no write.
 */
export type RowUpdate = (row: ChunkRow) => ChunkRow | undefined;

/** A chunk right after this host claimed it. */
export interface ClaimedChunk {
  job: ActiveJob;
  chunk: number;
  row: ChunkRow;
  version: number;
  /** Monotonic time at which the claim was sent, milliseconds. */
  sentMs: number;
}

/** Lease of one chunk, as seen by the lease holder. */
export class ChunkLease {
  readonly job: ActiveJob;
  readonly chunk: number;
  private row: ChunkRow;
  private version: number;
  private validUntilMs: number;
  private lastWriteSentMs = 0;
  private unavailableUntilMs = -Infinity;
  private isLost = false;
  private lastWrite: Promise<unknown> = Promise.resolve();
  private pendingRenewal: Promise<LeaseState> | undefined;

  /**
   * @param table - table service
   * @param clock - source of time
   * @param termMs - term of the lease, milliseconds
   * @param claimed - the claimed chunk
   */
  constructor(
    private readonly table: TableService,
    private readonly clock: Clock,
    private readonly termMs: number,
    claimed: ClaimedChunk,
  ) {
    this.job = claimed.job;
    this.chunk = claimed.chunk;
    this.row = claimed.row;
    this.version = claimed.version;
    this.validUntilMs = claimed.sentMs + termMs * HOLDER_TERM_FRACTION;
  }

  /** Gets the chunk row as last written or read. */
  getRow(): ChunkRow {
    return this.row;
  }

  /** Tells whether the lease is held and unexpired at this moment. */
  isValid(): boolean {
    return !this.isLost && this.clock.now() < this.validUntilMs;
  }

  /**
   * Checks whether this host may work on the chunk; renews an expired lease
   * first. Within UNAVAILABLE_RECHECK_MS after a write failed because the table
   * service was unavailable, it returns STORE_UNAVAILABLE without a renewal.
   */
  async check(): Promise<LeaseState> {
    if (this.isLost) return LeaseState.LOST;
    if (this.isValid()) return LeaseState.HELD;
    if (this.clock.now() < this.unavailableUntilMs)
      return LeaseState.STORE_UNAVAILABLE;
    this.pendingRenewal ??= this.renew().finally(() => {
      this.pendingRenewal = undefined;
    });
    return this.pendingRenewal;
  }

  /** Renews the lease. */
  renew(): Promise<LeaseState> {
    return this.write((row) => row);
  }

  /**
   * Writes the chunk row. Writes of one lease run one after the other.
   *
   * @param update - computes the next row; may be called more than once
   */
  write(update: RowUpdate): Promise<LeaseState> {
    const result = this.lastWrite
      .then(() => this.writeWithRetries(update))
      .then((state) => this.recordAvailability(state));
    this.lastWrite = result;
    return result;
  }

  private recordAvailability(state: LeaseState): LeaseState {
    const isUnavailable = state === LeaseState.STORE_UNAVAILABLE;
    this.unavailableUntilMs = isUnavailable
      ? this.clock.now() + UNAVAILABLE_RECHECK_MS
      : -Infinity;
    return state;
  }

  private async writeWithRetries(update: RowUpdate): Promise<LeaseState> {
    for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
      if (this.isLost) return LeaseState.LOST;
      const changed = update(this.row);
      if (changed === undefined) return LeaseState.HELD;
      const next = {...changed, renewal: this.row.renewal + 1};
      if (await this.transact(next)) return LeaseState.HELD;
      const state = await this.verifyWrite();
      if (state !== LeaseState.HELD) return state;
    }
    return LeaseState.STORE_UNAVAILABLE;
  }

  /**
   * Sends one conditional transaction.
   *
   * @returns whether the write is known to have taken effect
   */
  private async transact(next: ChunkRow): Promise<boolean> {
    const sentMs = this.clock.now();
    const key = formatChunkRowKey(this.job.row.jobId, this.chunk);
    this.lastWriteSentMs = sentMs;
    const answer = await this.table.transact({
      conditions: [
        {key, version: this.version},
        {
          key: formatJobRowKey(this.job.row.jobId),
          version: this.job.version,
        },
      ],
      writes: [{key, value: {...next}}],
    });
    if (answer.isErr() || !answer.value.committed) return false;
    this.row = next;
    this.version = answer.value.version;
    this.validUntilMs = sentMs + this.termMs * HOLDER_TERM_FRACTION;
    return true;
  }

  /**
   * Read-after-write check: finds out from the job row and the chunk row
   * whether the last write took effect and whether the lease is still held.
   */
  private async verifyWrite(): Promise<LeaseState> {
    const jobRowKey = formatJobRowKey(this.job.row.jobId);
    const key = formatChunkRowKey(this.job.row.jobId, this.chunk);
    const rows = await this.table.read([jobRowKey, key]);
    if (rows.isErr()) return LeaseState.STORE_UNAVAILABLE;
    const jobRow = rows.value.find((row) => row.key === jobRowKey);
    const found = rows.value.find((row) => row.key === key);
    if (found === undefined) return this.markLost();
    const parsed = parseRow(found, validateChunkRow);
    if (parsed.isErr()) return LeaseState.STORE_UNAVAILABLE;
    const {value: row, version} = parsed.value;
    const isOwnLease = row.nonce === this.row.nonce;
    const tookEffect = isOwnLease && row.renewal > this.row.renewal;
    this.row = row;
    this.version = version;
    if (!isOwnLease || jobRow?.version !== this.job.version)
      return this.markLost();
    if (tookEffect) {
      this.validUntilMs =
        this.lastWriteSentMs + this.termMs * HOLDER_TERM_FRACTION;
    }
    return LeaseState.HELD;
  }

  private markLost(): LeaseState {
    this.isLost = true;
    return LeaseState.LOST;
  }
}
