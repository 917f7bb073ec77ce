/** Makes batch jobs durable, each once, within the waiting tokens of its workspace. */
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
import {err, ok, type Result} from 'neverthrow';
import type {Route} from '../environment.js';
import type {TableRow} from '../store/row_store.js';
import type {JobDirectory} from './job_directory.js';
import {
  encode,
  formatJobName,
  formatQuotaName,
  isOpen,
  type JobStore,
  parse,
  parseJob,
  toExactRange,
} from './job_store.js';

/** Longest time in which a submission is settled that may have been written, milliseconds: below the time for which its caller waits. */
const SETTLE_MS = 3000;

/** Target latencies in which a submission of which nothing was written is tried before it is refused. */
const TRY_TARGETS = 2;

/** Retry-After of a submission that the store did not take, milliseconds. */
const STORE_RETRY_MS = 500;

/** Bound on one call to the store, milliseconds. */
const CALL_MS = 800;

/** Pause between tries, milliseconds. */
const RETRY_MS = 60;

/** Retry-After of a submission beyond the waiting tokens, milliseconds. */
const OVER_LIMIT_RETRY_MS = 2000;

/** A job as its caller submits it. */
export interface JobSubmission {
  jobId: string;
  workspace: string;
  route: Route;
  items: Array<BatchItemPayload & {tokens: number}>;
}

/** What came of a submission. */
export enum SubmitOutcome {
  ACCEPTED = 'accepted',
  /** More tokens would wait than the route allows; nothing of the job runs. */
  OVER_LIMIT = 'over_limit',
  /** Nothing was written; nothing of the job runs. */
  NOT_ACCEPTED = 'not_accepted',
  /** The job may have been accepted. */
  UNKNOWN = 'unknown',
}

/** Outcome of a submission with what its caller is told. */
export interface SubmitResult {
  outcome: SubmitOutcome;
  retryAfterMs?: number;
}

/** One look at the waiting tokens. */
interface QuotaState {
  row: BatchQuotaRow;
  version: number;
}

/** What the acceptance of jobs needs. */
export interface JobSubmitterOptions {
  store: JobStore;
  /** Jobs that are known here. */
  directory: JobDirectory;
  clock: Clock;
  log: EventLog;
  /** This run of this daemon, which runs what it accepts. */
  runner: string;
  /** Called once a job is durable. */
  onAccepted: () => void;
}

/** Accepts batch jobs. */
export class JobSubmitter {
  /**
   * @param options - store, known jobs and this daemon
   */
  constructor(private readonly options: JobSubmitterOptions) {}

  /**
   * Accepts a job once; a repeat gets the same outcome.
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
    const known = this.options.directory.find(submission.jobId);
    if (known) return checkOwner(known.row, submission);
    const startMs = this.options.clock.now();
    const tryUntilMs = startMs + submission.route.targetLatencyMs * TRY_TARGETS;
    const payload = encode({
      items: submission.items.map(({itemId, path, headers, body}) => ({
        itemId,
        path,
        headers,
        body,
      })),
    });
    const name = formatPayloadName(submission.jobId, payload);
    const stored = await this.putPayload(name, payload, tryUntilMs);
    if (!stored) return createNotAccepted();
    return this.writeJob(submission, name, tryUntilMs, startMs + SETTLE_MS);
  }

  private async putPayload(
    name: string,
    payload: Buffer,
    untilMs: number,
  ): Promise<boolean> {
    while (this.options.clock.now() < untilMs) {
      const put = await this.options.store.blobs.put(name, payload, CALL_MS);
      if (put.isOk()) return true;
      this.recordFailure(name, put.error);
      await this.options.clock.sleep(RETRY_MS);
    }
    return false;
  }

  /**
   * Writes the row until it is there or certainly not. A write without an answer
   * may still take effect; each later try has the same condition on the row of
   * the job, so at most one of them does.
   */
  private async writeJob(
    submission: JobSubmission,
    payload: string,
    tryUntilMs: number,
    settleUntilMs: number,
  ): Promise<SubmitResult> {
    let isAmbiguous = false;
    while (
      this.options.clock.now() < (isAmbiguous ? settleUntilMs : tryUntilMs)
    ) {
      const result = await this.tryWrite(submission, payload);
      if (result.isOk()) {
        if (result.value) return result.value;
        continue;
      }
      isAmbiguous ||= result.error.code === ErrorCode.AMBIGUOUS;
      this.recordFailure(submission.jobId, result.error);
      await this.options.clock.sleep(RETRY_MS);
    }
    return isAmbiguous ? {outcome: SubmitOutcome.UNKNOWN} : createNotAccepted();
  }

  /** Tries once; gives undefined when the waiting tokens changed meanwhile. */
  private async tryWrite(
    submission: JobSubmission,
    payload: string,
  ): Promise<Result<SubmitResult | undefined, SavoryspurError>> {
    const row = this.createRow(submission, payload);
    if (!row) return ok(createNotAccepted());
    const name = formatJobName(row.workspace, row.jobId);
    const conditions = [{...name, version: 0}];
    const writes = [{...name, value: encode(row)}];
    if (submission.route.maxWaitingTokens > 0) {
      const quota = await this.reserveTokens(submission);
      if (quota.isErr()) return err(quota.error);
      if (!quota.value) return this.refuseOverLimit(submission);
      const quotaName = formatQuotaName(row.workspace, row.route);
      conditions.push({...quotaName, version: quota.value.version});
      writes.push({...quotaName, value: encode(quota.value.row)});
    }
    const outcome = await this.options.store.rows.transact(
      {conditions, writes},
      CALL_MS,
    );
    if (outcome.isErr()) return err(outcome.error);
    if (outcome.value.isCommitted) {
      return ok({outcome: SubmitOutcome.ACCEPTED});
    }
    return this.checkConflict(submission, outcome.value.conflicts);
  }

