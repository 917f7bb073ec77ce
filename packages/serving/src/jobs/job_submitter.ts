/** Accepts batch jobs: stores each one exactly once, within the queued-token quota of its workspace. */
import {
  type Clock,
  ErrorCode,
  type EventLog,
  type SavoryspurError,
  ServingEvent,
} from '@savoryspur/common';
import {
  type BatchItemPayload,
  type BatchJobRow,
  type BatchQuotaRow,
  BatchState,
  validateBatchQuotaRow,
} from '@savoryspur/schema';
import {createHash} from 'node:crypto';
import {err, ok, type Result, type ResultAsync} from 'neverthrow';
import type {Route} from '../environment.js';
import type {RowName, TableRow} from '../store/row_store.js';
import type {JobDirectory} from './job_directory.js';
import {
  encodeJson,
  formatJobName,
  formatQuotaName,
  isOpen,
  type JobStore,
  parseStored,
  parseJob,
  toExactRange,
} from './job_store.js';
import {WriteTurns} from './write_turns.js';

/** Retry-After of a submission that could not be stored, milliseconds. */
const NOT_ACCEPTED_RETRY_AFTER_MS = 500;

/** Timeout of one call to the store, milliseconds. */
const STORE_CALL_TIMEOUT_MS = 800;

/** Usual time of a call to the store, with other writers, milliseconds. */
const STORE_CALL_MS = 100;

/** Time that a caller needs to submit a job at another daemon after a refusal, milliseconds: its Retry-After, and one call each to store the payload and the row. */
const NEXT_TRY_MS = NOT_ACCEPTED_RETRY_AFTER_MS + 2 * STORE_CALL_MS;

/** Delay between tries, milliseconds. */
const RETRY_DELAY_MS = 60;

/** Retry-After of a submission beyond the queued-token quota, milliseconds. */
const OVER_LIMIT_RETRY_AFTER_MS = 2000;

/** Batch job as its caller submits it. */
export interface JobSubmission {
  jobId: string;
  workspace: string;
  route: Route;
  /** When the caller stops waiting for the answer, monotonic milliseconds. */
  deadlineMs: number;
  /** Items with their tokens, which count against the quota. */
  items: Array<{itemId: string; tokens: number}>;
  /** Requests of the items, as {@link encodePayload} encodes them. */
  payload: Buffer;
}

/** Outcome of a submission. */
export enum SubmitOutcome {
  ACCEPTED = 'accepted',
  /** The job would exceed the queued-token quota of the route; none of its items run. */
  OVER_LIMIT = 'over_limit',
  /** The store can't keep a job of this size; none of its items run. */
  TOO_LARGE = 'too_large',
  /** Nothing was written; none of the items run. */
  NOT_ACCEPTED = 'not_accepted',
  /** An answer of the store was lost, so the job may have been accepted. */
  UNKNOWN = 'unknown',
}

/** Outcome of a submission with its Retry-After. */
export interface SubmitResult {
  outcome: SubmitOutcome;
  /** Time after which the caller should submit again, milliseconds. */
  retryAfterMs?: number;
}

/** New content of the quota row, with the version that it replaces. */
interface StoredQuota {
  row: BatchQuotaRow;
  version: number;
}

/** How a try to write the row of a job ended that the store has answered. */
interface TryEnd {
  /** Result of the submission; undefined when only the quota row had changed. */
  result?: SubmitResult;
  /** Quota row as the store returned it with the failed condition. */
  quotaRow?: TableRow;
}

/** Components that the acceptance of jobs uses. */
export interface JobSubmitterOptions {
  store: JobStore;
  /** Local copy of the job table. */
  directory: JobDirectory;
  clock: Clock;
  log: EventLog;
  /** Host and incarnation of this daemon, which runs the jobs that it accepts. */
  hostIncarnation: string;
  /** Called once a job is durable. */
  onAccepted: () => void;
}

/** Accepts batch jobs on one daemon. */
export class JobSubmitter {
  private readonly quotaTurns: WriteTurns;

  /**
   * @param options - components that the acceptance uses
   */
  constructor(private readonly options: JobSubmitterOptions) {
    this.quotaTurns = new WriteTurns(options.clock);
  }

