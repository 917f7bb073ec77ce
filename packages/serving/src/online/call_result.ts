/** Result of one call to a server for an online request. */
import {CallOutcome} from '@savoryspur/schema';
import type {AnswerHead} from './online_types.js';

/** Result of one call to a server. */
export interface CallResult {
  outcome: CallOutcome;
  /** Description of a failure for the log; empty after a success. */
  reason: string;
  /** Whether the caller was sent the final answer. */
  isFinal: boolean;
  /** Whether the final answer is a success, which shows that the request crashes no servers. */
  isSuccess?: boolean;
}

/** Result of a call whose successful answer the caller was sent. */
export const ANSWERED: CallResult = {
  outcome: CallOutcome.SUCCEEDED,
  reason: '',
  isFinal: true,
  isSuccess: true,
};

/** Lowest status code that means a failure of the server. */
export const FIRST_SERVER_ERROR_STATUS = 500;

/** Whether a status code means success. */
export function isSuccessStatus(statusCode: number): boolean {
  return statusCode >= 200 && statusCode < 300;
}

/** Answer of a server that failed. */
export interface ServerErrorAnswer {
  head: AnswerHead;
  body: Buffer;
}