  /** Accepts a repeat whose job exists; the token row may have changed instead. */
  private checkConflict(
    submission: JobSubmission,
    conflicts: readonly TableRow[],
  ): Result<SubmitResult | undefined, SavoryspurError> {
    const {table, key} = formatJobName(submission.workspace, submission.jobId);
    const existing = conflicts.find(
      (row) => row.table === table && row.key === key && row.version > 0,
    );
    if (!existing) return ok(undefined);
    const job = parseJob(existing.value, existing.version);
    if (job.isErr()) return err(job.error);
    this.options.directory.update(job.value);
    return ok(checkOwner(job.value.row, submission));
  }

  /**
   * Refuses a job that does not fit. Earlier tries can no longer take effect,
   * since the row of waiting tokens that they depend on is newer by now or has
   * been read again; only a job that is there already is accepted.
   */
  private async refuseOverLimit(
    submission: JobSubmission,
  ): Promise<Result<SubmitResult | undefined, SavoryspurError>> {
    const {workspace, jobId} = submission;
    const job = await this.options.store.readJob(workspace, jobId);
    if (job.isErr()) return err(job.error);
    if (job.value) return ok(checkOwner(job.value.row, submission));
    return ok({
      outcome: SubmitOutcome.OVER_LIMIT,
      retryAfterMs: OVER_LIMIT_RETRY_MS,
    });
  }

  /** Adds the job to the waiting tokens; gives undefined when it does not fit. */
  private async reserveTokens(
    submission: JobSubmission,
  ): Promise<Result<QuotaState | undefined, SavoryspurError>> {
    const {workspace, route, jobId} = submission;
    const page = await this.options.store.rows.read(
      toExactRange(formatQuotaName(workspace, route.name)),
    );
    if (page.isErr()) return err(page.error);
    const current = page.value.rows[0];
    const parsed = current
      ? parse<BatchQuotaRow>(current.value, validateBatchQuotaRow)
      : ok<BatchQuotaRow, SavoryspurError>({jobs: {}});
    if (parsed.isErr()) return err(parsed.error);
    const jobs = this.dropFinished(parsed.value.jobs);
    const tokens = sumTokens(submission.items);
    jobs[jobId] = tokens;
    const version = current?.version ?? 0;
    if (sumValues(jobs) <= route.maxWaitingTokens) {
      return ok({row: {jobs}, version});
    }
    const recounted = await this.countLeft(jobs, jobId);
    if (recounted.isErr()) return err(recounted.error);
    if (sumValues(recounted.value) > route.maxWaitingTokens) {
      return ok(undefined);
    }
    return ok({row: {jobs: recounted.value}, version});
  }

  private dropFinished(jobs: Record<string, number>): Record<string, number> {
    const left: Record<string, number> = {};
    for (const [jobId, tokens] of Object.entries(jobs)) {
      const known = this.options.directory.find(jobId);
      if (!known || isOpen(known.row)) left[jobId] = tokens;
    }
    return left;
  }

  /** Leaves out the items that have a result. */
  private async countLeft(
    jobs: Record<string, number>,
    newJobId: string,
  ): Promise<Result<Record<string, number>, SavoryspurError>> {
    const left: Record<string, number> = {};
    for (const [jobId, tokens] of Object.entries(jobs)) {
      const known = this.options.directory.find(jobId);
      if (!known || jobId === newJobId) {
        left[jobId] = tokens;
        continue;
      }
      const done = await this.options.store.readDone(known.row);
      if (done.isErr()) return err(done.error);
      left[jobId] = sumTokens(
        known.row.items.filter((item) => !done.value.has(item.itemId)),
      );
    }
    return ok(left);
  }

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
      runner: this.options.runner,
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

function createNotAccepted(): SubmitResult {
  return {outcome: SubmitOutcome.NOT_ACCEPTED, retryAfterMs: STORE_RETRY_MS};
}

/** A job id of another workspace is taken; its owner learns nothing of it. */
function checkOwner(row: BatchJobRow, submission: JobSubmission): SubmitResult {
  const isOwn = row.workspace === submission.workspace;
  return {
    outcome: isOwn ? SubmitOutcome.ACCEPTED : SubmitOutcome.NOT_ACCEPTED,
  };
}

/** Names the payload by its content, so that a repeat stores the same object. */
function formatPayloadName(jobId: string, payload: Buffer): string {
  const digest = createHash('sha1').update(payload).digest('hex');
  return `payload-${digest}-${jobId}`;
}

function sumTokens(items: ReadonlyArray<{tokens: number}>): number {
  return items.reduce((sum, item) => sum + item.tokens, 0);
}

function sumValues(values: Record<string, number>): number {
  return Object.values(values).reduce((sum, value) => sum + value, 0);
}
