/**
 * In-memory table service and object store with fault injection and call
 * counts.
 */
import {ErrorCode, SavoryspurError} from '@savoryspur/common';
import type {
  ByteRange,
  ObjectStore,
  ScanRange,
  TableService,
} from '@savoryspur/storage';
import type {
  Row,
  RowCondition,
  Transaction,
  TransactionAnswer,
} from '@savoryspur/schema';
import {err, ok, type Result, ResultAsync} from 'neverthrow';

/** Fault of one call. */
export enum Fault {
  NONE = 'none',
  /** The request is lost, so the call has no effect. */
  REQUEST_LOST = 'down',
  /** The call takes effect, but its answer is lost. */
  ANSWER_LOST = 'lost_reply',
}

/** Chooses the fault of a call. */
export type FaultChooser = (step: string, key: string) => Fault;

/** Number of calls, rows and bytes. */
export interface CallCounts {
  reads: number;
  rowsRead: number;
  scans: number;
  transactions: number;
  rowWrites: number;
  puts: number;
  gets: number;
  /** Size of table requests and answers as JSON, bytes. */
  tableBytes: number;
}

type Answer<T> = Result<T, SavoryspurError>;

/** Table service and object store that all hosts of a test share. */
export class MemoryStorage {
  readonly rows = new Map<string, Row>();
  readonly objects = new Map<string, Buffer>();
  readonly counts: CallCounts = {
    reads: 0,
    rowsRead: 0,
    scans: 0,
    transactions: 0,
    rowWrites: 0,
    puts: 0,
    gets: 0,
    tableBytes: 0,
  };
  /**
   * Tells whether a condition is checked; control tests ignore some conditions.
   */
  isConditionChecked: (condition: RowCondition) => boolean = () => true;
  private version = 0;

  read(keys: readonly string[]): Row[] {
    this.counts.reads += 1;
    this.addBytes(keys);
    const found = keys.map((key) => this.rows.get(key));
    return this.collectRows(found.filter((row) => row !== undefined));
  }

  scan(range: ScanRange): Row[] {
    this.counts.scans += 1;
    const keys = [...this.rows.keys()].filter(
      (key) => key.startsWith(range.prefix) && key > (range.after ?? ''),
    );
    keys.sort();
    const rows = keys.slice(0, range.limit).map((key) => this.rows.get(key)!);
    return this.collectRows(rows);
  }

  transact(transaction: Transaction): TransactionAnswer {
    this.counts.transactions += 1;
    this.addBytes(transaction);
    for (const condition of transaction.conditions) {
      if (!this.isConditionChecked(condition)) continue;
      const version = this.rows.get(condition.key)?.version ?? 0;
      if (version === condition.version) continue;
      return {committed: false, version: 0, conflictKey: condition.key};
    }
    this.version += 1;
    this.counts.rowWrites += transaction.writes.length;
    for (const {key, value} of transaction.writes) {
      if (value === undefined) this.rows.delete(key);
      else {
        const copy = structuredClone(value);
        this.rows.set(key, {key, version: this.version, value: copy});
      }
    }
    return {committed: true, version: this.version};
  }

  private addBytes(value: unknown): void {
    this.counts.tableBytes += JSON.stringify(value).length;
  }

  private collectRows(rows: Row[]): Row[] {
    this.counts.rowsRead += rows.length;
    this.addBytes(rows);
    return structuredClone(rows);
  }
}

/** Connection of one host to storage. */
export interface StorageLink {
  /** Waits while the host is paused; never settles once the host has ended. */
  waitWhilePaused(): Promise<void>;
  chooseFault: FaultChooser;
}

/** Runs one call over a link, with the fault that the link chooses. */
async function runCall<T>(
  link: StorageLink,
  step: string,
  key: string,
  run: () => Answer<T>,
): Promise<Answer<T>> {
  await link.waitWhilePaused();
  await new Promise<void>((resolve) => setImmediate(resolve));
  const isWrite = ['table.transact', 'object.put'].includes(step);
  const fault = link.chooseFault(step, key);
  const code = isWrite ? ErrorCode.AMBIGUOUS : ErrorCode.UNAVAILABLE;
  const failure = new SavoryspurError(code, {step, peer: 'memory'}, fault);
  if (fault === Fault.REQUEST_LOST) {
    await link.waitWhilePaused();
    return err(failure);
  }
  const answer = run();
  await link.waitWhilePaused();
  return fault === Fault.ANSWER_LOST ? err(failure) : answer;
}

/** Table service behind the link of one host. */
export class LinkedTable implements TableService {
  constructor(
    private readonly storage: MemoryStorage,
    private readonly link: StorageLink,
  ) {}

  read(keys: readonly string[]): ResultAsync<Row[], SavoryspurError> {
    const run = () => ok(this.storage.read(keys));
    return new ResultAsync(
      runCall(this.link, 'table.read', keys[0] ?? '', run),
    );
  }

  scan(range: ScanRange): ResultAsync<Row[], SavoryspurError> {
    const run = () => ok(this.storage.scan(range));
    return new ResultAsync(runCall(this.link, 'table.scan', range.prefix, run));
  }

  transact(
    transaction: Transaction,
  ): ResultAsync<TransactionAnswer, SavoryspurError> {
    const run = () => ok(this.storage.transact(transaction));
    const key = transaction.writes[0]?.key ?? '';
    return new ResultAsync(runCall(this.link, 'table.transact', key, run));
  }
}

/** Object store behind the link of one host. */
export class LinkedObjects implements ObjectStore {
  constructor(
    private readonly storage: MemoryStorage,
    private readonly link: StorageLink,
  ) {}

  put(name: string, body: Buffer): ResultAsync<void, SavoryspurError> {
    const run = (): Answer<void> => {
      this.storage.counts.puts += 1;
      this.storage.objects.set(name, body);
      return ok(undefined);
    };
    return new ResultAsync(runCall(this.link, 'object.put', name, run));
  }

  get(name: string, range?: ByteRange): ResultAsync<Buffer, SavoryspurError> {
    const run = (): Answer<Buffer> => {
      this.storage.counts.gets += 1;
      const body = this.storage.objects.get(name);
      if (body) return ok(body.subarray(range?.start, range?.end));
      const origin = {step: 'object.get', peer: 'memory'};
      return err(new SavoryspurError(ErrorCode.NOT_FOUND, origin, name));
    };
    return new ResultAsync(runCall(this.link, 'object.get', name, run));
  }

  delete(name: string): ResultAsync<void, SavoryspurError> {
    const run = (): Answer<void> => {
      this.storage.objects.delete(name);
      return ok(undefined);
    };
    return new ResultAsync(runCall(this.link, 'object.delete', name, run));
  }

  list(prefix: string): ResultAsync<string[], SavoryspurError> {
    const run = () => {
      const names = [...this.storage.objects.keys()];
      return ok(names.filter((name) => name.startsWith(prefix)).sort());
    };
    return new ResultAsync(runCall(this.link, 'object.list', prefix, run));
  }
}
