/** Builds segment objects, which store the results of a chunk. */
import type {Segment} from '@savoryspur/schema';
import {formatSegmentName} from './keys.js';
import type {ItemOutcome} from './result_line.js';

/** A segment object with the outcomes that are committed together. */
export interface BuiltSegment {
  segment: Segment;
  body: Buffer;
  /** Positions of the items in the chunk. */
  indexes: number[];
  completed: number;
  failed: number;
}

/**
 * Builds a segment with a new unique name. Its body contains the lines of the
 * output file, followed by those of the error file.
 *
 * @param jobId - id of the job
 * @param chunk - number of the chunk
 * @param outcomes - outcomes of the segment, at least one
 */
export function buildSegment(
  jobId: string,
  chunk: number,
  outcomes: readonly ItemOutcome[],
): BuiltSegment {
  const sorted = [...outcomes].sort((a, b) => a.index - b.index);
  const completed = sorted.filter((outcome) => outcome.isCompleted);
  const failed = sorted.filter((outcome) => !outcome.isCompleted);
  const output = encodeLines(completed);
  const error = encodeLines(failed);
  return {
    segment: {
      name: formatSegmentName(jobId, chunk),
      outputBytes: output.length,
      errorBytes: error.length,
    },
    body: Buffer.concat([output, error]),
    indexes: sorted.map((outcome) => outcome.index),
    completed: completed.length,
    failed: failed.length,
  };
}

function encodeLines(outcomes: readonly ItemOutcome[]): Buffer {
  return Buffer.from(outcomes.map((outcome) => `${outcome.line}\n`).join(''));
}
