/** Observation of finished online requests, for reports and metrics. */
import type {ErrorCode} from '@savoryspur/common';

/** Outcome and latencies of a finished online request. */
export interface OnlineObservation {
  workspace: string;
  /** Name of the model, or path of the route to a plain service. */
  route: string;
  /** Error code; absent when the complete answer was delivered. */
  code?: ErrorCode;
  /**
   * Whether a rate-limited request may have been within the workspace's rate.
   */
  isWithinRate?: boolean;
  /** Time from arrival to the first token, milliseconds. */
  firstTokenMs?: number;
  /** Mean time between tokens, milliseconds. */
  betweenTokensMs?: number;
  /** Time from arrival to the end, milliseconds. */
  totalMs: number;
}

/** Receives an observation of each online request. */
export interface OnlineObserver {
  /** Records one finished request. */
  record(observation: OnlineObservation): void;
}
