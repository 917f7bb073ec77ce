/** File and batch objects of the OpenAI-compatible API. */
import {type FileRow, type JobRow, JobState} from '@savoryspur/schema';
import {formatResultFileId, ResultKind} from './keys.js';

/** Milliseconds in a second. */
const MS_PER_SECOND = 1000;

/** A file in the API. */
export interface FileObject {
  id: string;
  object: 'file';
  bytes: number;
  created_at: number;
  filename: string;
  purpose: 'batch' | 'batch_output';
  status: 'processed';
}

/** Item counts of a batch object. */
export interface RequestCounts {
  total: number;
  completed: number;
  failed: number;
}

/** A job in the API. */
export interface BatchObject {
  id: string;
  object: 'batch';
  endpoint: string;
  errors: null;
  input_file_id: string;
  completion_window: string;
  status: JobState;
  output_file_id: string | null;
  error_file_id: string | null;
  created_at: number;
  in_progress_at: number;
  expires_at: number;
  finalizing_at: number | null;
  completed_at: number | null;
  failed_at: null;
  expired_at: number | null;
  cancelling_at: number | null;
  cancelled_at: number | null;
  request_counts: RequestCounts;
  metadata: Record<string, string> | null;
}

/** One page of a list in the API. */
export interface ListObject<T> {
  object: 'list';
  data: T[];
  first_id: string | null;
  last_id: string | null;
  has_more: boolean;
}

/** Answer to the deletion of a file. */
export interface DeletedObject {
  id: string;
  object: 'file';
  deleted: true;
}

/** Converts a wall time in milliseconds into the seconds of the API. */
export function toSeconds(ms: number): number {
  return Math.floor(ms / MS_PER_SECOND);
}

/** Converts a file row into its API object. */
export function toFileObject(row: FileRow): FileObject {
  return {
    id: row.id,
    object: 'file',
    bytes: row.bytes,
    created_at: toSeconds(row.createdAt),
    filename: row.filename,
    purpose: 'batch',
    status: 'processed',
  };
}

/**
 * Converts a job row into its API object.
 *
 * @param row - the row
 * @param counts - number of items by outcome
 */
export function toBatchObject(
  row: JobRow,
  counts: {completed: number; failed: number},
): BatchObject {
  const hasEnded = row.state !== JobState.IN_PROGRESS;
  const endedAt = hasEnded ? toSeconds(row.endedAt ?? row.createdAt) : null;
  const isNot = (state: JobState) => row.state !== state;
  return {
    id: row.id,
    object: 'batch',
    endpoint: row.endpoint,
    errors: null,
    input_file_id: row.inputFileId,
    completion_window: row.completionWindow,
    status: row.state,
    output_file_id: hasEnded
      ? formatResultFileId(row.id, ResultKind.OUTPUT)
      : null,
    error_file_id: hasErrors(row, counts)
      ? formatResultFileId(row.id, ResultKind.ERROR)
      : null,
    created_at: toSeconds(row.createdAt),
    in_progress_at: toSeconds(row.createdAt),
    expires_at: toSeconds(row.deadline),
    finalizing_at: isNot(JobState.COMPLETED) ? null : endedAt,
    completed_at: isNot(JobState.COMPLETED) ? null : endedAt,
    failed_at: null,
    expired_at: isNot(JobState.EXPIRED) ? null : endedAt,
    cancelling_at: isNot(JobState.CANCELLED) ? null : endedAt,
    cancelled_at: isNot(JobState.CANCELLED) ? null : endedAt,
    request_counts: {total: row.items, ...counts},
    metadata: row.metadata,
  };
}

function hasErrors(row: JobRow, counts: {completed: number}): boolean {
  return row.state !== JobState.IN_PROGRESS && counts.completed < row.items;
}
