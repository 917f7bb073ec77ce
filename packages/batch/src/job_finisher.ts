/** Ends jobs by a conditional transaction. */
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
import {formatJobRowKey} from './keys.js';
import {readRow} from './rows.js';

/**
 * Sets the final state of a running job and deletes its active row.
 *
 * @param context - storage, clock and log
 * @param job - the job
 * @param state - final state
 * @param counts - outcome counts to store; when absent, readers sum the chunk
 *     rows
 * @returns no value once the job has ended, by this call or by another host
 */
export async function finishJob(
  context: BatchContext,
  job: ActiveJob,
  state: JobState,
  counts?: OutcomeCounts,
): Promise<Result<void, SavoryspurError>> {
  const key = formatJobRowKey(job.row.jobId);
  const row = await readRow(context.table, key, validateJobRow);
  if (row.isErr()) return err(row.error);
  if (row.value?.version !== job.version) return ok(undefined);
  const endedAt = context.clock.nowWall().getTime();
  const ended: JobRow = {...row.value.value, state, endedAt, counts};
  const outcome = await writeEndedRow(context, job, ended);
  if (outcome.isErr()) return err(outcome.error);
  context.log.record(BatchEvent.JOB_FINISHED, {
    job: job.row.jobId,
    state,
    isLate: endedAt > job.row.deadline,
  });
  return ok(undefined);
}

function writeEndedRow(
  context: BatchContext,
  job: ActiveJob,
  ended: JobRow,
): PromiseLike<Result<TransactionOutcome, SavoryspurError>> {
  const key = formatJobRowKey(ended.id);
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
