/**
 * Records of calls that may run at most once. The intent is written before the
 * call is sent, the outcome after it; both go through the table service.
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

/** Identity of one keyed call. */
export interface IntentKey {
  workspace: string;
  /** The caller's idempotency key. */
  idempotencyKey: string;
  /** Hash of method, path and body. */
  signature: string;
}

/** What the table knows of a keyed call. */
export enum IntentFinding {
  /** Nothing is recorded. */
  ABSENT = 'absent',
  /** It was sent, or is about to be; its outcome is not known. */
  PENDING = 'pending',
  /** Its outcome is stored. */
  DONE = 'done',
  /** The key was used for another call. */
  MISMATCH = 'mismatch',
}

/** Finding and, when the call is done, its answer. */
export interface IntentLookup {
  finding: IntentFinding;
  answer?: StoredAnswer;
}

/** An intent that this daemon has recorded and alone may act on. */
export interface RecordedIntent {
  rowKey: string;
  version: number;
  intent: Intent;
}

const STEP = 'intent';

/** Keeps intents and outcomes in the table service. */
export class IntentStore {
  private nextNonce = 0;

  /**
   * @param table - table service
   * @param clock - source of time
   * @param log - event log
   * @param incarnation - identity of this run of the daemon
   */
  constructor(
    private readonly table: TableService,
    private readonly clock: Clock,
    private readonly log: EventLog,
    private readonly incarnation: string,
  ) {}

  /** Finds what is known of a call. */
  async find(key: IntentKey): Promise<Result<IntentLookup, SavoryspurError>> {
    const rowKey = computeRowKey(key);
    const rows = await this.table.read([rowKey]);
    if (rows.isErr()) return err(rows.error);
    const row = rows.value[0];
    if (!row) return ok({finding: IntentFinding.ABSENT});
    const intent = validateIntent(row.value);
    if (intent.isErr()) {
      const origin = {step: STEP, peer: 'table'};
      const message = formatFieldError(intent.error);
      return err(new SavoryspurError(ErrorCode.BROKEN_ANSWER, origin, message));
    }
    return ok(describeIntent(key, intent.value));
  }

  /**
   * Records the intent to make a call, unless one is recorded already.
   *
   * @returns the recorded intent, or undefined when another one was first; an
   *     error means that the call must not be sent
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

  /** Stores the outcome of a call. */
  async finish(
    recorded: RecordedIntent,
    answer: StoredAnswer,
  ): Promise<Result<void, SavoryspurError>> {
    const done = {...recorded.intent, state: IntentState.DONE, answer};
    const outcome = await this.write(recorded.rowKey, recorded.version, done);
    return outcome.map(() => undefined);
  }

  /** Withdraws the intent of a call that was provably never sent. */
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
    return {finding: IntentFinding.MISMATCH};
  }
  if (intent.state === IntentState.DONE) {
    return {finding: IntentFinding.DONE, answer: intent.answer};
  }
  return {finding: IntentFinding.PENDING};
}
