/** What the product asks of the store that keeps its durable state. */
import type {SavoryspurError} from '@savoryspur/common';
import type {ResultAsync} from 'neverthrow';

/** Row of a table. */
export interface TableRow {
  table: string;
  /** Partition of the table. */
  part: string;
  key: string;
  /** Value; undefined once the row is deleted. */
  value: Buffer | undefined;
  /** Version of the last transaction that wrote the row. */
  version: number;
}

/** Names a row. */
export interface RowName {
  table: string;
  part: string;
  key: string;
}

/** Condition of a transaction: the version a row must have; 0 for no row. */
export interface RowCondition extends RowName {
  version: number;
}

/** Row to write. */
export interface RowWrite extends RowName {
  value: Buffer;
}

/** Writes of one partition that take effect together or not at all. */
export interface RowTransaction {
  conditions: RowCondition[];
  writes: RowWrite[];
  removals?: RowName[];
}

/** What came of a transaction. */
export interface TransactionOutcome {
  isCommitted: boolean;
  /** Current rows of the conditions, when one of them did not hold. */
  conflicts: TableRow[];
}

/** Which rows of a partition to read. */
export interface RowRange {
  table: string;
  part: string;
  /** First key. */
  start?: string;
  /** Key after the last. */
  end?: string;
  /** Most rows in the answer. */
  limit?: number;
}

/** Rows as of one moment. */
export interface RowPage {
  rows: TableRow[];
  hasMore: boolean;
  /** Newest version of the store at that moment. */
  version: number;
}

/** Changes of a table after a version. */
export interface RowChanges {
  rows: TableRow[];
  /** Version to continue from. */
  version: number;
}

/** Transactional rows with a feed of changes. */
export interface RowStore {
  /**
   * Applies a transaction.
   *
   * @param transaction - conditions and writes
   * @param timeoutMs - bound on the call, milliseconds
   * @returns the outcome, or an error; code AMBIGUOUS means that the writes may
   *     have taken effect or may still do so
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
   * @param after - version that the caller knows
   * @param waitMs - longest wait, milliseconds
   * @returns the changes; an error with code NOT_FOUND when the history since
   *     that version is no longer kept
   */
  watch(
    table: string,
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): ResultAsync<RowChanges, SavoryspurError>;
  /**
   * Reads the store's steady clock, extended between answers by the local one.
   *
   * @returns milliseconds; undefined before the first answer
   */
  now(): number | undefined;
}

/** Immutable objects. */
export interface BlobStore {
  /** Stores an object unless one of that name exists; either is a success. */
  put(
    name: string,
    body: Buffer,
    timeoutMs: number,
  ): ResultAsync<void, SavoryspurError>;
  /** Reads an object; an error with code NOT_FOUND when there is none. */
  get(name: string, timeoutMs: number): ResultAsync<Buffer, SavoryspurError>;
  /** Deletes an object; none of that name is no error. */
  delete(name: string): ResultAsync<void, SavoryspurError>;
}
