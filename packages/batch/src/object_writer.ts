/** Stores objects with retries. */
import {ErrorCode, type SavoryspurError} from '@savoryspur/common';
import {err, ok, type Result} from 'neverthrow';
import type {BatchContext} from './context.js';

/** Maximum number of attempts to store one object. */
const MAX_PUT_ATTEMPTS = 4;

/**
 * Delay after the first failed attempt, milliseconds; doubles with each
 * attempt.
 */
const INITIAL_RETRY_DELAY_MS = 100;

/** Error codes after which the put is repeated. */
const RETRYABLE_CODES = new Set([
  ErrorCode.AMBIGUOUS,
  ErrorCode.UNAVAILABLE,
  ErrorCode.OVERLOADED,
  ErrorCode.TIMEOUT,
]);

/**
 * Stores an object. The put can be repeated safely, since no other bytes are
 * ever stored under the name.
 *
 * @param context - object store and clock
 * @param name - unique name of the object
 * @param body - content of the object
 */
export async function putObject(
  context: Pick<BatchContext, 'objects' | 'clock'>,
  name: string,
  body: Buffer,
): Promise<Result<void, SavoryspurError>> {
  for (let attempt = 1; ; attempt++) {
    const result = await context.objects.put(name, body);
    if (result.isOk()) return ok(undefined);
    const isRetryable = RETRYABLE_CODES.has(result.error.code);
    if (!isRetryable || attempt === MAX_PUT_ATTEMPTS) return err(result.error);
    await context.clock.sleep(INITIAL_RETRY_DELAY_MS * 2 ** (attempt - 1));
  }
}
