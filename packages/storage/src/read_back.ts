/** Transactions whose lost answers are resolved by reading back. */
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

/** How hard to try to learn the outcome. */
export interface ReadBackOptions {
  /** Most attempts at the transaction. */
  maxAttempts: number;
  /** Wait between attempts, milliseconds. */
  retryMs: number;
}

/** Options when none are given. */
export const DEFAULT_READ_BACK: ReadBackOptions = {
  maxAttempts: 5,
  retryMs: 100,
};

/** Known outcome of a transaction. */
export enum TransactionOutcome {
  COMMITTED = 'committed',
  CONFLICT = 'conflict',
}

/** What {@link transactWithReadBack} needs. */
export interface ReadBackContext {
  table: TableService;
  clock: Clock;
  log: EventLog;
  options?: ReadBackOptions;
}

/**
 * Runs a transaction until its outcome is known. Each written value must be
 * unique to this writer (by a nonce or an epoch), and each written row must
 * have a version condition: then a second attempt can never take effect twice,
 * and the rows tell whether the first one did.
 *
 * @param context - table, clock, log and bounds
 * @param transaction - conditions on every written row, and writes
 * @returns the outcome, or the last error when it stays unknown
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
  return err(convertUnknown(lastError, isAmbiguous));
}

/** An outcome stays open once any attempt was ambiguous. */
function convertUnknown(
  lastError: SavoryspurError | undefined,
  isAmbiguous: boolean,
): SavoryspurError {
  const origin = lastError?.origin ?? {step: 'table.transact', peer: 'table'};
  const code = isAmbiguous
    ? ErrorCode.AMBIGUOUS
    : (lastError?.code ?? ErrorCode.UNAVAILABLE);
  return new SavoryspurError(code, origin, 'no known outcome', {
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
  const isOurs = matchWrites(rows.value, transaction);
  return ok(
    isOurs ? TransactionOutcome.COMMITTED : TransactionOutcome.CONFLICT,
  );
}

function matchWrites(rows: Row[], transaction: Transaction): boolean {
  const byKey = new Map(rows.map((row) => [row.key, row.value]));
  for (const write of transaction.writes) {
    if (!isDeepStrictEqual(byKey.get(write.key), write.value)) return false;
  }
  return true;
}
