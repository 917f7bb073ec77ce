/** Local replica of one table of the store, kept current by a watch. */
import {
  type Clock,
  computeBackoffMs,
  ErrorCode,
  type EventLog,
  type SavoryspurError,
  ServingEvent,
} from '@savoryspur/common';
import {errAsync, type ResultAsync} from 'neverthrow';
import {readRows} from './read_rows.js';
import type {RowStore, TableRow} from './row_store.js';

/**
 * Longest wait of one watch call, milliseconds. A connection that no longer
 * delivers anything is detected only when the answer is overdue, so the wait is
 * shorter than the 2 s in which a new environment must be in force.
 */
const WATCH_WAIT_MS = 1500;

/** Backoff after the first failed call, milliseconds; doubles up to {@link MAX_BACKOFF_MS}. */
const INITIAL_BACKOFF_MS = 100;

/** Longest backoff after failed calls, milliseconds: a fifth of the 2 s in which a new environment must be in force. */
const MAX_BACKOFF_MS = 400;

/** Row as a follower passes it to its listener. */
export interface FollowedRow {
  /** Partition of the table. */
  part: string;
  key: string;
  /** Value; undefined when the row is deleted. */
  value: Buffer | undefined;
  /** Version of the last transaction that wrote the row. */
  version: number;
}

/** Listener for the changes of a followed table. */
export interface TableListener {
  /**
   * Applies one changed or deleted row.
   *
   * @param row - the row
   * @param isAfterOutage - whether the row comes with the first answer after the
   *     store was unavailable
   */
  apply(row: FollowedRow, isAfterOutage: boolean): void;
  /** Called after all rows of one answer have been applied. */
  finish?(): void;
}

/** Settings and dependencies of a follower. */
export interface TableFollowerOptions {
  table: string;
  store: RowStore;
  clock: Clock;
  log: EventLog;
  listener: TableListener;
  /** Whether all rows are in the partition with the empty name. */
  isSinglePartition: boolean;
  /** Pause between two watch calls, milliseconds; the changes made in this time are read with one call. */
  coalesceMs?: number;
}

/** Follows one table; never replaces a row by an older version of it. */
export class TableFollower {
  private readonly rows = new Map<string, FollowedRow>();
  /** Version up to which all changes are known. */
  private version: number | undefined;
  /** Ends the current pause between watch calls. */
  private pause: AbortController | undefined;
  /** Consecutive failed calls. */
  private failures = 0;
  /** Time of the store's latest answer, monotonic milliseconds. */
  private lastContactMs: number | undefined;
  /** Time of the first failed call of the latest outage, monotonic milliseconds. */
  private outageStartMs: number | undefined;

  /**
   * @param options - the table, the store and the listener
   */
  constructor(private readonly options: TableFollowerOptions) {}

  /** Gets the version up to which all changes are known; undefined before the first snapshot. */
  getVersion(): number | undefined {
    return this.version;
  }

  /** Lists the rows of the replica. */
  list(): FollowedRow[] {
    return [...this.rows.values()];
  }

  /** Checks whether the last call to the store has failed. */
  isDisconnected(): boolean {
    return this.failures > 0;
  }

  /** Gets the time since the store last answered, milliseconds; infinity before the first answer. */
  getAgeMs(): number {
    const contactMs = this.lastContactMs ?? Number.NEGATIVE_INFINITY;
    return this.options.clock.now() - contactMs;
  }

  /**
   * Follows the table until the signal is aborted.
   *
   * @param signal - ends the task
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const failure = await this.advance(signal);
      if (signal.aborted) return;
      if (failure === undefined) {
        this.recordContact();
        await this.waitToCoalesce(signal);
        continue;
      }
      this.recordFailure(failure);
      await this.options.clock.sleep(
        computeBackoffMs(INITIAL_BACKOFF_MS, MAX_BACKOFF_MS, this.failures),
        signal,
      );
    }
  }

  /**
   * Reads the rows that have changed since the version up to which all changes are
   * known, or all rows when the store no longer keeps its history since then. The
   * replica stays as it is.
   */
  readChanges(signal: AbortSignal): ResultAsync<TableRow[], SavoryspurError> {
    const {store, table} = this.options;
    const rows: TableRow[] = [];
    const readAll = (): ResultAsync<TableRow[], SavoryspurError> =>
      readRows(store, table, '', rows).map(() => rows);
    if (this.version === undefined) return readAll();
    return store
      .watch(table, this.version, 0, signal)
      .map((changes) => changes.rows)
      .orElse((error) =>
        error.code === ErrorCode.NOT_FOUND ? readAll() : errAsync(error),
      );
  }

