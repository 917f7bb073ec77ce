/** Keys of table rows, names of objects, and ids of files and jobs. */
import {createHash, randomBytes} from 'node:crypto';

/**
 * Maximum wall time in an id, milliseconds. Ids contain the difference to it,
 * so that newer ids sort first.
 */
const MAX_TIME_MS = 0xfffffffffff;

/** Hexadecimal digits of the time in an id. */
const TIME_HEX_DIGITS = 11;

/** Random bytes in an id. */
const RANDOM_BYTES = 10;

/** Decimal digits of a deadline in a key. */
const DEADLINE_DIGITS = 15;

/** Decimal digits of a chunk number in a key. */
const CHUNK_DIGITS = 6;

const FILE_ID_PATTERN = /^file-[0-9a-f]{31}$/;
const JOB_ID_PATTERN = /^batch_[0-9a-f]{31}$/;
const RESULT_FILE_ID_PATTERN = /^file-(output|error)-([0-9a-f]{31})$/;

/** Kind of a result file. */
export enum ResultKind {
  OUTPUT = 'output',
  ERROR = 'error',
}

/** Job and kind in the id of a result file. */
export interface ResultFileName {
  jobId: string;
  kind: ResultKind;
}

/** Creates the unique part of an id; newer ids sort first. */
function createUniquePart(wallMs: number): string {
  const time = (MAX_TIME_MS - wallMs)
    .toString(16)
    .padStart(TIME_HEX_DIGITS, '0');
  return time + randomBytes(RANDOM_BYTES).toString('hex');
}

/** Creates a file id. */
export function createFileId(wallMs: number): string {
  return `file-${createUniquePart(wallMs)}`;
}

/** Creates a job id. */
export function createJobId(wallMs: number): string {
  return `batch_${createUniquePart(wallMs)}`;
}

/** Tells whether a text is a syntactically valid file id. */
export function isFileId(text: string): boolean {
  return FILE_ID_PATTERN.test(text);
}

/** Tells whether a text is a syntactically valid job id. */
export function isJobId(text: string): boolean {
  return JOB_ID_PATTERN.test(text);
}

/** Formats the id of a result file of a job. */
export function formatResultFileId(jobId: string, kind: ResultKind): string {
  return `file-${kind}-${jobId.slice('batch_'.length)}`;
}

/** Parses the id of a result file; returns undefined for any other text. */
export function parseResultFileId(text: string): ResultFileName | undefined {
  const match = RESULT_FILE_ID_PATTERN.exec(text);
  if (!match) return undefined;
  return {jobId: `batch_${match[2]}`, kind: match[1] as ResultKind};
}

/** Formats the prefix of the file rows of a workspace. */
export function formatFileRowPrefix(workspace: string): string {
  return `file/${workspace}/`;
}

/** Formats the key of a file row. */
export function formatFileRowKey(workspace: string, fileId: string): string {
  return formatFileRowPrefix(workspace) + fileId;
}

/** Formats the key of a job row. */
export function formatJobRowKey(jobId: string): string {
  return `job/${jobId}`;
}

/**
 * Formats the key of the row that maps an idempotency key to its job. The row
 * key contains the SHA-256 hash of the idempotency key.
 */
export function formatIdempotencyRowKey(
  workspace: string,
  idempotencyKey: string,
): string {
  const hash = createHash('sha256').update(idempotencyKey).digest('hex');
  return `jobkey/${workspace}/${hash}`;
}

/** Formats the prefix of the rows that list the jobs of a workspace. */
export function formatJobListPrefix(workspace: string): string {
  return `joblist/${workspace}/`;
}

/** Key prefix of the active rows; each running job has one. */
export const ACTIVE_PREFIX = 'active/';

/** Formats the key of the active row of a job; earlier deadlines sort first. */
export function formatActiveRowKey(deadline: number, jobId: string): string {
  const sortable = String(deadline).padStart(DEADLINE_DIGITS, '0');
  return `${ACTIVE_PREFIX}${sortable}/${jobId}`;
}

/** Formats the prefix of the chunk rows of a job. */
export function formatChunkRowPrefix(jobId: string): string {
  return `chunk/${jobId}/`;
}

/** Formats the key of a chunk row. */
export function formatChunkRowKey(jobId: string, chunk: number): string {
  const sortable = String(chunk).padStart(CHUNK_DIGITS, '0');
  return formatChunkRowPrefix(jobId) + sortable;
}

/** Parses the chunk number out of the key of a chunk row. */
export function parseChunkNumber(key: string): number {
  return Number(key.slice(key.lastIndexOf('/') + 1));
}

/** Formats the name of a part object of a file. */
export function formatPartName(
  workspace: string,
  fileId: string,
  part: number,
): string {
  return `files/${workspace}/${fileId}/part-${part}`;
}

/** Formats the name of the index object of a file. */
export function formatIndexName(workspace: string, fileId: string): string {
  return `files/${workspace}/${fileId}/index`;
}

/** Formats a new unique name of a segment object. */
export function formatSegmentName(jobId: string, chunk: number): string {
  const unique = randomBytes(RANDOM_BYTES).toString('hex');
  return `results/${jobId}/${chunk}-${unique}`;
}
