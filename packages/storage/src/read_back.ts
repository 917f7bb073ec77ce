/** Transactions with a read-after-write check: when an answer is lost, reading the rows back tells the outcome. */
import {
  type Clock,
  ErrorCode,
  type EventLog,
  StorageEvent,
  SavoryspurError,
} from '@savoryspur/common';
import type {Row, Transaction} from '@savoryspur/schema';
import {isDeepStrictEqual} from 'node:util';
import {err, ok, type Result, ResultAsync} from 'neverthrow';
import type {TableService} from './table_service.js';

/** Limits on the attempts to complete a transaction. */
export interface ReadBackOptions {
  /** Maximum number of attempts at the transaction. */
  maxAttempts: number;
  /** Wait before the second attempt, milliseconds; the wait grows by this amount with each further attempt. */
  retryMs: number;
}

/** Default limits on the attempts. */
export const DEFAULT_READ_BACK: ReadBackOptions = {
  maxAttempts: 5,
  retryMs: 100,
};

/** Outcome of a transaction once it is known. */
export enum TransactionOutcome {
  COMMITTED = 'committed',
  /** A condition did not hold, so that nothing was written. */
  CONFLICT = 'conflict',
}

/** Dependencies of {@link transactWithReadBack}. */
export interface ReadBackContext {
  table: TableService;
  clock: Clock;
  log: EventLog;
  options?: ReadBackOptions;
}

/**
 * Repeats a transaction until its outcome is known. Each written value must be
 * unique to this writer (by a nonce or an epoch), and each written row must
 * have a version condition: then a repeated transaction can never take effect
 * twice, and reading the rows back tells whether an earlier attempt took
 * effect.
 *
 * @param context - table service, clock, log and limits on the attempts
 * @param transaction - writes, with a condition on every written row
 * @returns the outcome; an error when it is still unknown after the last
 *     attempt, with code AMBIGUOUS when any attempt may have taken effect
 */
export function transactWithReadBack(
  context: ReadBackContext,
  transaction: Transaction,
): ResultAsync<TransactionOutcome, SavoryspurError> {
  return new ResultAsync(runAttempts(context, transaction));
}

async function runAttempts(
  context: ReadBackContext,
  transaction: Transaction,
): Promise<Result<TransactionOutcome, SavoryspurError>> {
  const options = context.options ?? DEFAULT_READ_BACK;
  let isAmbiguous = false;
  let lastError: SavoryspurError | undefined;
  for (let attempt = 0; attempt < options.maxAttempts; attempt++) {
    if (attempt > 0) await context.clock.sleep(options.retryMs * attempt);
    const answer = await context.table.transact(transaction);
    if (answer.isOk()) {
      if (answer.value.committed) return ok(TransactionOutcome.COMMITTED);
      if (!isAmbiguous) return ok(TransactionOutcome.CONFLICT);
      const readBack = await readOutcome(context.table, transaction);
      if (readBack.isOk()) return readBack;
      lastError = readBack.error;
      continue;
    }
    lastError = answer.error;
    if (answer.error.code === ErrorCode.AMBIGUOUS) {
      isAmbiguous = true;
      context.log.record(StorageEvent.WRITE_AMBIGUOUS, {
        ...answer.error.origin,
        key: transaction.writes[0]?.key,
      });
    }
  }
  return err(createUnknownOutcomeError(lastError, isAmbiguous));
}

/** Creates the error of a transaction without a known outcome; once any attempt was ambiguous, its code is AMBIGUOUS. */
function createUnknownOutcomeError(
  lastError: SavoryspurError | undefined,
  isAmbiguous: boolean,
): SavoryspurError {
  const origin = lastError?.origin ?? {step: 'table.transact', peer: 'table'};
  const code = isAmbiguous
    ? ErrorCode.AMBIGUOUS
    : (lastError?.code ?? ErrorCode.UNAVAILABLE);
  return new SavoryspurError(code, origin, 'the outcome is unknown', {
    cause: lastError,
  });
}

async function readOutcome(
  table: TableService,
  transaction: Transaction,
): Promise<Result<TransactionOutcome, SavoryspurError>> {
  const keys = transaction.writes.map((write) => write.key);
  const rows = await table.read(keys);
  if (rows.isErr()) return err(rows.error);
  const isOurs = hasAllWrites(rows.value, transaction);
  return ok(
    isOurs ? TransactionOutcome.COMMITTED : TransactionOutcome.CONFLICT,
  );
}

function hasAllWrites(rows: Row[], transaction: Transaction): boolean {
  const byKey = new Map(rows.map((row) => [row.key, row.value]));
  for (const write of transaction.writes) {
    if (!isDeepStrictEqual(byKey.get(write.key), write.value)) return false;
  }
  return true;
}
