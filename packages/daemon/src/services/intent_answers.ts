/** Answers calls with an idempotency key from the record of an earlier call. */
import type {BufferedAnswer} from '@savoryspur/backends';
import {ErrorCode, type SavoryspurError} from '@savoryspur/common';
import type {StoredAnswer} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';
import type {DispatchRecord} from '../http/dispatch_record.js';
import type {Refusal} from '../http/refusal.js';
import {IntentLookupStatus, type IntentLookup} from './intent_store.js';

/**
 * Retry delay reported to callers when the table service was unavailable,
 * milliseconds.
 */
const INTENT_RETRY_AFTER_MS = 1000;

/** Encodes an answer to be stored in a row. */
export function encodeAnswer(answer: BufferedAnswer): StoredAnswer {
  return {
    statusCode: answer.statusCode,
    contentType: answer.contentType,
    body: answer.body.toString('base64'),
  };
}

/** Refuses a call whose intent could not be read or recorded. */
export function refuseUnrecordedIntent(error: SavoryspurError): Refusal {
  return {
    code: ErrorCode.UNAVAILABLE,
    detail: 'intent_not_recorded',
    message: `The call was not sent, since its intent could not be recorded: ${error.message}`,
    retryAfterMs: INTENT_RETRY_AFTER_MS,
  };
}

/**
 * Refuses a call that was sent before and whose outcome is unknown. The run
 * state becomes `unknown`.
 */
export function refuseUnknownOutcome(record: DispatchRecord): Refusal {
  record.recordSending();
  return {
    code: ErrorCode.CONFLICT,
    detail: 'outcome_unknown',
    message:
      'A call with this idempotency key was sent before and its outcome is not known; it is not sent again.',
  };
}

/** Creates the answer to a call, by status of its intent. */
const LOOKUP_ANSWERS: Record<
  IntentLookupStatus,
  (
    lookup: IntentLookup,
    record: DispatchRecord,
  ) => Result<BufferedAnswer, Refusal> | undefined
> = {
  [IntentLookupStatus.ABSENT]: () => undefined,
  [IntentLookupStatus.PENDING]: (lookup, record) =>
    err(refuseUnknownOutcome(record)),
  [IntentLookupStatus.DONE]: (lookup, record) => {
    if (!lookup.answer) return err(refuseUnknownOutcome(record));
    record.recordAnswer();
    return ok({
      statusCode: lookup.answer.statusCode,
      contentType: lookup.answer.contentType,
      body: Buffer.from(lookup.answer.body, 'base64'),
    });
  },
  [IntentLookupStatus.MISMATCH]: () =>
    err({
      code: ErrorCode.CONFLICT,
      field: 'idempotency-key',
      detail: 'idempotency_key_reused',
      message:
        'idempotency-key: found a key that was used for another call, expected a new key',
    }),
};

/**
 * Answers a call from the recorded intent of an earlier call with the same key.
 *
 * @param lookup - the recorded intent
 * @param record - run state of the call; updated for an earlier call that was
 *     or may have been sent
 * @returns the stored answer or a refusal; undefined when no intent is recorded
 */
export function answerFromLookup(
  lookup: IntentLookup,
  record: DispatchRecord,
): Result<BufferedAnswer, Refusal> | undefined {
  return LOOKUP_ANSWERS[lookup.status](lookup, record);
}
