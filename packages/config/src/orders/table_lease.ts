/**
 * Leases in the table without a wall clock. The holder counts its term from
 * before it wrote the row; another host takes over only after it has seen the
 * row unchanged for the term and a margin, each on its own monotonic clock.
 */
import {randomUUID} from 'node:crypto';
import {
  type ReadBackContext,
  TransactionOutcome,
  transactWithReadBack,
} from '@savoryspur/storage';
import {type LeaseRow, type Row, validateLeaseRow} from '@savoryspur/schema';

/** Part of the term that others wait on top of it. */
const TAKEOVER_MARGIN = 0.5;

/** A row as it was first seen. */
interface SeenRow {
  version: number;
  sinceMs: number;
}

/** Takes leases for one host. */
export class LeaseTaker {
  private readonly seen = new Map<string, SeenRow>();

  /**
   * @param context - table, clock and log
   * @param holder - name of this host
   */
  constructor(
    private readonly context: ReadBackContext,
    private readonly holder: string,
  ) {}

  /**
   * Tries to take a lease.
   *
   * @param key - key of the row
   * @param termMs - term, milliseconds
   * @returns the lease, or undefined when another host has it or the table is
   *     away
   */
  async acquire(key: string, termMs: number): Promise<HeldLease | undefined> {
    const rows = await this.context.table.read([key]);
    if (rows.isErr()) return undefined;
    const [row] = rows.value;
    if (row && !this.isLapsed(row)) return undefined;
    const lease = new HeldLease(this.context, key, this.holder, termMs);
    if (!(await lease.write(row?.version ?? 0))) return undefined;
    this.seen.delete(key);
    return lease;
  }

  private isLapsed(row: Row): boolean {
    const now = this.context.clock.now();
    const seen = this.seen.get(row.key);
    if (seen?.version !== row.version) {
      this.seen.set(row.key, {version: row.version, sinceMs: now});
      return false;
    }
    const lease = validateLeaseRow(row.value);
    if (lease.isErr()) return false;
    const waitMs = lease.value.termMs * (1 + TAKEOVER_MARGIN);
    return now - seen.sinceMs > waitMs;
  }
}

/** A lease that this host took; it must be asked before each use. */
export class HeldLease {
  private rowVersion = 0;
  private endMs = 0;

  /**
   * @param context - table, clock and log
   * @param key - key of the row
   * @param holder - name of this host
   * @param termMs - term, milliseconds
   */
  constructor(
    private readonly context: ReadBackContext,
    private readonly key: string,
    private readonly holder: string,
    private readonly termMs: number,
  ) {}

  /** Computes how long the lease lasts from now, milliseconds; 0 when lapsed. */
  computeRemaining(): number {
    return Math.max(0, this.endMs - this.context.clock.now());
  }

  /**
   * Begins a new term.
   *
   * @returns whether this host still holds the lease
   */
  renew(): Promise<boolean> {
    return this.write(this.rowVersion);
  }

  /** Gives the lease back; when that fails it lapses. */
  async release(): Promise<void> {
    this.endMs = 0;
    await this.context.table.transact({
      conditions: [{key: this.key, version: this.rowVersion}],
      writes: [{key: this.key}],
    });
  }

  /**
   * Writes the row over a known version.
   *
   * @param version - version that the row must have; 0 when there is none
   * @returns whether the row is this host's
   */
  async write(version: number): Promise<boolean> {
    const startMs = this.context.clock.now();
    const row: LeaseRow = {
      holder: this.holder,
      nonce: randomUUID(),
      termMs: this.termMs,
    };
    const outcome = await transactWithReadBack(this.context, {
      conditions: [{key: this.key, version}],
      writes: [{key: this.key, value: {...row}}],
    });
    if (!outcome.isOk()) return false;
    if (outcome.value !== TransactionOutcome.COMMITTED) return false;
    const rows = await this.context.table.read([this.key]);
    const written = rows.unwrapOr([])[0];
    const lease = written && validateLeaseRow(written.value);
    if (!written || !lease?.isOk()) return false;
    if (lease.value.nonce !== row.nonce) return false;
    this.rowVersion = written.version;
    this.endMs = startMs + this.termMs;
    return this.computeRemaining() > 0;
  }
}