  /**
   * Accepts a job once. A repeated submission of an accepted job is accepted again
   * without a change.
   *
   * @param submission - the job
   */
  async submit(submission: JobSubmission): Promise<SubmitResult> {
    const result = await this.storeJob(submission);
    const isAccepted = result.outcome === SubmitOutcome.ACCEPTED;
    if (isAccepted) this.options.onAccepted();
    this.options.log.record(
      isAccepted ? ServingEvent.JOB_ACCEPTED : ServingEvent.JOB_REFUSED,
      {
        requestId: submission.jobId,
        workspace: submission.workspace,
        items: submission.items.length,
        outcome: result.outcome,
      },
    );
    return result;
  }

  private async storeJob(submission: JobSubmission): Promise<SubmitResult> {
    const {directory} = this.options;
    if (directory.find(submission)) return {outcome: SubmitOutcome.ACCEPTED};
    // Daemons of former builds confuse jobs of several workspaces with one id.
    if (directory.isIdOfOther(submission)) {
      return {outcome: SubmitOutcome.NOT_ACCEPTED};
    }
    const {payload, deadlineMs} = submission;
    // While nothing was written, the caller is refused in time to try another daemon.
    const tryUntilMs = deadlineMs - NEXT_TRY_MS;
    if (this.isTooLarge(submission)) return {outcome: SubmitOutcome.TOO_LARGE};
    const name = createPayloadName(submission);
    const stored = await this.putPayload(name, payload, tryUntilMs);
    if (!stored) return createNotAccepted();
    const write = () =>
      this.writeJob(
        submission,
        name,
        tryUntilMs,
        deadlineMs - STORE_CALL_TIMEOUT_MS,
      );
    const {workspace, route} = submission;
    if (route.maxWaitingTokens <= 0) return write();
    return this.quotaTurns.run(
      formatQuotaName(workspace, route.name).key,
      write,
    );
  }

  private async putPayload(
    name: string,
    payload: Buffer,
    untilMs: number,
  ): Promise<boolean> {
    for (;;) {
      const put = await this.options.store.blobs.put(
        name,
        payload,
        STORE_CALL_TIMEOUT_MS,
      );
      if (put.isOk()) return true;
      this.recordFailure(name, put.error);
      if (put.error.code === ErrorCode.REMOTE_ERROR) return false;
      await this.options.clock.sleep(RETRY_DELAY_MS);
      if (this.options.clock.now() >= untilMs) return false;
    }
  }

  /**
   * Tries to write the row of the job, at least once, until the outcome is certain or
   * the time is over. A write whose answer was lost may still take effect; each later try has
   * the same condition on the row of the job, so at most one of them takes effect.
   */
  private async writeJob(
    submission: JobSubmission,
    payload: string,
    tryUntilMs: number,
    ambiguousUntilMs: number,
  ): Promise<SubmitResult> {
    let isAmbiguous = false;
    let quotaRow: TableRow | undefined;
    let untilMs = Infinity;
    while (this.options.clock.now() < untilMs) {
      const end = await this.tryWrite(submission, payload, quotaRow);
      if (end.isErr()) isAmbiguous ||= end.error.code === ErrorCode.AMBIGUOUS;
      untilMs = isAmbiguous ? ambiguousUntilMs : tryUntilMs;
      if (end.isOk()) {
        if (end.value.result) return end.value.result;
        quotaRow = end.value.quotaRow;
        continue;
      }
      quotaRow = undefined;
      this.recordFailure(submission.jobId, end.error);
      const isRefused = end.error.code === ErrorCode.REMOTE_ERROR;
      if (isRefused && !isAmbiguous) return createNotAccepted();
      await this.options.clock.sleep(RETRY_DELAY_MS);
    }
    return isAmbiguous ? {outcome: SubmitOutcome.UNKNOWN} : createNotAccepted();
  }

  /**
   * Tries to write the row once.
   *
   * @param submission - the job
   * @param payload - name of the payload object
   * @param quotaRow - quota row that the store has just returned; it is read when
   *     this is undefined
   */
  private async tryWrite(
    submission: JobSubmission,
    payload: string,
    quotaRow: TableRow | undefined,
  ): Promise<Result<TryEnd, SavoryspurError>> {
    const row = this.createRow(submission, payload);
    if (!row) return ok({result: createNotAccepted()});
    const name = formatJobName(row.workspace, row.jobId);
    const conditions = [{...name, version: 0}];
    const writes = [{...name, value: encodeJson(row)}];
    if (submission.route.maxWaitingTokens > 0) {
      const quota = await this.reserveTokens(submission, quotaRow);
      if (quota.isErr()) return err(quota.error);
      if (!quota.value) return this.refuseOverLimit(submission);
      const quotaName = formatQuotaName(row.workspace, row.route);
      conditions.push({...quotaName, version: quota.value.version});
      writes.push({...quotaName, value: encodeJson(quota.value.row)});
    }
    const outcome = await this.options.store.rows.transact(
      {conditions, writes},
      STORE_CALL_TIMEOUT_MS,
    );
    if (outcome.isErr()) return err(outcome.error);
    if (outcome.value.isCommitted) {
      return ok({result: {outcome: SubmitOutcome.ACCEPTED}});
    }
    return this.checkConflict(submission, outcome.value.conflicts);
  }

