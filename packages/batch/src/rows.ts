/** Typed reading of table rows and whole scans. */
import {
  BatchEvent,
  ErrorCode,
  type EventLog,
  SavoryspurError,
} from '@savoryspur/common';
import type {TableService} from '@savoryspur/storage';
import {type FieldError, formatFieldError, type Row} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';

/** Rows in one page of a scan. */
const PAGE_ROWS = 500;

/** A row whose value was checked. */
export interface TypedRow<T> {
  key: string;
  version: number;
  value: T;
}

/** Check of a row value. */
export type RowValidator<T> = (value: unknown) => Result<T, FieldError>;

/**
 * Checks one row.
 *
 * @param row - row as read
 * @param validate - check of its value
 * @returns the typed row, or an error with code INTERNAL
 */
export function parseRow<T>(
  row: Row,
  validate: RowValidator<T>,
): Result<TypedRow<T>, SavoryspurError> {
  return validate(row.value)
    .map((value) => ({key: row.key, version: row.version, value}))
    .mapErr(
      (fault) =>
        new SavoryspurError(
          ErrorCode.INTERNAL,
          {step: 'batch.parse_row', peer: 'table'},
          `row ${row.key}: ${formatFieldError(fault)}`,
        ),
    );
}

/**
 * Reads one row.
 *
 * @returns the row, undefined when there is none, or an error
 */
export async function readRow<T>(
  table: TableService,
  key: string,
  validate: RowValidator<T>,
): Promise<Result<TypedRow<T> | undefined, SavoryspurError>> {
  const rows = await table.read([key]);
  if (rows.isErr()) return err(rows.error);
  const row = rows.value[0];
  return row ? parseRow(row, validate) : ok(undefined);
}

/**
 * Checks rows and leaves out those that do not match their schema.
 *
 * @param log - where invalid rows are recorded
 */
export function parseRows<T>(
  rows: readonly Row[],
  validate: RowValidator<T>,
  log: EventLog,
): Array<TypedRow<T>> {
  const parsed: Array<TypedRow<T>> = [];
  for (const row of rows) {
    const result = parseRow(row, validate);
    if (result.isOk()) {
      parsed.push(result.value);
      continue;
    }
    log.record(BatchEvent.ROW_INVALID, {
      step: result.error.origin.step,
      key: row.key,
      error: result.error.message,
    });
  }
  return parsed;
}

/**
 * Reads all rows with a prefix, page by page.
 *
 * @returns pages of rows in key order
 */
export async function* scanPages(
  table: TableService,
  prefix: string,
): AsyncGenerator<Result<Row[], SavoryspurError>, void, void> {
  let after = '';
  for (;;) {
    const page = await table.scan({prefix, after, limit: PAGE_ROWS});
    yield page;
    if (page.isErr() || page.value.length < PAGE_ROWS) return;
    after = page.value[page.value.length - 1]!.key;
  }
}
