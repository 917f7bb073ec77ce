/** Loads the items of a chunk from the input file. */
import {type Clock, ErrorCode, SavoryspurError} from '@savoryspur/common';
import {
  type FileIndex,
  type RequestLine,
  validateRequestLine,
} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';
import type {BatchContext} from './context.js';
import type {BatchItem} from './item_executor.js';
import {TimeSlicer} from './time_slicer.js';

/** Line feed. */
const NEWLINE = '\n';

/** A chunk and the index of its input file. */
export interface ChunkSource {
  jobId: string;
  workspace: string;
  chunk: number;
  index: FileIndex;
}

/**
 * Reads and validates the items of a chunk from its part object.
 *
 * @param context - object store and clock
 * @param source - job, chunk and index of the input file
 * @returns the items, or an error with code BROKEN_ANSWER when the stored
 *     objects do not match the file index
 */
export async function loadItems(
  context: Pick<BatchContext, 'objects' | 'clock'>,
  source: ChunkSource,
): Promise<Result<BatchItem[], SavoryspurError>> {
  const range = source.index.chunks[source.chunk];
  const name = source.index.parts[range?.part ?? -1];
  if (range === undefined || name === undefined) {
    return err(createInputError(source, 'the file index has no such chunk'));
  }
  const {start, end} = range;
  const body = await context.objects.get(name, {start, end});
  if (body.isErr()) return err(body.error);
  if (body.value.length !== end - start) {
    return err(createInputError(source, 'the part object is truncated'));
  }
  const lines = body.value.toString('utf8').trimEnd().split(NEWLINE);
  if (lines.length !== range.items) {
    return err(
      createInputError(
        source,
        'the number of items differs from the file index',
      ),
    );
  }
  return parseItems(context.clock, source, lines);
}

async function parseItems(
  clock: Clock,
  source: ChunkSource,
  lines: string[],
): Promise<Result<BatchItem[], SavoryspurError>> {
  const slicer = new TimeSlicer(clock);
  const items: BatchItem[] = [];
  for (const line of lines) {
    const request = parseLine(line);
    if (request === undefined) {
      return err(createInputError(source, 'a line is invalid'));
    }
    items.push({
      jobId: source.jobId,
      workspace: source.workspace,
      customId: request.custom_id,
      path: request.url,
      body: request.body,
    });
    if (slicer.isSliceOver(line.length)) await slicer.waitForNextSlice();
  }
  return ok(items);
}

function parseLine(line: string): RequestLine | undefined {
  try {
    return validateRequestLine(JSON.parse(line)).unwrapOr(undefined);
  } catch (thrown) {
    return undefined;
  }
}

function createInputError(
  source: ChunkSource,
  message: string,
): SavoryspurError {
  return new SavoryspurError(
    ErrorCode.BROKEN_ANSWER,
    {step: 'batch.load_items', peer: 'object store'},
    `chunk ${source.chunk} of ${source.jobId}: ${message}`,
  );
}
