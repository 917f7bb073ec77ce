/** Keeps a copy of one table of the store current through its feed. */
import {
  type Clock,
  computeBackoff,
  ErrorCode,
  type EventLog,
  type SavoryspurError,
  ServingEvent,
} from '@savoryspur/common';
import {ResultAsync} from 'neverthrow';
import type {RowStore, TableRow} from './row_store.js';

/**
 * Longest wait of one feed call, milliseconds. A connection that went silent is
 * found out only when the answer is overdue, so the wait stays below the 2 s in
 * which a new environment must be in force.
 */
const FEED_WAIT_MS = 1500;

/** Rows of one page of a snapshot; the store's most. */
const PAGE_ROWS = 500;

/** First pause after a failed call, milliseconds; doubles up to the longest. */
const FIRST_RETRY_MS = 100;

/** Longest pause after failed calls, milliseconds: a fifth of the 2 s in which a new environment must be in force. */
const MAX_RETRY_MS = 400;

/** Row as a follower hands it on. */
export interface FollowedRow {
  part: string;
  key: string;
  /** Value; undefined once the row is deleted. */
  value: Buffer | undefined;
  version: number;
}

/** Told of each change of a followed table. */
export interface TableListener {
  /**
   * Applies one changed or deleted row.
   *
   * @param row - the row
   * @param isAfterOutage - whether this is the first answer after the store
   *     could not be read
   */
  apply(row: FollowedRow, isAfterOutage: boolean): void;
  /** Called after the rows of one answer were applied. */
  finish?(): void;
}

/** What a follower needs. */
export interface TableFollowerOptions {
  table: string;
  store: RowStore;
  clock: Clock;
  log: EventLog;
  listener: TableListener;
  /** Whether all rows stand in the empty partition. */
  isSinglePartition: boolean;
  /** Shortest time between two calls that brought changes, milliseconds; changes of that time come together. */
  coalesceMs?: number;
}

/** Follows one table; never goes back to an older version of a row. */
export class TableFollower {
  private readonly rows = new Map<string, FollowedRow>();
  private version: number | undefined;
  private gathering: AbortController | undefined;
  private failures = 0;
  private lastContactMs: number | undefined;
  private outageStartMs: number | undefined;

  /**
   * @param options - the table and what is told of its changes
   */
  constructor(private readonly options: TableFollowerOptions) {}

  /** Gets the version up to which the table is known; undefined at first. */
  getVersion(): number | undefined {
    return this.version;
  }

  /** Lists the rows that are known. */
  list(): FollowedRow[] {
    return [...this.rows.values()];
  }

  /** Whether the last call to the store failed. */
  isDisconnected(): boolean {
    return this.failures > 0;
  }

  /** Gets how long ago the store last answered, milliseconds. */
  getAgeMs(): number {
    const contactMs = this.lastContactMs ?? Number.NEGATIVE_INFINITY;
    return this.options.clock.now() - contactMs;
  }

  /**
   * Follows the table until it is told to stop.
   *
   * @param signal - ends the task
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const failure = await this.advance(signal);
      if (signal.aborted) return;
      if (failure === undefined) {
        this.recordContact();
        await this.waitForMore(signal);
        continue;
      }
      this.recordFailure(failure);
      await this.options.clock.sleep(
        computeBackoff(FIRST_RETRY_MS, MAX_RETRY_MS, this.failures),
        signal,
      );
    }
  }

  /** Reads the changes at once that this daemon knows to be there. */
  pollNow(): void {
    this.gathering?.abort();
  }

  /** Lets changes gather, so that each does not cost every daemon a call. */
  private async waitForMore(signal: AbortSignal): Promise<void> {
    const {coalesceMs: gatherMs, clock} = this.options;
    if (gatherMs === undefined) return;
    const gathering = new AbortController();
    this.gathering = gathering;
    const end = (): void => gathering.abort();
    signal.addEventListener('abort', end, {once: true});
    await clock.sleep(gatherMs, gathering.signal);
    signal.removeEventListener('abort', end);
    this.gathering = undefined;
  }

