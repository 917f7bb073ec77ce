/**
 * Batch jobs in the store. A job, its results and the waiting tokens of its
 * workspace share one partition, so each change of them is one transaction. A
 * result takes its position on the condition that neither the position nor the
 * item has a result yet; however many daemons run an item, one result is listed.
 */
import {
  type Clock,
  parseDocument,
  type SavoryspurError,
} from '@savoryspur/common';
import {
  type BatchDoneRow,
  type BatchJobRow,
  type BatchPartialRow,
  type BatchPayload,
  type BatchResultRow,
  BatchResultState,
  BatchState,
  type FieldError,
  validateBatchDoneRow,
  validateBatchJobRow,
  validateBatchPartialRow,
  validateBatchPayload,
  validateBatchResultRow,
} from '@savoryspur/schema';
import {createHash} from 'node:crypto';
import {err, ok, type Result, ResultAsync} from 'neverthrow';
import type {
  BlobStore,
  RowName,
  RowStore,
  RowTransaction,
  RowWrite,
  TableRow,
} from '../store/row_store.js';

/** Table of the jobs. */
export const JOB_TABLE = 'jobs';

const RESULT_TABLE = 'job_results';
const DONE_TABLE = 'job_done';
const PARTIAL_TABLE = 'job_partials';
const QUOTA_TABLE = 'job_quota';

/** Partitions that workspaces are spread over: at 200 transactions a second each, more than the store's writes. */
const PARTITIONS = 16;

/** Digits of a position in a key. */
const POSITION_DIGITS = 6;

/** Largest output that stands in a row, bytes: with base64 and JSON it stays within 64 KiB. */
const MAX_ROW_OUTPUT_BYTES = 40_000;

/** Bound on one call to the store, milliseconds. */
const CALL_MS = 1000;

/** Where a stored value that is not valid is found. */
const PARSE_ORIGIN = {step: 'jobs.parse', peer: 'store'};

/** Most writes of one transaction. */
const MAX_WRITES = 90;

/** Most bytes of one transaction, before base64. */
const MAX_TRANSACTION_BYTES = 600_000;

/** Positions of the items that have a result. */
export type DoneItems = Map<string, number>;

/** A job with the version of its row. */
export interface StoredJob {
  row: BatchJobRow;
  version: number;
}

/** What came of an attempt to list a result. */
export enum AppendOutcome {
  LISTED = 'listed',
  /** The item has a result already. */
  ITEM_DONE = 'item_done',
  /** The position is taken by another item. */
  POSITION_TAKEN = 'position_taken',
}

/** Work on an item that a stopping daemon hands over. */
export interface PartialItem extends BatchPartialRow {
  itemId: string;
}

/** Reads and writes batch jobs. */
export class JobStore {
  /**
   * @param rows - transactional rows
   * @param blobs - objects
   * @param clock - source of time for reads without an answer of the store
   */
  constructor(
    readonly rows: RowStore,
    readonly blobs: BlobStore,
    readonly clock: Clock,
  ) {}

  /**
   * Converts a time of the store's clock to the local monotonic clock.
   *
   * @returns milliseconds; undefined before the first answer of the store
   */
  toLocalMs(storeMs: number): number | undefined {
    const nowMs = this.rows.now();
    if (nowMs === undefined) return undefined;
    return this.clock.now() + storeMs - nowMs;
  }

  /** Reads a job; undefined when there is none. */
  readJob(
    workspace: string,
    jobId: string,
  ): ResultAsync<StoredJob | undefined, SavoryspurError> {
    const name = formatJobName(workspace, jobId);
    return this.rows.read(toExactRange(name)).andThen((page) => {
      const row = page.rows[0];
      if (!row) return ok(undefined);
      return parseJob(row.value, row.version);
    });
  }

  /** Writes a changed job on the condition that its row is the one that was read. */
  replaceJob(
    job: StoredJob,
    row: BatchJobRow,
  ): ResultAsync<boolean, SavoryspurError> {
    const name = formatJobName(row.workspace, row.jobId);
    return this.rows
      .transact(
        {
          conditions: [{...name, version: job.version}],
          writes: [{...name, value: encode(row)}],
        },
        CALL_MS,
      )
      .map((outcome) => outcome.isCommitted);
  }

