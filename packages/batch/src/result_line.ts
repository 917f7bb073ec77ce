/** Lines of result files in the format of the OpenAI-compatible API. */
import type {ItemAnswer} from './item_executor.js';

/** HTTP status code of a successful answer. */
const STATUS_OK = 200;

/** Reason why an item has no answer. */
export interface ItemFailure {
  code: string;
  message: string;
}

/**
 * Outcome of one item: an answer of a server, or a failure without an answer.
 */
export interface ItemOutcome {
  /** Position of the item in its chunk. */
  index: number;
  /** Line of the result file, without the line feed. */
  line: string;
  /**
   * Whether the line belongs to the output file; otherwise to the error file.
   */
  isCompleted: boolean;
}

/** Identifies one item of a job. */
export interface ItemIdentity {
  jobId: string;
  chunk: number;
  index: number;
  customId: string;
}

/** Creates the outcome of an item with an answer. */
export function createAnswerOutcome(
  item: ItemIdentity,
  answer: ItemAnswer,
): ItemOutcome {
  const id = formatResultId(item);
  const line = JSON.stringify({
    id,
    custom_id: item.customId,
    response: {
      status_code: answer.statusCode,
      request_id: id,
      body: answer.body,
    },
    error: null,
  });
  const isCompleted = answer.statusCode === STATUS_OK;
  return {index: item.index, line, isCompleted};
}

/** Creates the outcome of an item that ends without an answer. */
export function createFailureOutcome(
  item: ItemIdentity,
  failure: ItemFailure,
): ItemOutcome {
  const line = JSON.stringify({
    id: formatResultId(item),
    custom_id: item.customId,
    response: null,
    error: failure,
  });
  return {index: item.index, line, isCompleted: false};
}

function formatResultId(item: ItemIdentity): string {
  const job = item.jobId.slice('batch_'.length);
  return `batch_req_${job}_${item.chunk}_${item.index}`;
}
