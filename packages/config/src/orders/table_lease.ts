/**
 * Leases in the table that need no synchronized clocks. The lease holder counts
 * the lease term from a time before it wrote the row. Another host takes the
 * lease over only after it has observed the row unchanged for the term and a
 * margin. Each host measures time on its own monotonic clock.
 */
import {randomUUID} from 'node:crypto';
import {
  type ReadBackContext,
  TransactionOutcome,
  transactWithReadBack,
} from '@savoryspur/storage';
import {type LeaseRow, type Row, validateLeaseRow} from '@savoryspur/schema';

/** Time that other hosts wait after the lease term, as a fraction of the term. */
const TAKEOVER_MARGIN_FRACTION = 0.5;

/** A row version and the time at which this host first observed the version. */
interface ObservedRow {
  version: number;
  unchangedSinceMs: number;
}

/** Acquires leases for one host. */
export class LeaseClient {
  /** Lease rows of other holders, by key. */
  private readonly observedRows = new Map<string, ObservedRow>();

  /**
   * @param context - table, clock and log
   * @param holder - name of this host, written into its lease rows
   */
  constructor(
    private readonly context: ReadBackContext,
    private readonly holder: string,
  ) {}

  /**
   * Tries to acquire a lease.
   *
   * @param key - key of the lease row
   * @param termMs - lease term, milliseconds
   * @returns the lease; undefined when another host holds the lease or the table
   *     service is unavailable
   */
  async acquire(key: string, termMs: number): Promise<HeldLease | undefined> {
    const rows = await this.context.table.read([key]);
    if (rows.isErr()) return undefined;
    const [row] = rows.value;
    if (row && !this.isExpired(row)) return undefined;
    const lease = new HeldLease(this.context, key, this.holder, termMs);
    if (!(await lease.write(row?.version ?? 0))) return undefined;
    this.observedRows.delete(key);
    return lease;
  }

  /**
   * Tells whether this host has observed a lease row unchanged for longer than
   * the lease term and the margin.
   */
  private isExpired(row: Row): boolean {
    const now = this.context.clock.now();
    const observed = this.observedRows.get(row.key);
    if (observed?.version !== row.version) {
      this.observedRows.set(row.key, {
        version: row.version,
        unchangedSinceMs: now,
      });
      return false;
    }
    const lease = validateLeaseRow(row.value);
    if (lease.isErr()) return false;
    const waitMs = lease.value.termMs * (1 + TAKEOVER_MARGIN_FRACTION);
    return now - observed.unchangedSinceMs > waitMs;
  }
}

/**
 * A lease that this host acquired. The holder has to check the remaining time
 * before each use of the lease.
 */
export class HeldLease {
  private rowVersion = 0;
  private expiresAtMs = 0;

  /**
   * @param context - table, clock and log
   * @param key - key of the lease row
   * @param holder - name of this host, written into the lease row
   * @param termMs - lease term, milliseconds
   */
  constructor(
    private readonly context: ReadBackContext,
    private readonly key: string,
    private readonly holder: string,
    private readonly termMs: number,
  ) {}

  /** Computes the remaining time of the lease, milliseconds; 0 when expired. */
  computeRemainingMs(): number {
    return Math.max(0, this.expiresAtMs - this.context.clock.now());
  }

  /**
   * Starts a new lease term.
   *
   * @returns whether this host still holds the lease
   */
  renew(): Promise<boolean> {
    return this.write(this.rowVersion);
  }

  /** Releases the lease; when the release fails, the lease expires later. */
  async release(): Promise<void> {
    this.expiresAtMs = 0;
    await this.context.table.transact({
      conditions: [{key: this.key, version: this.rowVersion}],
      writes: [{key: this.key}],
    });
  }

  /**
   * Writes the lease row by compare-and-set and reads the row back.
   *
   * @param version - expected version of the row; 0 when there is no row
   * @returns whether this host holds the lease
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
    this.expiresAtMs = startMs + this.termMs;
    return this.computeRemainingMs() > 0;
  }
}