  /** Ends the pause between watch calls, when this daemon knows of a new change. */
  pollNow(): void {
    this.pause?.abort();
  }

  /** Pauses so that changes are coalesced, instead of each change costing every daemon one call. */
  private async waitToCoalesce(signal: AbortSignal): Promise<void> {
    const {coalesceMs, clock} = this.options;
    if (coalesceMs === undefined) return;
    const pause = new AbortController();
    this.pause = pause;
    const endPause = (): void => pause.abort();
    signal.addEventListener('abort', endPause, {once: true});
    await clock.sleep(coalesceMs, pause.signal);
    signal.removeEventListener('abort', endPause);
    this.pause = undefined;
  }

  /**
   * Reads the next changes. Reads a snapshot instead when no version is known yet
   * or when the store no longer keeps the history since that version.
   *
   * @returns the error of a failed call; undefined after a success
   */
  private async advance(
    signal: AbortSignal,
  ): Promise<SavoryspurError | undefined> {
    const {store, table} = this.options;
    if (this.version === undefined) return this.loadSnapshot();
    const changes = await store.watch(
      table,
      this.version,
      this.failures > 0 ? 0 : WATCH_WAIT_MS,
      signal,
    );
    if (changes.isErr()) {
      if (changes.error.code !== ErrorCode.NOT_FOUND) return changes.error;
      return this.loadSnapshot();
    }
    for (const row of changes.value.rows) this.applyRow(row);
    this.version = Math.max(this.version, changes.value.version);
    this.recordContact();
    this.finish();
    return undefined;
  }

  /** Reads all rows of the table. */
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
    const {store, table} = this.options;
    const snapshot = new Map<string, FollowedRow>();
    let version = Number.POSITIVE_INFINITY;
    for (const part of parts) {
      const rows: TableRow[] = [];
      const oldest = await readRows(store, table, part, rows);
      if (oldest.isErr()) return oldest.error;
      for (const row of rows) snapshot.set(formatKey(row), row);
      version = Math.min(version, oldest.value);
    }
    this.dropMissing(snapshot, version, this.isDisconnected());
    for (const row of snapshot.values()) this.applyRow(row);
    // Without partitions no answer contains a version; a watch after version 0
    // returns all changes that the store keeps.
    this.version = Number.isFinite(version) ? version : 0;
    this.recordContact();
    this.finish();
    return undefined;
  }

  /** Deletes the rows that are missing from a snapshot, unless they are newer than the snapshot. */
  private dropMissing(
    snapshot: ReadonlyMap<string, FollowedRow>,
    version: number,
    isAfterOutage: boolean,
  ): void {
    for (const [name, row] of this.rows) {
      if (snapshot.has(name) || row.version > version) continue;
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
    this.notify(row.key, () => this.options.listener.apply(row, isAfterOutage));
  }

  private finish(): void {
    this.notify('', () => this.options.listener.finish?.());
  }

  /**
   * Calls the listener. A failure on one row must not keep the other rows and
   * later changes from it.
   */
  private notify(peer: string, call: () => void): void {
    try {
      call();
    } catch (thrown) {
      this.options.log.record(ServingEvent.UNEXPECTED_FAILURE, {
        step: 'tables.apply',
        table: this.options.table,
        peer,
        reason: thrown instanceof Error ? thrown.message : String(thrown),
        stack: thrown instanceof Error ? thrown.stack : undefined,
      });
    }
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
