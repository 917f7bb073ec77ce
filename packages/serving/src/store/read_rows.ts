/** Reads all rows of a partition, page by page. */
import type {SavoryspurError} from '@savoryspur/common';
import {okAsync, type ResultAsync} from 'neverthrow';
import type {RowStore, TableRow} from './row_store.js';

/** Rows of one page: the store's maximum. */
const PAGE_ROWS = 500;

/**
 * Reads all rows of one partition.
 *
 * @param store - the store
 * @param table - the table
 * @param part - the partition
 * @param rows - rows read so far; the rows are added to it
 * @param start - key to start from; by default the first one
 * @returns the version of the oldest page
 */
export function readRows(
  store: RowStore,
  table: string,
  part: string,
  rows: TableRow[],
  start?: string,
): ResultAsync<number, SavoryspurError> {
  return store
    .read({table, part, start, limit: PAGE_ROWS})
    .andThen((page): ResultAsync<number, SavoryspurError> => {
      rows.push(...page.rows);
      const last = page.rows.at(-1);
      if (!page.hasMore || last === undefined) return okAsync(page.version);
      // A later page is not older than this one.
      return readRows(store, table, part, rows, `${last.key}\u0000`).map(
        () => page.version,
      );
    });
}
