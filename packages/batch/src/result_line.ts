/** Lines of result files, in the form of the OpenAI-style surface. */
import type {ItemAnswer} from './item_executor.js';

/** Status code of a successful answer. */
const STATUS_OK = 200;

/** Why an item has no answer. */
export interface ItemFailure {
  code: string;
  message: string;
}

/** Outcome of one item: an answer, or a failure without one. */
export interface ItemOutcome {
  /** Position of the item in its chunk. */
  index: number;
  /** Line of the result file, without line feed. */
  line: string;
  /** Whether the line belongs to the output file. */
  isCompleted: boolean;
}

/** Names one item. */
export interface ItemName {
  jobId: string;
  chunk: number;
  index: number;
  customId: string;
}

/** Makes the outcome of an item that has an answer. */
export function createAnswerOutcome(
  item: ItemName,
  answer: ItemAnswer,
): ItemOutcome {
  const id = formatId(item);
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

/** Makes the outcome of an item that ends without an answer. */
export function createFailureOutcome(
  item: ItemName,
  failure: ItemFailure,
): ItemOutcome {
  const line = JSON.stringify({
    id: formatId(item),
    custom_id: item.customId,
    response: null,
    error: failure,
  });
  return {index: item.index, line, isCompleted: false};
}

function formatId(item: ItemName): string {
  const job = item.jobId.slice('batch_'.length);
  return `batch_req_${job}_${item.chunk}_${item.index}`;
}
