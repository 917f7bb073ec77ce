/** Repeated attempts to store an object. */
import {ErrorCode, type SavoryspurError} from '@savoryspur/common';
import {err, ok, type Result} from 'neverthrow';
import type {BatchContext} from './context.js';

/** Most attempts to store one object. */
const MAX_ATTEMPTS = 4;

/** Wait after the first failed attempt, milliseconds; doubles. */
const RETRY_MS = 100;

/** Failures after which the same put is worth repeating. */
const PASSING = new Set([
  ErrorCode.AMBIGUOUS,
  ErrorCode.UNAVAILABLE,
  ErrorCode.OVERLOADED,
  ErrorCode.TIMEOUT,
]);

/**
 * Stores an object under a unique name; a repeated put is harmless.
 *
 * @param context - object store and clock
 * @param name - name that was never used for other bytes
 * @param body - bytes
 */
export async function putObject(
  context: Pick<BatchContext, 'objects' | 'clock'>,
  name: string,
  body: Buffer,
): Promise<Result<void, SavoryspurError>> {
  for (let attempt = 1; ; attempt++) {
    const result = await context.objects.put(name, body);
    if (result.isOk()) return ok(undefined);
    const isPassing = PASSING.has(result.error.code);
    if (!isPassing || attempt === MAX_ATTEMPTS) return err(result.error);
    await context.clock.sleep(RETRY_MS * 2 ** (attempt - 1));
  }
}
