/** Ending jobs by compare-and-set. */
import {BatchEvent, type SavoryspurError} from '@savoryspur/common';
import {
  type TransactionOutcome,
  transactWithReadBack,
} from '@savoryspur/storage';
import {
  type JobRow,
  type JobState,
  type OutcomeCounts,
  validateJobRow,
} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';
import type {ActiveJob} from './active_job.js';
import type {BatchContext} from './context.js';
import {formatJobKey} from './keys.js';
import {readRow} from './rows.js';

/**
 * Ends a running job and takes it off the list of active jobs.
 *
 * @param context - platform, clock and log
 * @param job - the job
 * @param state - state in which it ends
 * @param counts - counts; absent when they are summed on demand
 * @returns nothing once the job has ended, here or elsewhere
 */
export async function finishJob(
  context: BatchContext,
  job: ActiveJob,
  state: JobState,
  counts?: OutcomeCounts,
): Promise<Result<void, SavoryspurError>> {
  const key = formatJobKey(job.row.jobId);
  const row = await readRow(context.table, key, validateJobRow);
  if (row.isErr()) return err(row.error);
  if (row.value?.version !== job.version) return ok(undefined);
  const endedAt = context.clock.nowWall().getTime();
  const ended: JobRow = {...row.value.value, state, endedAt, counts};
  const outcome = await writeEnd(context, job, ended);
  if (outcome.isErr()) return err(outcome.error);
  context.log.record(BatchEvent.JOB_FINISHED, {
    job: job.row.jobId,
    state,
    isLate: endedAt > job.row.deadline,
  });
  return ok(undefined);
}

function writeEnd(
  context: BatchContext,
  job: ActiveJob,
  ended: JobRow,
): PromiseLike<Result<TransactionOutcome, SavoryspurError>> {
  const key = formatJobKey(ended.id);
  const {version} = job;
  return transactWithReadBack(
    {...context, options: context.readBack},
    {
      conditions: [
        {key, version},
        {key: job.key, version},
      ],
      writes: [{key, value: {...ended}}, {key: job.key}],
    },
  );
}
