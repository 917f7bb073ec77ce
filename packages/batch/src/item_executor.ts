/** Interface through which batch jobs run items on backend servers. */
import type {SavoryspurError} from '@savoryspur/common';
import type {ResultAsync} from 'neverthrow';

/** One item of a job. */
export interface BatchItem {
  jobId: string;
  workspace: string;
  /** Id that the caller gave the item, unique within the job. */
  customId: string;
  /** `/v1/chat/completions` or `/v1/completions`. */
  path: string;
  body: Record<string, unknown>;
}

/** Answer of a backend server to an item; an error status is an answer too. */
export interface ItemAnswer {
  statusCode: number;
  body: unknown;
}

/**
 * Runs items on backend servers in the batch traffic class, within the rate
 * limit of the workspace. An error with code REVOKED, CANCELLED, OVERLOADED,
 * RATE_LIMITED, UNAVAILABLE, QUARANTINED or BROKEN_ANSWER, as after a crash of
 * the server, does not count as an attempt of the item; TIMEOUT and
 * REMOTE_ERROR do.
 */
export interface ItemExecutor {
  /**
   * Runs an item once.
   *
   * @param item - the item
   * @param signal - aborts the run
   */
  run(
    item: BatchItem,
    signal: AbortSignal,
  ): ResultAsync<ItemAnswer, SavoryspurError>;
}