  /**
   * Handles a failed condition: accepts a repeat whose job exists, or gives the
   * present quota row when only that has changed.
   */
  private checkConflict(
    submission: JobSubmission,
    conflicts: readonly TableRow[],
  ): Result<TryEnd, SavoryspurError> {
    const {workspace, route, jobId} = submission;
    const existing = findRow(conflicts, formatJobName(workspace, jobId));
    if (!existing) {
      const quotaName = formatQuotaName(workspace, route.name);
      return ok({quotaRow: findRow(conflicts, quotaName)});
    }
    const job = parseJob(existing.value, existing.version);
    if (job.isErr()) return err(job.error);
    this.options.directory.update(job.value);
    return ok({result: checkWorkspace(job.value.row, submission)});
  }

  /**
   * Refuses a job that exceeds the queued-token quota. Earlier tries can no longer
   * take effect, since the quota row that their condition names has a newer version
   * by now or has been read again. A job that already exists is accepted.
   */
  private async refuseOverLimit(
    submission: JobSubmission,
  ): Promise<Result<TryEnd, SavoryspurError>> {
    const {workspace, jobId} = submission;
    const job = await this.options.store.readJob(workspace, jobId);
    if (job.isErr()) return err(job.error);
    if (job.value) {
      return ok({result: checkWorkspace(job.value.row, submission)});
    }
    return ok({
      result: {
        outcome: SubmitOutcome.OVER_LIMIT,
        retryAfterMs: OVER_LIMIT_RETRY_AFTER_MS,
      },
    });
  }

  /**
   * Adds the tokens of a job to the queued-token quota. When they do not fit, the
   * tokens of items that already have a result are subtracted first.
   *
   * @param submission - the job
   * @param quotaRow - quota row that the store has just returned; it is read when
   *     this is undefined
   * @returns the new quota row; undefined when the job does not fit
   */
  private async reserveTokens(
    submission: JobSubmission,
    quotaRow: TableRow | undefined,
  ): Promise<Result<StoredQuota | undefined, SavoryspurError>> {
    const {workspace, route, jobId} = submission;
    const read = quotaRow ? ok(quotaRow) : await this.readQuotaRow(submission);
    if (read.isErr()) return err(read.error);
    const current = read.value;
    const parsed = current
      ? parseStored<BatchQuotaRow>(current.value, validateBatchQuotaRow)
      : ok<BatchQuotaRow, SavoryspurError>({jobs: {}});
    if (parsed.isErr()) return err(parsed.error);
    const jobs = this.dropFinishedJobs(workspace, parsed.value.jobs);
    const tokens = sumTokens(submission.items);
    jobs[jobId] = tokens;
    const version = current?.version ?? 0;
    const row = {jobs};
    if (this.isQuotaMet(row, route)) return ok({row, version});
    const recounted = await this.countUnfinishedTokens(submission, jobs);
    if (recounted.isErr()) return err(recounted.error);
    const recountedRow = {jobs: recounted.value};
    return ok(
      this.isQuotaMet(recountedRow, route)
        ? {row: recountedRow, version}
        : undefined,
    );
  }

  /** Reads the quota row; gives undefined when there is none. */
  private readQuotaRow({
    workspace,
    route,
  }: JobSubmission): ResultAsync<TableRow | undefined, SavoryspurError> {
    return this.options.store.rows
      .read(toExactRange(formatQuotaName(workspace, route.name)))
      .map(({rows}) => rows[0]);
  }

  /** Whether the queued tokens are within the quota, and their row within the size that the store takes. */
  private isQuotaMet(row: BatchQuotaRow, route: Route): boolean {
    return (
      sumValues(row.jobs) <= route.maxWaitingTokens &&
      encodeJson(row).length <= this.options.store.maxValueBytes
    );
  }