  /** Reads which items of a job have a result. */
  readDone(job: BatchJobRow): ResultAsync<DoneItems, SavoryspurError> {
    return this.readAll(DONE_TABLE, job).andThen((rows) => {
      const done: DoneItems = new Map();
      for (const row of rows) {
        const parsed = parse<BatchDoneRow>(row.value, validateBatchDoneRow);
        if (parsed.isErr()) return err(parsed.error);
        done.set(getLastKeyPart(row.key), parsed.value.position);
      }
      return ok(done);
    });
  }

  /** Reads what a former runner handed over. */
  readPartials(job: BatchJobRow): ResultAsync<PartialItem[], SavoryspurError> {
    return this.readAll(PARTIAL_TABLE, job).andThen((rows) => {
      const partials: PartialItem[] = [];
      for (const row of rows) {
        const parsed = parse<BatchPartialRow>(
          row.value,
          validateBatchPartialRow,
        );
        if (parsed.isErr()) return err(parsed.error);
        partials.push({...parsed.value, itemId: getLastKeyPart(row.key)});
      }
      return ok(partials);
    });
  }

  /**
   * Gives a job up for another daemon, with what was done of its items.
   *
   * @param job - the job with the version that was read
   * @param partials - unfinished items
   * @returns whether the job was still as it was read
   */
  release(
    job: StoredJob,
    partials: readonly PartialItem[],
  ): ResultAsync<boolean, SavoryspurError> {
    const name = formatJobName(job.row.workspace, job.row.jobId);
    const writes: RowWrite[] = [
      {...name, value: encode({...job.row, runner: ''})},
    ];
    let size = 0;
    for (const {itemId, ...partial} of partials) {
      const value = encode(partial);
      size += value.length;
      if (value.length > MAX_ROW_OUTPUT_BYTES) continue;
      if (writes.length >= MAX_WRITES || size > MAX_TRANSACTION_BYTES) break;
      writes.push({...formatRowName(PARTIAL_TABLE, job.row, itemId), value});
    }
    return this.rows
      .transact(
        {conditions: [{...name, version: job.version}], writes},
        CALL_MS,
      )
      .map((outcome) => outcome.isCommitted);
  }

  /**
   * Lists a result at a position.
   *
   * @param job - the job
   * @param position - counted from 0
   * @param result - the result
   */
  appendResult(
    job: BatchJobRow,
    position: number,
    result: BatchResultRow,
  ): ResultAsync<AppendOutcome, SavoryspurError> {
    return this.storeLargeOutput(job, result).andThen((stored) => {
      const done = formatRowName(DONE_TABLE, job, result.itemId);
      const place = formatRowName(RESULT_TABLE, job, formatPosition(position));
      const transaction: RowTransaction = {
        conditions: [
          {...place, version: 0},
          {...done, version: 0},
        ],
        writes: [
          {...place, value: encode(stored)},
          {...done, value: encode({position})},
        ],
      };
      return this.rows.transact(transaction, CALL_MS).map((outcome) => {
        if (outcome.isCommitted) return AppendOutcome.LISTED;
        const isDone = outcome.conflicts.some(
          (row) => row.table === DONE_TABLE && row.version > 0,
        );
        return isDone ? AppendOutcome.ITEM_DONE : AppendOutcome.POSITION_TAKEN;
      });
    });
  }

  /**
   * Reads results in order.
   *
   * @param job - the job
   * @param from - first position
   */
  readResults(
    job: BatchJobRow,
    from: number,
  ): ResultAsync<BatchResultRow[], SavoryspurError> {
    const part = computePart(job.workspace);
    const start = `${job.jobId}/${formatPosition(from)}`;
    const end = computeEnd(job.jobId);
    return this.rows
      .read({table: RESULT_TABLE, part, start, end})
      .andThen((page) => {
        const results: BatchResultRow[] = [];
        for (const row of page.rows) {
          const parsed = parse<BatchResultRow>(
            row.value,
            validateBatchResultRow,
          );
          if (parsed.isErr()) return err(parsed.error);
          results.push(parsed.value);
        }
        return ok(results);
      })
      .andThen((results) =>
        ResultAsync.combine(results.map((result) => this.loadOutput(result))),
      );
  }

