/** What batch jobs need of the daemon. */
import type {SavoryspurError} from '@savoryspur/common';
import type {ResultAsync} from 'neverthrow';

/** One item of a job. */
export interface BatchItem {
  jobId: string;
  workspace: string;
  /** The caller's name of the item, unique in its job. */
  customId: string;
  /** `/v1/chat/completions` or `/v1/completions`. */
  path: string;
  body: Record<string, unknown>;
}

/** Answer to an item; a refusal by the server is an answer too. */
export interface ItemAnswer {
  statusCode: number;
  body: unknown;
}

/**
 * Runs items on backend servers as batch work, within the workspace's rate.
 * Errors with code REVOKED, CANCELLED, OVERLOADED, RATE_LIMITED or UNAVAILABLE
 * are no attempt of the item; BROKEN_ANSWER and TIMEOUT are.
 */
export interface ItemExecutor {
  /** Runs one item once. */
  run(
    item: BatchItem,
    signal: AbortSignal,
  ): ResultAsync<ItemAnswer, SavoryspurError>;
}
