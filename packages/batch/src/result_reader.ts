/** Streams result files from committed segments. */
import {
  type ChunkRow,
  type FileIndex,
  type JobRow,
  JobState,
  type Segment,
  validateChunkRow,
} from '@savoryspur/schema';
import {Bitmap} from './bitmap.js';
import {loadItems} from './chunk_items.js';
import type {BatchContext} from './context.js';
import {loadFileIndex} from './file_index.js';
import {formatChunkRowKey, parseChunkNumber, ResultKind} from './keys.js';
import {createFailureOutcome, type ItemFailure} from './result_line.js';
import {parseRow} from './rows.js';

/** Chunk rows in one read of the table service. */
const CHUNK_ROWS_PER_READ = 100;

/** Failure reported for items without an outcome, by final state of the job. */
const NOT_RUN_FAILURES = new Map<JobState, ItemFailure>([
  [
    JobState.CANCELLED,
    {
      code: 'batch_cancelled',
      message: 'The job was cancelled first.',
    },
  ],
  [
    JobState.EXPIRED,
    {code: 'batch_expired', message: 'The job expired first.'},
  ],
]);

/**
 * Streams one result file of a job as JSON Lines, chunk by chunk. The error
 * file of a cancelled or expired job also has a line for each item that was not
 * run. Throws a SavoryspurError when storage fails.
 *
 * @param context - storage and log
 * @param job - the job
 * @param kind - kind of the result file
 */
export async function* streamResults(
  context: BatchContext,
  job: JobRow,
  kind: ResultKind,
): AsyncGenerator<Buffer, void, void> {
  const index = await loadNotRunIndex(context, job, kind);
  for (
    let firstChunk = 0;
    firstChunk < job.chunks;
    firstChunk += CHUNK_ROWS_PER_READ
  ) {
    const end = Math.min(firstChunk + CHUNK_ROWS_PER_READ, job.chunks);
    const rows = await readChunks(context, job.id, firstChunk, end);
    for (let chunk = firstChunk; chunk < end; chunk++) {
      const row = rows.get(chunk);
      for (const segment of row?.segments ?? []) {
        const bytes = await readSegment(context, segment, kind);
        if (bytes.length > 0) yield bytes;
      }
      if (index === undefined) continue;
      const lines = await formatNotRunLines(context, job, {index, chunk, row});
      if (lines.length > 0) yield lines;
    }
  }
}

/** A chunk of a cancelled or expired job. */
interface EndedChunk {
  index: FileIndex;
  chunk: number;
  /** The chunk row; undefined when no host has claimed the chunk. */
  row: ChunkRow | undefined;
}

/**
 * Loads the index of the input file if the result file has to list the items
 * that were not run; returns undefined otherwise.
 */
async function loadNotRunIndex(
  context: BatchContext,
  job: JobRow,
  kind: ResultKind,
): Promise<FileIndex | undefined> {
  if (kind !== ResultKind.ERROR) return undefined;
  if (!NOT_RUN_FAILURES.has(job.state)) return undefined;
  const index = await loadFileIndex(context.objects, job.indexName);
  if (index.isErr()) throw index.error;
  return index.value;
}

async function readChunks(
  context: BatchContext,
  jobId: string,
  firstChunk: number,
  end: number,
): Promise<Map<number, ChunkRow>> {
  const keys: string[] = [];
  for (let chunk = firstChunk; chunk < end; chunk++) {
    keys.push(formatChunkRowKey(jobId, chunk));
  }
  const rows = await context.table.read(keys);
  if (rows.isErr()) throw rows.error;
  const byNumber = new Map<number, ChunkRow>();
  for (const row of rows.value) {
    const parsed = parseRow(row, validateChunkRow);
    if (parsed.isErr()) throw parsed.error;
    byNumber.set(parseChunkNumber(row.key), parsed.value.value);
  }
  return byNumber;
}

/**
 * Reads the lines of one kind from a segment. A segment object contains the
 * lines of the output file, followed by those of the error file.
 */
async function readSegment(
  context: BatchContext,
  segment: Segment,
  kind: ResultKind,
): Promise<Buffer> {
  const {outputBytes, errorBytes} = segment;
  const isOutput = kind === ResultKind.OUTPUT;
  const start = isOutput ? 0 : outputBytes;
  const end = isOutput ? outputBytes : outputBytes + errorBytes;
  if (start === end) return Buffer.alloc(0);
  const body = await context.objects.get(segment.name, {start, end});
  if (body.isErr()) throw body.error;
  return body.value;
}

/** Formats the error lines of the items in a chunk that were not run. */
async function formatNotRunLines(
  context: BatchContext,
  job: JobRow,
  ended: EndedChunk,
): Promise<Buffer> {
  const {chunk, index, row} = ended;
  const failure = NOT_RUN_FAILURES.get(job.state)!;
  const {id: jobId, workspace} = job;
  const source = {jobId, workspace, chunk, index};
  const items = await loadItems(context, source);
  if (items.isErr()) throw items.error;
  const done = Bitmap.decode(row?.done ?? '', items.value.length);
  let text = '';
  for (const [position, {customId}] of items.value.entries()) {
    if (done.has(position)) continue;
    const identity = {jobId, chunk, index: position, customId};
    text += `${createFailureOutcome(identity, failure).line}\n`;
  }
  return Buffer.from(text);
}
