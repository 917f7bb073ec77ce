/**
 * Stores intents: rows of the table service that make a call with an
 * idempotency key run at most once. The intent is written before the call is
 * sent, and its outcome afterwards.
 */
import {
  type Clock,
  ErrorCode,
  type EventLog,
  SavoryspurError,
} from '@savoryspur/common';
import {
  type TableService,
  transactWithReadBack,
  TransactionOutcome,
} from '@savoryspur/storage';
import {
  formatFieldError,
  type Intent,
  IntentState,
  type StoredAnswer,
  validateIntent,
} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';
import {createHash} from 'node:crypto';

/** Identity of a call with an idempotency key. */
export interface IntentKey {
  workspace: string;
  /** Idempotency key that the caller sent. */
  idempotencyKey: string;
  /** Hash of method, path and body, which distinguishes calls with the same key. */
  signature: string;
}

/** State of the intent of a call in the table service. */
export enum IntentLookupStatus {
  /** No intent is recorded. */
  ABSENT = 'absent',
  /** The call was sent or is about to be sent; its outcome is unknown. */
  PENDING = 'pending',
  /** The answer of the call is stored. */
  DONE = 'done',
  /** The idempotency key was used for a different call. */
  MISMATCH = 'mismatch',
}

/** Status of an intent and, when the call is done, its stored answer. */
export interface IntentLookup {
  status: IntentLookupStatus;
  answer?: StoredAnswer;
}

/** An intent that this daemon recorded; only this daemon may send the call. */
export interface RecordedIntent {
  rowKey: string;
  version: number;
  intent: Intent;
}

const ERROR_STEP = 'intent';

/** Stores intents and the outcomes of their calls in the table service. */
export class IntentStore {
  private nextNonce = 0;

  /**
   * @param table - table service
   * @param clock - source of time
   * @param log - event log
   * @param incarnation - id of this daemon process, unique over restarts
   */
  constructor(
    private readonly table: TableService,
    private readonly clock: Clock,
    private readonly log: EventLog,
    private readonly incarnation: string,
  ) {}

  /** Looks up the intent of a call. */
  async find(key: IntentKey): Promise<Result<IntentLookup, SavoryspurError>> {
    const rowKey = computeRowKey(key);
    const rows = await this.table.read([rowKey]);
    if (rows.isErr()) return err(rows.error);
    const row = rows.value[0];
    if (!row) return ok({status: IntentLookupStatus.ABSENT});
    const intent = validateIntent(row.value);
    if (intent.isErr()) {
      const origin = {step: ERROR_STEP, peer: 'table'};
      const message = formatFieldError(intent.error);
      return err(new SavoryspurError(ErrorCode.BROKEN_ANSWER, origin, message));
    }
    return ok(describeIntent(key, intent.value));
  }

  /**
   * Records the intent to send a call, unless an intent with the same key
   * exists.
   *
   * @returns the recorded intent, or undefined when another intent with the
   *     same key exists; after an error the call must not be sent
   */
  async record(
    key: IntentKey,
  ): Promise<Result<RecordedIntent | undefined, SavoryspurError>> {
    const rowKey = computeRowKey(key);
    const intent: Intent = {
      state: IntentState.PENDING,
      signature: key.signature,
      nonce: this.createNonce(),
      recordedAt: this.clock.nowWall().toISOString(),
    };
    const outcome = await this.write(rowKey, 0, intent);
    if (outcome.isErr()) return err(outcome.error);
    if (outcome.value === TransactionOutcome.CONFLICT) return ok(undefined);
    const rows = await this.table.read([rowKey]);
    if (rows.isErr()) return err(rows.error);
    const row = rows.value[0];
    if (!row || (row.value as Intent).nonce !== intent.nonce) {
      return ok(undefined);
    }
    return ok({rowKey, version: row.version, intent});
  }

  /** Stores the answer of a call that was sent. */
  async finish(
    recorded: RecordedIntent,
    answer: StoredAnswer,
  ): Promise<Result<void, SavoryspurError>> {
    const done = {...recorded.intent, state: IntentState.DONE, answer};
    const outcome = await this.write(recorded.rowKey, recorded.version, done);
    return outcome.map(() => undefined);
  }

  /** Deletes the intent of a call that was certainly never sent. */
  async remove(recorded: RecordedIntent): Promise<void> {
    await this.table.transact({
      conditions: [{key: recorded.rowKey, version: recorded.version}],
      writes: [{key: recorded.rowKey}],
    });
  }

  private write(rowKey: string, version: number, value: Intent) {
    const context = {table: this.table, clock: this.clock, log: this.log};
    return transactWithReadBack(context, {
      conditions: [{key: rowKey, version}],
      writes: [{key: rowKey, value}],
    });
  }

  private createNonce(): string {
    this.nextNonce += 1;
    return `${this.incarnation}-${this.nextNonce}`;
  }
}

function computeRowKey(key: IntentKey): string {
  const hash = createHash('sha256').update(key.idempotencyKey).digest('hex');
  return `intent/${key.workspace}/${hash}`;
}

function describeIntent(key: IntentKey, intent: Intent): IntentLookup {
  if (intent.signature !== key.signature) {
    return {status: IntentLookupStatus.MISMATCH};
  }
  if (intent.state === IntentState.DONE) {
    return {status: IntentLookupStatus.DONE, answer: intent.answer};
  }
  return {status: IntentLookupStatus.PENDING};
}
