/** Table service and object store in memory, with fault injection. */
import {ErrorCode, SavoryspurError} from '@savoryspur/common';
import type {ObjectStore, ScanRange, TableService} from '@savoryspur/storage';
import type {Row, Transaction, TransactionAnswer} from '@savoryspur/schema';
import {errAsync, okAsync, type ResultAsync} from 'neverthrow';

/** Fault that is injected into a transaction. */
export enum TableFault {
  NONE = 'none',
  /** The transaction takes effect, but its answer is lost. */
  ANSWER_LOST = 'reply_lost',
  /** The transaction takes no effect, which the caller cannot know. */
  REQUEST_LOST = 'request_lost',
}

/** Transactional rows in memory. */
export class MemoryTable implements TableService {
  isDown = false;
  /** Faults of the next transactions, in order. */
  faults: TableFault[] = [];
  /** Called after a transaction took effect and before its answer. */
  afterCommit: (() => void) | undefined;
  /** Length of all written values as JSON text, characters. */
  bytesWritten = 0;
  transactions = 0;
  reads = 0;
  private readonly rows = new Map<string, Row>();
  private version = 0;

  read(keys: readonly string[]): ResultAsync<Row[], SavoryspurError> {
    this.reads += 1;
    if (this.isDown) return errAsync(createError(ErrorCode.UNAVAILABLE));
    const rows = keys.flatMap((key) => this.rows.get(key) ?? []);
    return okAsync(structuredClone(rows));
  }

  scan(range: ScanRange): ResultAsync<Row[], SavoryspurError> {
    this.reads += 1;
    if (this.isDown) return errAsync(createError(ErrorCode.UNAVAILABLE));
    const keys = [...this.rows.keys()]
      .filter((key) => key.startsWith(range.prefix))
      .filter((key) => key > (range.after ?? ''))
      .sort()
      .slice(0, range.limit);
    return this.read(keys);
  }

  transact(
    transaction: Transaction,
  ): ResultAsync<TransactionAnswer, SavoryspurError> {
    if (this.isDown) return errAsync(createError(ErrorCode.AMBIGUOUS));
    const fault = this.faults.shift() ?? TableFault.NONE;
    if (fault === TableFault.REQUEST_LOST) {
      return errAsync(createError(ErrorCode.AMBIGUOUS));
    }
    const answer = this.commit(transaction);
    this.afterCommit?.();
    if (fault === TableFault.ANSWER_LOST) {
      return errAsync(createError(ErrorCode.AMBIGUOUS));
    }
    return okAsync(answer);
  }

  /** Reads the value of one row. */
  getValue(key: string): unknown {
    return this.rows.get(key)?.value;
  }

  private commit(transaction: Transaction): TransactionAnswer {
    this.transactions += 1;
    for (const {key, version} of transaction.conditions) {
      if ((this.rows.get(key)?.version ?? 0) === version) continue;
      return {committed: false, version: 0, conflictKey: key};
    }
    this.version += 1;
    for (const {key, value} of transaction.writes) {
      if (value === undefined) {
        this.rows.delete(key);
        continue;
      }
      const text = JSON.stringify(value);
      this.bytesWritten += text.length;
      this.rows.set(key, {key, version: this.version, value: JSON.parse(text)});
    }
    return {committed: true, version: this.version};
  }
}

/** Objects in memory. */
export class MemoryObjects implements ObjectStore {
  isDown = false;
  bytesWritten = 0;
  readonly objects = new Map<string, Buffer>();

  put(name: string, body: Buffer): ResultAsync<void, SavoryspurError> {
    if (this.isDown) return errAsync(createError(ErrorCode.AMBIGUOUS));
    this.objects.set(name, body);
    this.bytesWritten += body.length;
    return okAsync(undefined);
  }

  get(name: string): ResultAsync<Buffer, SavoryspurError> {
    if (this.isDown) return errAsync(createError(ErrorCode.UNAVAILABLE));
    const body = this.objects.get(name);
    return body ? okAsync(body) : errAsync(createError(ErrorCode.NOT_FOUND));
  }

  delete(name: string): ResultAsync<void, SavoryspurError> {
    this.objects.delete(name);
    return okAsync(undefined);
  }

  list(prefix: string): ResultAsync<string[], SavoryspurError> {
    const names = [...this.objects.keys()].filter((n) => n.startsWith(prefix));
    return okAsync(names.sort());
  }
}

function createError(code: ErrorCode): SavoryspurError {
  return new SavoryspurError(code, {step: 'table', peer: 'memory'}, code);
}