  /** Reads what the items of a job send. */
  readPayload(job: BatchJobRow): ResultAsync<BatchPayload, SavoryspurError> {
    return this.blobs
      .get(job.payload, CALL_MS)
      .andThen((bytes) => parse<BatchPayload>(bytes, validateBatchPayload));
  }

  private readAll(
    table: string,
    job: BatchJobRow,
  ): ResultAsync<TableRow[], SavoryspurError> {
    const part = computePart(job.workspace);
    const start = `${job.jobId}/`;
    const end = computeEnd(job.jobId);
    return this.rows.read({table, part, start, end}).map((page) => page.rows);
  }

  private storeLargeOutput(
    job: BatchJobRow,
    result: BatchResultRow,
  ): ResultAsync<BatchResultRow, SavoryspurError> {
    const bytes = Buffer.from(result.output);
    if (bytes.length <= MAX_ROW_OUTPUT_BYTES) {
      return ResultAsync.fromSafePromise(Promise.resolve(result));
    }
    const digest = createHash('sha1').update(bytes).digest('hex');
    const outputObject = `output-${digest}-${job.jobId}`;
    return this.blobs
      .put(outputObject, bytes, CALL_MS)
      .map(() => ({...result, output: '', outputObject}));
  }

  private loadOutput(
    result: BatchResultRow,
  ): ResultAsync<BatchResultRow, SavoryspurError> {
    if (result.outputObject === undefined) {
      return ResultAsync.fromSafePromise(Promise.resolve(result));
    }
    return this.blobs.get(result.outputObject, CALL_MS).map((bytes) => ({
      itemId: result.itemId,
      state: result.state,
      output: bytes.toString('utf8'),
    }));
  }
}

/** Names the row of a job. */
export function formatJobName(workspace: string, jobId: string): RowName {
  return {table: JOB_TABLE, part: computePart(workspace), key: jobId};
}

/** Names the row of the waiting tokens of a workspace on a route. */
export function formatQuotaName(workspace: string, route: string): RowName {
  const key = `${workspace}/${route}`;
  return {table: QUOTA_TABLE, part: computePart(workspace), key};
}

/** Range that holds one row. */
export function toExactRange(name: RowName) {
  const {table, part, key} = name;
  return {table, part, start: key, end: `${key}\u0000`, limit: 1};
}

/** Parses the row of a job. */
export function parseJob(
  value: Buffer | undefined,
  version: number,
): Result<StoredJob, SavoryspurError> {
  return parse<BatchJobRow>(value, validateBatchJobRow).map((row) => ({
    row,
    version,
  }));
}

/** Writes a value as JSON. */
export function encode(value: unknown): Buffer {
  return Buffer.from(JSON.stringify(value));
}

/** Parses a stored value and checks it. */
export function parse<T>(
  bytes: Buffer | undefined,
  validate: (value: unknown) => Result<T, FieldError>,
): Result<T, SavoryspurError> {
  return parseDocument(bytes, validate, PARSE_ORIGIN);
}

/** Whether a job may still start items. */
export function isOpen(job: BatchJobRow): boolean {
  return job.state === BatchState.OPEN;
}

/** Makes the result of an item that ends without an output. */
export function createDeadLetter(itemId: string): BatchResultRow {
  return {itemId, state: BatchResultState.DEAD_LETTERED, output: ''};
}

function formatRowName(table: string, job: BatchJobRow, last: string): RowName {
  const part = computePart(job.workspace);
  return {table, part, key: `${job.jobId}/${last}`};
}

function computePart(workspace: string): string {
  const digest = createHash('sha1').update(workspace).digest();
  return `p${digest.readUInt32BE(0) % PARTITIONS}`;
}

function formatPosition(position: number): string {
  return String(position).padStart(POSITION_DIGITS, '0');
}

function getLastKeyPart(key: string): string {
  return key.slice(key.lastIndexOf('/') + 1);
}

/** First key after all keys of a job: `0` follows `/` in byte order. */
function computeEnd(jobId: string): string {
  return `${jobId}0`;
}
