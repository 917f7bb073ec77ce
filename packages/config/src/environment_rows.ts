/** Keys, names and parsers of the rows and objects of environments in storage. */
import {ErrorCode, SavoryspurError} from '@savoryspur/common';
import {
  type EnvironmentChange,
  type EnvironmentHead,
  type FieldError,
  formatFieldError,
  type Row,
  validateEnvironmentChange,
  validateEnvironmentHead,
} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';

/** Number of digits to which versions in keys and names are padded, so that they sort by version. */
const VERSION_DIGITS = 10;

/** Valid names of environments, which are part of row keys and URL paths. */
const ENVIRONMENT_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;

/** Tells whether a text is a valid name of an environment. */
export function isEnvironmentName(text: string): boolean {
  return ENVIRONMENT_PATTERN.test(text);
}

/** Formats the key of the head row of an environment. */
export function formatHeadKey(environment: string): string {
  return `env/${environment}`;
}

/** Formats the prefix of the keys of change rows. */
export function formatChangePrefix(environment: string): string {
  return `env/${environment}/change/`;
}

/** Formats the key of the row of one change. */
export function formatChangeKey(environment: string, version: number): string {
  return `${formatChangePrefix(environment)}${formatVersion(version)}`;
}

/** Formats the prefix of the names of snapshot objects. */
export function formatSnapshotPrefix(environment: string): string {
  return `env/${environment}/snapshot/`;
}

/** Formats the name of a snapshot object. */
export function formatSnapshotName(
  environment: string,
  version: number,
  nonce: string,
): string {
  return `${formatSnapshotPrefix(environment)}${version}-${nonce}`;
}

/** Parses the version in the name of a snapshot object. */
export function parseSnapshotVersion(name: string): number {
  return Number.parseInt(name.slice(name.lastIndexOf('/') + 1), 10);
}

/** Formats the prefix of the names of archive objects. */
export function formatArchivePrefix(environment: string): string {
  return `env/${environment}/archive/`;
}

/** Formats the name of an object with archived changes. */
export function formatArchiveName(
  environment: string,
  first: number,
  last: number,
): string {
  const [from, to] = [first, last].map((version) => formatVersion(version));
  return `${formatArchivePrefix(environment)}${from}-${to}`;
}

/** Parses the first and last version in the name of an archive object. */
export function parseArchiveName(name: string): {first: number; last: number} {
  const [first, last] = name.slice(name.lastIndexOf('/') + 1).split('-');
  return {first: Number(first), last: Number(last)};
}

/** Formats the name of the object of a delta that is too large for its row. */
export function formatDeltaName(
  environment: string,
  version: number,
  nonce: string,
): string {
  return `env/${environment}/delta/${version}-${nonce}`;
}

/** The head row of an environment and its row version in the table. */
export interface HeadRow {
  rowVersion: number;
  head: EnvironmentHead;
}

/** Parses a head row; returns undefined when there is none. */
export function parseHeadRow(
  row: Row | undefined,
): Result<HeadRow | undefined, SavoryspurError> {
  if (!row) return ok(undefined);
  return parseRow(row, validateEnvironmentHead).map((head) => ({
    rowVersion: row.version,
    head,
  }));
}

/** Parses the row of one change. */
export function parseChangeRow(
  row: Row,
): Result<EnvironmentChange, SavoryspurError> {
  return parseRow(row, validateEnvironmentChange);
}

/**
 * Validates the value of a row.
 *
 * @param row - row of the table
 * @param validate - validator of `@savoryspur/schema`
 * @returns the value, or an error with code BROKEN_ANSWER
 */
export function parseRow<T>(
  row: Row,
  validate: (value: unknown) => Result<T, FieldError>,
): Result<T, SavoryspurError> {
  const checked = validate(row.value);
  if (checked.isOk()) return ok(checked.value);
  const origin = {step: 'config.read', peer: row.key};
  return err(
    new SavoryspurError(
      ErrorCode.BROKEN_ANSWER,
      origin,
      formatFieldError(checked.error),
    ),
  );
}

function formatVersion(version: number): string {
  return String(version).padStart(VERSION_DIGITS, '0');
}
