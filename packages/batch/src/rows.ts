/** Reads, validates and scans table rows. */
import {
  BatchEvent,
  ErrorCode,
  type EventLog,
  SavoryspurError,
} from '@savoryspur/common';
import type {TableService} from '@savoryspur/storage';
import {type FieldError, formatFieldError, type Row} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';

/** Maximum number of rows in one page of a scan. */
const SCAN_PAGE_ROWS = 500;

/** A row with a validated value. */
export interface TypedRow<T> {
  key: string;
  version: number;
  value: T;
}

/** Validates the value of a row. */
export type RowValidator<T> = (value: unknown) => Result<T, FieldError>;

/**
 * Validates one row.
 *
 * @param row - row as read
 * @param validate - validates its value
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
 * Reads and validates one row.
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
 * Validates rows; logs and leaves out those that do not match their schema.
 *
 * @param rows - rows as read
 * @param validate - validates the value of a row
 * @param log - event log for invalid rows
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
 * Reads all rows whose key has a prefix, page by page. Ends after the first
 * error.
 *
 * @returns pages of rows in key order
 */
export async function* scanPages(
  table: TableService,
  prefix: string,
): AsyncGenerator<Result<Row[], SavoryspurError>, void, void> {
  let after = '';
  for (;;) {
    const page = await table.scan({prefix, after, limit: SCAN_PAGE_ROWS});
    yield page;
    if (page.isErr() || page.value.length < SCAN_PAGE_ROWS) return;
    after = page.value[page.value.length - 1]!.key;
  }
}
