/** Answers to keyed calls from what the table knows of earlier sendings. */
import type {BufferedAnswer} from '@savoryspur/backends';
import {ErrorCode, type SavoryspurError} from '@savoryspur/common';
import type {StoredAnswer} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';
import type {DispatchRecord} from '../http/dispatch_record.js';
import type {Refusal} from '../http/refusal.js';
import {IntentFinding, type IntentLookup} from './intent_store.js';

/** Time after which a caller may ask again for an outcome, milliseconds. */
const PENDING_RETRY_MS = 1000;

/** Encodes an answer for its row. */
export function encodeAnswer(answer: BufferedAnswer): StoredAnswer {
  return {
    statusCode: answer.statusCode,
    contentType: answer.contentType,
    body: answer.body.toString('base64'),
  };
}

/** Refuses a keyed call whose intent cannot be read or recorded. */
export function refuseWithoutTable(error: SavoryspurError): Refusal {
  return {
    code: ErrorCode.UNAVAILABLE,
    detail: 'intent_not_recorded',
    message: `The call was not sent, since its intent could not be recorded: ${error.message}`,
    retryAfterMs: PENDING_RETRY_MS,
  };
}

/** Refuses a call whose earlier sending has no known outcome. */
export function refusePending(record: DispatchRecord): Refusal {
  record.recordSending();
  return {
    code: ErrorCode.CONFLICT,
    detail: 'outcome_unknown',
    message:
      'A call with this idempotency key was sent before and its outcome is not known; it is not sent again.',
  };
}

/** Answers of each finding about an earlier call with the same key. */
const LOOKUP_ANSWERS: Record<
  IntentFinding,
  (
    lookup: IntentLookup,
    record: DispatchRecord,
  ) => Result<BufferedAnswer, Refusal> | undefined
> = {
  [IntentFinding.ABSENT]: () => undefined,
  [IntentFinding.PENDING]: (lookup, record) => err(refusePending(record)),
  [IntentFinding.DONE]: (lookup, record) => {
    if (!lookup.answer) return err(refusePending(record));
    record.recordAnswer();
    return ok({
      statusCode: lookup.answer.statusCode,
      contentType: lookup.answer.contentType,
      body: Buffer.from(lookup.answer.body, 'base64'),
    });
  },
  [IntentFinding.MISMATCH]: () =>
    err({
      code: ErrorCode.CONFLICT,
      field: 'idempotency-key',
      detail: 'idempotency_key_reused',
      message:
        'idempotency-key: found a key that was used for another call, expected a new key',
    }),
};

/**
 * Answers a call from a look-up.
 *
 * @returns the answer or refusal; undefined when nothing is recorded
 */
export function convertLookup(
  lookup: IntentLookup,
  record: DispatchRecord,
): Result<BufferedAnswer, Refusal> | undefined {
  return LOOKUP_ANSWERS[lookup.finding](lookup, record);
}