  private async advance(
    signal: AbortSignal,
  ): Promise<SavoryspurError | undefined> {
    const {store, table} = this.options;
    if (this.version === undefined) return this.loadSnapshot();
    const changes = await store.watch(
      table,
      this.version,
      this.failures > 0 ? 0 : FEED_WAIT_MS,
      signal,
    );
    if (changes.isErr()) {
      if (changes.error.code !== ErrorCode.NOT_FOUND) return changes.error;
      return this.loadSnapshot();
    }
    for (const row of changes.value.rows) this.applyRow(row);
    this.version = Math.max(this.version, changes.value.version);
    this.recordContact();
    this.options.listener.finish?.();
    return undefined;
  }

  private async loadSnapshot(): Promise<SavoryspurError | undefined> {
    const parts = this.options.isSinglePartition
      ? ['']
      : await this.options.store.listParts(this.options.table);
    if (!Array.isArray(parts)) {
      if (parts.isErr()) return parts.error;
      return this.loadParts(parts.value);
    }
    return this.loadParts(parts);
  }

  private async loadParts(
    parts: readonly string[],
  ): Promise<SavoryspurError | undefined> {
    const found = new Map<string, FollowedRow>();
    let version = Number.POSITIVE_INFINITY;
    for (const part of parts) {
      const page = await this.readPart(part, found);
      if (page.isErr()) return page.error;
      version = Math.min(version, page.value);
    }
    this.dropMissing(found, version, this.isDisconnected());
    for (const row of found.values()) this.applyRow(row);
    // Without parts there is no answer that tells the version; 0 asks the feed
    // for all that it has.
    this.version = Number.isFinite(version) ? version : 0;
    this.recordContact();
    this.options.listener.finish?.();
    return undefined;
  }

  private readPart(
    part: string,
    found: Map<string, FollowedRow>,
  ): ResultAsync<number, SavoryspurError> {
    const {store, table} = this.options;
    const readFrom = (
      start: string | undefined,
      version: number,
    ): ResultAsync<number, SavoryspurError> =>
      store.read({table, part, start, limit: PAGE_ROWS}).andThen((page) => {
        for (const row of page.rows) found.set(formatKey(row), row);
        const oldest = Math.min(version, page.version);
        const last = page.rows.at(-1);
        if (!page.hasMore || last === undefined) {
          return ResultAsync.fromSafePromise(Promise.resolve(oldest));
        }
        return readFrom(`${last.key}\u0000`, oldest);
      });
    return readFrom(undefined, Number.POSITIVE_INFINITY);
  }

  /** Deletes rows that a snapshot no longer has. */
  private dropMissing(
    found: ReadonlyMap<string, FollowedRow>,
    version: number,
    isAfterOutage: boolean,
  ): void {
    for (const [name, row] of this.rows) {
      if (found.has(name) || row.version > version) continue;
      this.applyRow({...row, value: undefined}, isAfterOutage);
    }
  }

  private applyRow(
    row: FollowedRow | TableRow,
    isAfterOutage = this.isDisconnected(),
  ): void {
    const name = formatKey(row);
    const known = this.rows.get(name);
    if (known !== undefined && known.version > row.version) return;
    if (row.value === undefined) this.rows.delete(name);
    else if (known?.version === row.version) return;
    else this.rows.set(name, row);
    this.options.listener.apply(row, isAfterOutage);
  }

  private recordContact(): void {
    const nowMs = this.options.clock.now();
    this.lastContactMs = nowMs;
    if (this.failures === 0) return;
    this.failures = 0;
    this.options.log.record(ServingEvent.TABLE_RECOVERED, {
      table: this.options.table,
      outageMs: Math.round(nowMs - (this.outageStartMs ?? nowMs)),
      version: this.version,
    });
  }

  private recordFailure(failure: SavoryspurError): void {
    this.failures += 1;
    if (this.failures > 1) return;
    this.outageStartMs = this.options.clock.now();
    this.options.log.record(ServingEvent.TABLE_UNAVAILABLE, {
      table: this.options.table,
      step: failure.origin.step,
      peer: failure.origin.peer,
      reason: failure.message,
      version: this.version,
    });
  }
}

function formatKey(row: {part: string; key: string}): string {
  return `${row.part}\u0000${row.key}`;
}
