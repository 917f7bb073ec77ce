/** Rows in memory with conditional transactions. */
import type {Row, Transaction, TransactionAnswer} from '@savoryspur/schema';

/** Rows that a scan reads. */
export interface ScanRange {
  /** Prefix of the keys. */
  prefix: string;
  /** Key after which the scan starts. */
  after: string;
  /** Maximum number of rows that the scan returns. */
  limit: number;
}

/**
 * Rows with transactions. All rows that a transaction writes get the same
 * version, which grows with each transaction of the table.
 */
export class TableStore {
  private readonly rows = new Map<string, Row>();
  private sortedKeys: string[] | undefined;
  private lastVersion = 0;

  /** Reads rows by key; keys without a row are left out. */
  read(keys: readonly string[]): Row[] {
    const found: Row[] = [];
    for (const key of keys) {
      const row = this.rows.get(key);
      if (row !== undefined) found.push(row);
    }
    return found;
  }

  /** Reads the rows of a range in key order. */
  scan(range: ScanRange): Row[] {
    const keys = this.listSorted();
    const start = range.after > range.prefix ? range.after : range.prefix;
    const found: Row[] = [];
    for (let i = findFirst(keys, start); i < keys.length; i += 1) {
      const key = keys[i]!;
      if (!key.startsWith(range.prefix)) break;
      if (key <= range.after) continue;
      if (found.length >= range.limit) break;
      found.push(this.rows.get(key)!);
    }
    return found;
  }

  /** Writes all rows of a transaction, or none if a condition does not hold. */
  transact(transaction: Transaction): TransactionAnswer {
    for (const {key, version} of transaction.conditions) {
      const current = this.rows.get(key)?.version ?? 0;
      if (current === version) continue;
      return {committed: false, version: 0, conflictKey: key};
    }
    this.lastVersion += 1;
    for (const {key, value} of transaction.writes) this.write(key, value);
    return {committed: true, version: this.lastVersion};
  }

  /** Counts the rows. */
  count(): number {
    return this.rows.size;
  }

  private write(key: string, value: unknown): void {
    const isNew = !this.rows.has(key);
    if (value === undefined) {
      if (!isNew) this.sortedKeys = undefined;
      this.rows.delete(key);
      return;
    }
    if (isNew) this.sortedKeys = undefined;
    const row = {key, version: this.lastVersion, value} as Row;
    this.rows.set(key, row);
  }

  private listSorted(): string[] {
    this.sortedKeys ??= [...this.rows.keys()].sort();
    return this.sortedKeys;
  }
}

/** Finds the index of the first key that is not below the start, by bisection. */
function findFirst(keys: readonly string[], start: string): number {
  let low = 0;
  let high = keys.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (keys[middle]! < start) low = middle + 1;
    else high = middle;
  }
  return low;
}
