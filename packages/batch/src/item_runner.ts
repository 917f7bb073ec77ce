/** Runs one item until it has an outcome. */
import {
  BatchEvent,
  ErrorCode,
  type SavoryspurError,
  toSavoryspurError,
} from '@savoryspur/common';
import {err, type Result} from 'neverthrow';
import type {BatchItem, ItemAnswer} from './item_executor.js';
import type {ItemSemaphore} from './item_semaphore.js';
import {
  createAnswerOutcome,
  createFailureOutcome,
  type ItemIdentity,
  type ItemOutcome,
} from './result_line.js';
import type {WorkerContext} from './worker_context.js';

/** Lowest HTTP status code of a server error. */
const MIN_SERVER_ERROR = 500;

/** HTTP status code of too many requests. */
const TOO_MANY_REQUESTS = 429;

/** How an error of the executor affects the item. */
enum ErrorKind {
  /** The item did not run, so no attempt is counted; it is retried later. */
  NO_ATTEMPT = 'no_attempt',
  /**
   * The connection to the server broke while it ran the item, as when the server
   * crashes. That is no fault of the item, so no attempt is counted.
   */
  SERVER_LOST = 'server_lost',
  /** The item cannot succeed and is not retried. */
  FINAL = 'final',
}

/** Kinds of error codes. Any other code counts as a failed attempt. */
const ERROR_KINDS = new Map<ErrorCode, ErrorKind>([
  [ErrorCode.REVOKED, ErrorKind.NO_ATTEMPT],
  [ErrorCode.CANCELLED, ErrorKind.NO_ATTEMPT],
  [ErrorCode.OVERLOADED, ErrorKind.NO_ATTEMPT],
  [ErrorCode.RATE_LIMITED, ErrorKind.NO_ATTEMPT],
  [ErrorCode.UNAVAILABLE, ErrorKind.NO_ATTEMPT],
  [ErrorCode.QUARANTINED, ErrorKind.NO_ATTEMPT],
  [ErrorCode.BROKEN_ANSWER, ErrorKind.SERVER_LOST],
  [ErrorCode.INVALID_INPUT, ErrorKind.FINAL],
  [ErrorCode.NOT_FOUND, ErrorKind.FINAL],
  [ErrorCode.FORBIDDEN, ErrorKind.FINAL],
]);

/** An item with the state and callbacks of its chunk. */
export interface ItemRun {
  item: BatchItem;
  identity: ItemIdentity;
  /** Number of failed attempts by item position; the runner updates it. */
  attempts: Map<number, number>;
  /**
   * Positions of the items whose last run was refused; the runner updates it.
   */
  refused: Set<number>;
  signal: AbortSignal;
  /**
   * Called before each run; tells whether this host may still run the chunk.
   */
  isChunkUsable: () => Promise<boolean>;
}

/** Runs items within the concurrency limit of the host. */
export class ItemRunner {
  /**
   * @param context - executor, clock, log and bounds
   * @param semaphore - limits the items in progress on this host
   */
  constructor(
    private readonly context: WorkerContext,
    private readonly semaphore: ItemSemaphore,
  ) {}

  /**
   * Runs an item until it has an outcome; retries with backoff.
   *
   * @returns the outcome, or undefined when the run was aborted or the host may
   *     no longer run the chunk
   */
  async run(run: ItemRun): Promise<ItemOutcome | undefined> {
    try {
      return await this.runUntilOutcome(run);
    } finally {
      run.refused.delete(run.identity.index);
    }
  }

  private async runUntilOutcome(
    run: ItemRun,
  ): Promise<ItemOutcome | undefined> {
    for (let failures = 0; ; failures++) {
      if (this.hasNoAttemptLeft(run)) return this.createExhaustedOutcome(run);
      const result = await this.runOnce(run);
      if (result === undefined) return undefined;
      const outcome = this.createFinalOutcome(run, result);
      if (outcome) return outcome;
      if (run.signal.aborted) return undefined;
      this.recordFailedRun(run, result);
      if (this.hasNoAttemptLeft(run))
        return this.createExhaustedOutcome(run, result);
      await this.context.clock.sleep(
        this.computeBackoffMs(failures, getErrorKind(result)),
        run.signal,
      );
    }
  }

