/** Interfaces of the store that keeps the durable state: transactional rows and immutable objects. */
import type {SavoryspurError} from '@savoryspur/common';
import type {ResultAsync} from 'neverthrow';

/** Limits of the store on what it keeps. */
export interface StoreLimits {
  /** Maximum size of the value of a row in base64, bytes. */
  rowBytes: number;
  /** Maximum size of an object, bytes. */
  objectBytes: number;
}

/** Row of a table as it was read. */
export interface TableRow {
  table: string;
  /** Partition of the table that the row is in. */
  part: string;
  key: string;
  /** Value; undefined when the row is deleted. */
  value: Buffer | undefined;
  /** Version of the last transaction that wrote the row. */
  version: number;
}

/** Full name of a row. */
export interface RowName {
  table: string;
  part: string;
  key: string;
}

/** Condition of a transaction: the version that a row must have, or 0 when the row must not exist. */
export interface RowCondition extends RowName {
  version: number;
}

/** Row to write. */
export interface RowWrite extends RowName {
  value: Buffer;
}

/** Writes and removals in one partition that take effect together or not at all. */
export interface RowTransaction {
  conditions: RowCondition[];
  writes: RowWrite[];
  removals?: RowName[];
}

/** Outcome of a transaction. */
export interface TransactionOutcome {
  isCommitted: boolean;
  /** Current rows that the conditions name, when one of the conditions did not hold. */
  conflicts: TableRow[];
}

/** Range of rows of a partition to read. */
export interface RowRange {
  table: string;
  part: string;
  /** First key of the range, inclusive; by default that of the first row. */
  start?: string;
  /** End of the range, exclusive; by default after the last row. */
  end?: string;
  /** Maximum number of rows to return. */
  limit?: number;
}

/** Rows of a range as of one moment. */
export interface RowPage {
  rows: TableRow[];
  hasMore: boolean;
  /** Latest version of the store at that moment. */
  version: number;
}

/** Changes of a table after a version. */
export interface RowChanges {
  rows: TableRow[];
  /** Version to continue the watch from. */
  version: number;
}

/** Store of transactional rows whose changes can be watched. */
export interface RowStore {
  /**
   * Applies a transaction.
   *
   * @param transaction - conditions and writes
   * @param timeoutMs - timeout of the call, milliseconds
   * @returns the outcome, or an error; with code AMBIGUOUS the writes may have
   *     taken effect or may still take effect
   */
  transact(
    transaction: RowTransaction,
    timeoutMs: number,
  ): ResultAsync<TransactionOutcome, SavoryspurError>;
  /** Reads rows of one partition in key order. */
  read(range: RowRange): ResultAsync<RowPage, SavoryspurError>;
  /** Lists the partitions of a table. */
  listParts(table: string): ResultAsync<string[], SavoryspurError>;
  /**
   * Waits for changes of a table.
   *
   * @param table - the table
   * @param after - version that the caller already knows
   * @param waitMs - longest wait, milliseconds
   * @param signal - ends the wait
   * @returns the changes after that version; an error with code NOT_FOUND when
   *     the store no longer keeps the history since then
   */
  watch(
    table: string,
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): ResultAsync<RowChanges, SavoryspurError>;
  /**
   * Reads the store's monotonic clock; between answers of the store the local
   * clock extends the time of the latest answer.
   *
   * @returns milliseconds; undefined before the first answer of the store
   */
  now(): number | undefined;
}

/** Store of immutable objects. */
export interface BlobStore {
  /** Stores an object unless an object of that name exists; succeeds in both cases. */
  put(
    name: string,
    body: Buffer,
    timeoutMs: number,
  ): ResultAsync<void, SavoryspurError>;
  /** Reads an object; fails with code NOT_FOUND when there is none of that name. */
  get(name: string, timeoutMs: number): ResultAsync<Buffer, SavoryspurError>;
  /** Deletes an object; succeeds also when there is none of that name. */
  delete(name: string): ResultAsync<void, SavoryspurError>;
}
