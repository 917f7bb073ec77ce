/** Result of one call to a server for an online request. */
import {CallOutcome} from '@savoryspur/schema';

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
