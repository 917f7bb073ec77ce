/**
 * The lease of one chunk and every write to its row. A holder counts its term
 * from before it sent a renewal; a rival counts from after it saw the row. No
 * write takes effect once another host has claimed the chunk or the job ended.
 */
import type {Clock} from '@savoryspur/common';
import type {TableService} from '@savoryspur/storage';
import {type ChunkRow, validateChunkRow} from '@savoryspur/schema';
import type {ActiveJob} from './active_job.js';
import {formatChunkKey, formatJobKey} from './keys.js';
import {parseRow} from './rows.js';

/** Part of the term that a holder uses; clocks of hosts drift. */
const USED_TERM = 0.9;

/** Attempts at one write before the store counts as away. */
const MAX_ATTEMPTS = 3;

/** Time for which a platform that gave no answer is not asked, milliseconds. */
const AWAY_MS = 1000;

/** What a holder knows of its lease after a write. */
export enum LeaseState {
  /** The write took effect. */
  HELD = 'held',
  /** The platform does not answer; the lease may still be held. */
  STORE_AWAY = 'store_away',
  /** Another host holds the chunk, or the job ended. */
  LOST = 'lost',
}

/**
 * Computes the next row from the one in force; undefined when nothing is left
 * to write.
 */
export type RowChange = (row: ChunkRow) => ChunkRow | undefined;

/** A chunk as it was claimed. */
export interface ClaimedChunk {
  job: ActiveJob;
  chunk: number;
  row: ChunkRow;
  version: number;
  /** When the claim was sent, on the monotonic clock. */
  sentMs: number;
}

/** Lease of one chunk. */
export class ChunkLease {
  readonly job: ActiveJob;
  readonly chunk: number;
  private row: ChunkRow;
  private version: number;
  private validUntilMs: number;
  private lastSentMs = 0;
  private awayUntilMs = -Infinity;
  private isLost = false;
  private lastWrite: Promise<unknown> = Promise.resolve();
  private pendingCheck: Promise<LeaseState> | undefined;

  /**
   * @param table - table service
   * @param clock - source of time
   * @param termMs - term of the lease, milliseconds
   * @param claimed - the chunk as it was claimed
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
    this.validUntilMs = claimed.sentMs + termMs * USED_TERM;
  }

  /** Gets the row as last known. */
  getRow(): ChunkRow {
    return this.row;
  }

  /** Tells whether the lease runs, by the clock at this moment. */
  isFresh(): boolean {
    return !this.isLost && this.clock.now() < this.validUntilMs;
  }

  /**
   * Makes sure that the chunk may be used; renews a lapsed lease first. The
   * platform is not asked again within a while after it gave no answer.
   */
  async check(): Promise<LeaseState> {
    if (this.isLost) return LeaseState.LOST;
    if (this.isFresh()) return LeaseState.HELD;
    if (this.clock.now() < this.awayUntilMs) return LeaseState.STORE_AWAY;
    this.pendingCheck ??= this.renew().finally(() => {
      this.pendingCheck = undefined;
    });
    return this.pendingCheck;
  }

  /** Renews the lease. */
  renew(): Promise<LeaseState> {
    return this.write((row) => row);
  }

  /**
   * Writes the row; writes of one lease follow one another.
   *
   * @param change - computes the next row; may be called more than once
   */
  write(change: RowChange): Promise<LeaseState> {
    const result = this.lastWrite
      .then(() => this.runWrite(change))
      .then((state) => this.observe(state));
    this.lastWrite = result;
    return result;
  }

  private observe(state: LeaseState): LeaseState {
    const isAway = state === LeaseState.STORE_AWAY;
    this.awayUntilMs = isAway ? this.clock.now() + AWAY_MS : -Infinity;
    return state;
  }

  private async runWrite(change: RowChange): Promise<LeaseState> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      if (this.isLost) return LeaseState.LOST;
      const changed = change(this.row);
      if (changed === undefined) return LeaseState.HELD;
      const next = {...changed, renewal: this.row.renewal + 1};
      if (await this.transact(next)) return LeaseState.HELD;
      const state = await this.readBack();
      if (state !== LeaseState.HELD) return state;
    }
    return LeaseState.STORE_AWAY;
  }

  /** @returns whether the write is known to have taken effect */
  private async transact(next: ChunkRow): Promise<boolean> {
    const sentMs = this.clock.now();
    const key = formatChunkKey(this.job.row.jobId, this.chunk);
    this.lastSentMs = sentMs;
    const answer = await this.table.transact({
      conditions: [
        {key, version: this.version},
        {
          key: formatJobKey(this.job.row.jobId),
          version: this.job.version,
        },
      ],
      writes: [{key, value: {...next}}],
    });
    if (answer.isErr() || !answer.value.committed) return false;
    this.row = next;
    this.version = answer.value.version;
    this.validUntilMs = sentMs + this.termMs * USED_TERM;
    return true;
  }

  /** Learns from the rows whether the last write took effect. */
  private async readBack(): Promise<LeaseState> {
    const jobKey = formatJobKey(this.job.row.jobId);
    const key = formatChunkKey(this.job.row.jobId, this.chunk);
    const rows = await this.table.read([jobKey, key]);
    if (rows.isErr()) return LeaseState.STORE_AWAY;
    const jobRow = rows.value.find((row) => row.key === jobKey);
    const found = rows.value.find((row) => row.key === key);
    if (found === undefined) return this.markLost();
    const parsed = parseRow(found, validateChunkRow);
    if (parsed.isErr()) return LeaseState.STORE_AWAY;
    const {value: row, version} = parsed.value;
    const isOurs = row.nonce === this.row.nonce;
    const tookEffect = isOurs && row.renewal > this.row.renewal;
    this.row = row;
    this.version = version;
    if (!isOurs || jobRow?.version !== this.job.version) return this.markLost();
    if (tookEffect) {
      this.validUntilMs = this.lastSentMs + this.termMs * USED_TERM;
    }
    return LeaseState.HELD;
  }

  private markLost(): LeaseState {
    this.isLost = true;
    return LeaseState.LOST;
  }
}