  /** Counts a failed attempt, or marks the item as refused. */
  private recordFailedRun(
    {attempts, identity, refused}: ItemRun,
    result: Result<ItemAnswer, SavoryspurError>,
  ): void {
    const errorKind = getErrorKind(result);
    if (errorKind === ErrorKind.NO_ATTEMPT) {
      refused.add(identity.index);
      return;
    }
    refused.delete(identity.index);
    if (errorKind === ErrorKind.SERVER_LOST) return;
    attempts.set(identity.index, (attempts.get(identity.index) ?? 0) + 1);
  }

  /** @returns the result, or undefined when the item may not run anymore */
  private async runOnce(
    run: ItemRun,
  ): Promise<Result<ItemAnswer, SavoryspurError> | undefined> {
    if (!(await this.semaphore.acquire(run.signal))) return undefined;
    try {
      const isUsable = await run.isChunkUsable();
      if (!isUsable || run.signal.aborted) return undefined;
      return await this.context.executor.run(run.item, run.signal);
    } catch (thrown) {
      const origin = {step: 'batch.run_item', peer: 'executor'};
      return err(toSavoryspurError(thrown, origin));
    } finally {
      this.semaphore.release();
    }
  }

  /**
   * Creates the outcome of a run that is not retried.
   *
   * @returns the outcome, or undefined when the item is retried
   */
  private createFinalOutcome(
    run: ItemRun,
    result: Result<ItemAnswer, SavoryspurError>,
  ): ItemOutcome | undefined {
    if (result.isOk()) {
      if (isRetryableAnswer(result.value)) return undefined;
      return createAnswerOutcome(run.identity, result.value);
    }
    if (getErrorKind(result) !== ErrorKind.FINAL) return undefined;
    return createFailureOutcome(run.identity, {
      code: result.error.code,
      message: result.error.message,
    });
  }

  private hasNoAttemptLeft(run: ItemRun): boolean {
    const used = run.attempts.get(run.identity.index) ?? 0;
    return used >= this.context.settings.maxAttempts;
  }

  /**
   * Creates the outcome of an item that has used all its attempts.
   *
   * @param last - result of the last attempt, if this host made it
   */
  private createExhaustedOutcome(
    run: ItemRun,
    last?: Result<ItemAnswer, SavoryspurError>,
  ): ItemOutcome {
    this.context.log.record(BatchEvent.ITEM_ATTEMPTS_EXHAUSTED, {
      job: run.identity.jobId,
      customId: run.identity.customId,
      error: last?.isErr() ? last.error.message : undefined,
    });
    if (last?.isOk()) return createAnswerOutcome(run.identity, last.value);
    const attempts = run.attempts.get(run.identity.index) ?? 0;
    return createFailureOutcome(run.identity, {
      code: last?.isErr() ? last.error.code : 'attempts_exhausted',
      message: `No answer after ${attempts} attempts.`,
    });
  }

  /**
   * Computes the wait before the next run, milliseconds.
   *
   * @param failures - consecutive runs without an outcome before this one
   * @param errorKind - kind of the last run's error; undefined for an answer or
   *     an error that counts as a failed attempt
   */
  private computeBackoffMs(
    failures: number,
    errorKind: ErrorKind | undefined,
  ): number {
    const {initialBackoffMs, maxBackoffMs, maxServerLostBackoffMs} =
      this.context.bounds;
    const isServerLost = errorKind === ErrorKind.SERVER_LOST;
    return Math.min(
      initialBackoffMs * 2 ** Math.min(failures, 20),
      isServerLost ? maxServerLostBackoffMs : maxBackoffMs,
    );
  }
}

function isRetryableAnswer(answer: ItemAnswer): boolean {
  const {statusCode} = answer;
  return statusCode >= MIN_SERVER_ERROR || statusCode === TOO_MANY_REQUESTS;
}

/**
 * Gets the kind of a run's error; undefined for an answer and for an error that
 * counts as a failed attempt.
 */
function getErrorKind(
  result: Result<ItemAnswer, SavoryspurError>,
): ErrorKind | undefined {
  return result.isErr() ? ERROR_KINDS.get(result.error.code) : undefined;
}
