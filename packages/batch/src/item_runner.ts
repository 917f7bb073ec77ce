/** Runs one item until it has an outcome. */
import {
  BatchEvent,
  ErrorCode,
  type SavoryspurError,
  toSavoryspurError,
} from '@savoryspur/common';
import {err, type Result} from 'neverthrow';
import type {BatchItem, ItemAnswer} from './item_executor.js';
import type {ItemSlots} from './item_slots.js';
import {
  createAnswerOutcome,
  createFailureOutcome,
  type ItemName,
  type ItemOutcome,
} from './result_line.js';
import type {WorkerContext} from './worker_context.js';

/** First status code that stands for a fault of the server. */
const FIRST_SERVER_ERROR = 500;

/** Too many requests. */
const STATUS_TOO_MANY = 429;

/** What follows an error of the executor. */
enum ErrorKind {
  /** The item did not run; it is run again later. */
  NO_ATTEMPT = 'no_attempt',
  /** The item can never be done. */
  FINAL = 'final',
}

/** Errors that are not counted as a failed attempt. */
const ERROR_KINDS = new Map<ErrorCode, ErrorKind>([
  [ErrorCode.REVOKED, ErrorKind.NO_ATTEMPT],
  [ErrorCode.CANCELLED, ErrorKind.NO_ATTEMPT],
  [ErrorCode.OVERLOADED, ErrorKind.NO_ATTEMPT],
  [ErrorCode.RATE_LIMITED, ErrorKind.NO_ATTEMPT],
  [ErrorCode.UNAVAILABLE, ErrorKind.NO_ATTEMPT],
  [ErrorCode.QUARANTINED, ErrorKind.FINAL],
  [ErrorCode.INVALID_INPUT, ErrorKind.FINAL],
  [ErrorCode.NOT_FOUND, ErrorKind.FINAL],
  [ErrorCode.FORBIDDEN, ErrorKind.FINAL],
]);

/** An item, its place in the chunk, and what its run depends on. */
export interface ItemRun {
  item: BatchItem;
  name: ItemName;
  /** Failed attempts so far; kept up to date. */
  attempts: Map<number, number>;
  /** Positions of items whose last run was refused; kept up to date. */
  refused: Set<number>;
  signal: AbortSignal;
  /** Tells, right before each run, whether the chunk may still be used. */
  isUsable: () => Promise<boolean>;
}

/** Runs items within the slots of the host. */
export class ItemRunner {
  /**
   * @param context - executor, clock, log and bounds
   * @param slots - slots of the host
   */
  constructor(
    private readonly context: WorkerContext,
    private readonly slots: ItemSlots,
  ) {}

  /**
   * Runs an item until it has an outcome.
   *
   * @returns the outcome, or undefined when the chunk may no longer be used
   */
  async run(run: ItemRun): Promise<ItemOutcome | undefined> {
    try {
      return await this.runUntilSettled(run);
    } finally {
      run.refused.delete(run.name.index);
    }
  }

  private async runUntilSettled(
    run: ItemRun,
  ): Promise<ItemOutcome | undefined> {
    for (let failures = 0; ; failures++) {
      if (this.hasNoAttemptLeft(run)) return this.createLastOutcome(run);
      const result = await this.runOnce(run);
      if (result === undefined) return undefined;
      const outcome = this.createOutcome(run, result);
      if (outcome) return outcome;
      if (run.signal.aborted) return undefined;
      this.observe(run, result);
      if (this.hasNoAttemptLeft(run))
        return this.createLastOutcome(run, result);
      await this.context.clock.sleep(this.computeBackoff(failures), run.signal);
    }
  }

  /** Counts a failed attempt, or notes that the item was refused. */
  private observe(
    {attempts, name, refused}: ItemRun,
    result: Result<ItemAnswer, SavoryspurError>,
  ): void {
    if (!isFailedAttempt(result)) {
      refused.add(name.index);
      return;
    }
    refused.delete(name.index);
    attempts.set(name.index, (attempts.get(name.index) ?? 0) + 1);
  }

  private async runOnce(
    run: ItemRun,
  ): Promise<Result<ItemAnswer, SavoryspurError> | undefined> {
    if (!(await this.slots.acquire(run.signal))) return undefined;
    try {
      const isUsable = await run.isUsable();
      if (!isUsable || run.signal.aborted) return undefined;
      return await this.context.executor.run(run.item, run.signal);
    } catch (thrown) {
      const origin = {step: 'batch.run_item', peer: 'executor'};
      return err(toSavoryspurError(thrown, origin));
    } finally {
      this.slots.release();
    }
  }

  /** Makes the outcome of a run that settles the item. */
  private createOutcome(
    run: ItemRun,
    result: Result<ItemAnswer, SavoryspurError>,
  ): ItemOutcome | undefined {
    if (result.isOk()) {
      if (isServerFault(result.value)) return undefined;
      return createAnswerOutcome(run.name, result.value);
    }
    if (ERROR_KINDS.get(result.error.code) !== ErrorKind.FINAL) {
      return undefined;
    }
    return createFailureOutcome(run.name, {
      code: result.error.code,
      message: result.error.message,
    });
  }

  private hasNoAttemptLeft(run: ItemRun): boolean {
    const used = run.attempts.get(run.name.index) ?? 0;
    return used >= this.context.settings.maxAttempts;
  }

  /** Makes the terminal outcome after the last attempt. */
  private createLastOutcome(
    run: ItemRun,
    last?: Result<ItemAnswer, SavoryspurError>,
  ): ItemOutcome {
    this.context.log.record(BatchEvent.ITEM_ATTEMPTS_EXHAUSTED, {
      job: run.name.jobId,
      customId: run.name.customId,
      error: last?.isErr() ? last.error.message : undefined,
    });
    if (last?.isOk()) return createAnswerOutcome(run.name, last.value);
    const attempts = run.attempts.get(run.name.index) ?? 0;
    return createFailureOutcome(run.name, {
      code: last?.isErr() ? last.error.code : 'attempts_exhausted',
      message: `No answer after ${attempts} attempts.`,
    });
  }

  private computeBackoff(failures: number): number {
    const {firstBackoffMs, maxBackoffMs} = this.context.bounds;
    return Math.min(firstBackoffMs * 2 ** Math.min(failures, 20), maxBackoffMs);
  }
}

function isServerFault(answer: ItemAnswer): boolean {
  const {statusCode} = answer;
  return statusCode >= FIRST_SERVER_ERROR || statusCode === STATUS_TOO_MANY;
}

function isFailedAttempt(result: Result<ItemAnswer, SavoryspurError>): boolean {
  if (result.isOk()) return true;
  return ERROR_KINDS.get(result.error.code) !== ErrorKind.NO_ATTEMPT;
}