  private isTooLarge(submission: JobSubmission): boolean {
    const {limits, maxValueBytes} = this.options.store;
    const row = this.createRow(submission, createPayloadName(submission));
    return (
      submission.payload.length > limits.objectBytes ||
      (row !== undefined && encodeJson(row).length > maxValueBytes)
    );
  }

  /** Leaves out jobs that are known to be no longer open. */
  private dropFinishedJobs(
    workspace: string,
    jobs: Record<string, number>,
  ): Record<string, number> {
    const unfinished: Record<string, number> = {};
    for (const [jobId, tokens] of Object.entries(jobs)) {
      const known = this.options.directory.find({workspace, jobId});
      if (!known || isOpen(known.row)) unfinished[jobId] = tokens;
    }
    return unfinished;
  }

  /** Counts the tokens of each job again, without the items that have a result. */
  private async countUnfinishedTokens(
    {workspace, jobId: newJobId}: JobSubmission,
    jobs: Record<string, number>,
  ): Promise<Result<Record<string, number>, SavoryspurError>> {
    const unfinished: Record<string, number> = {};
    for (const [jobId, tokens] of Object.entries(jobs)) {
      const known = this.options.directory.find({workspace, jobId});
      if (!known || jobId === newJobId) {
        unfinished[jobId] = tokens;
        continue;
      }
      const done = await this.options.store.readDone(known.row);
      if (done.isErr()) return err(done.error);
      const openTokens = sumTokens(
        known.row.items.filter((item) => !done.value.has(item.itemId)),
      );
      if (openTokens > 0) unfinished[jobId] = openTokens;
    }
    return ok(unfinished);
  }

  /** Creates the row of a job; gives undefined before the first answer of the store, whose clock it needs. */
  private createRow(
    submission: JobSubmission,
    payload: string,
  ): BatchJobRow | undefined {
    const acceptedMs = this.options.store.rows.now();
    if (acceptedMs === undefined) return undefined;
    const {route} = submission;
    return {
      jobId: submission.jobId,
      workspace: submission.workspace,
      route: route.name,
      host: route.host,
      state: BatchState.OPEN,
      items: submission.items.map(({itemId, tokens}) => ({itemId, tokens})),
      payload,
      acceptedMs,
      dueMs: acceptedMs + route.completionTargetMs,
      abandonMs: acceptedMs + route.retentionMs,
      runner: this.options.hostIncarnation,
    };
  }

  private recordFailure(requestId: string, error: SavoryspurError): void {
    this.options.log.record(ServingEvent.JOB_STORE_FAILED, {
      requestId,
      step: error.origin.step,
      peer: error.origin.peer,
      reason: error.message,
    });
  }
}

/** Encodes the requests of the items of a job for the store. */
export function encodePayload(items: readonly BatchItemPayload[]): Buffer {
  return encodeJson({
    items: items.map(({itemId, path, headers, body}) => ({
      itemId,
      path,
      headers,
      body,
    })),
  });
}

/** Finds an existing row of a partition by its name. */
function findRow(
  rows: readonly TableRow[],
  {table, key}: RowName,
): TableRow | undefined {
  return rows.find(
    (row) => row.table === table && row.key === key && row.version > 0,
  );
}

function createNotAccepted(): SubmitResult {
  return {
    outcome: SubmitOutcome.NOT_ACCEPTED,
    retryAfterMs: NOT_ACCEPTED_RETRY_AFTER_MS,
  };
}

/** Accepts a repeat of a job. A job id that another workspace uses is not accepted, and the caller is not told why. */
function checkWorkspace(
  row: BatchJobRow,
  submission: JobSubmission,
): SubmitResult {
  const isOwn = row.workspace === submission.workspace;
  return {
    outcome: isOwn ? SubmitOutcome.ACCEPTED : SubmitOutcome.NOT_ACCEPTED,
  };
}

/** Formats the name of the payload object from its content, so that a repeated submission stores the same object. */
function createPayloadName({jobId, payload}: JobSubmission): string {
  const digest = createHash('sha1').update(payload).digest('hex');
  return `payload-${digest}-${jobId}`;
}

function sumTokens(items: ReadonlyArray<{tokens: number}>): number {
  return items.reduce((sum, item) => sum + item.tokens, 0);
}

function sumValues(values: Record<string, number>): number {
  return Object.values(values).reduce((sum, value) => sum + value, 0);
}
