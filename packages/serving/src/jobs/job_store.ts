/**
 * Reads and writes batch jobs in the store. A job, its results and the queued-token
 * quota of its workspace are in one partition, so each change of them is one
 * transaction. A result is appended on the condition that neither its position nor
 * its item has a result yet, so an item has exactly one result even if several
 * daemons run it.
 */
import {
  type Clock,
  ErrorCode,
  parseDocument,
  SavoryspurError,
} from '@savoryspur/common';
import {
  type BatchItemDoneRow,
  type BatchJobRow,
  type BatchCheckpointRow,
  type BatchPayload,
  type BatchResultRow,
  BatchResultState,
  BatchState,
  type FieldError,
  validateBatchItemDoneRow,
  validateBatchJobRow,
  validateBatchCheckpointRow,
  validateBatchPayload,
  validateBatchResultRow,
} from '@savoryspur/schema';
import {createHash} from 'node:crypto';
import {err, errAsync, ok, okAsync, type Result, ResultAsync} from 'neverthrow';
import type {
  BlobStore,
  RowName,
  RowStore,
  RowTransaction,
  RowWrite,
  StoreLimits,
  TableRow,
} from '../store/row_store.js';

/** Name of the table of jobs. */
export const JOB_TABLE = 'jobs';

const RESULT_TABLE = 'job_results';
const DONE_TABLE = 'job_done';
/** Table of the checkpoints. */
const CHECKPOINT_TABLE = 'job_partials';
const QUOTA_TABLE = 'job_quota';

/** Number of partitions that workspaces are distributed over: at 200 transactions per second each, the partitions together allow more writes than the store does in total. */
const PARTITION_COUNT = 16;

/** Number of digits of a position in a key, so that keys sort by position. */
const POSITION_DIGITS = 6;

/** Bytes that base64 encodes as {@link BASE64_GROUP_CHARACTERS}. */
const BASE64_GROUP_BYTES = 3;

const BASE64_GROUP_CHARACTERS = 4;

/** Timeout of one call to the store, milliseconds. */
const STORE_CALL_TIMEOUT_MS = 1000;

/** Origin named in the errors of stored values that are not valid. */
const PARSE_ORIGIN = {step: 'jobs.parse', peer: 'store'};

/** Origin named in the errors of values that the store can't take. */
const WRITE_ORIGIN = {step: 'jobs.write', peer: 'store'};

/** Maximum number of writes in one transaction. */
const MAX_TRANSACTION_WRITES = 90;

/** Maximum size of the values of one transaction before base64, bytes. */
const MAX_TRANSACTION_BYTES = 600_000;

/** Positions of the items that have a result, by item id. */
export type DoneItems = Map<string, number>;

/** What identifies a job: ids are unique within a workspace only. */
export type JobIdentity = Pick<BatchJobRow, 'workspace' | 'jobId'>;

/** A job with the version of its row. */
export interface StoredJob {
  row: BatchJobRow;
  /** Version of the row, for conditional writes. */
  version: number;
}

/** Outcome of an attempt to append a result. */
export enum AppendOutcome {
  APPENDED = 'listed',
  /** The item has a result already. */
  ITEM_DONE = 'item_done',
  /** Another item has its result at the position. */
  POSITION_TAKEN = 'position_taken',
}

/** Request of one item. */
export interface PayloadItem {
  itemId: string;
  path: string;
  /** Values by header name. */
  headers: Record<string, string>;
  body: Buffer;
}

/** Progress of an unfinished item that a draining daemon saves for the daemon that takes over its job. */
export interface ItemCheckpoint extends BatchCheckpointRow {
  itemId: string;
}

/** Reads and writes batch jobs. */
export class JobStore {
  /** Maximum size of the value of a row before base64, bytes. */
  readonly maxValueBytes: number;

  /**
   * @param rows - store of transactional rows
   * @param blobs - store of objects
   * @param clock - local monotonic clock
   * @param limits - limits of the store
   */
  constructor(
    readonly rows: RowStore,
    readonly blobs: BlobStore,
    readonly clock: Clock,
    readonly limits: StoreLimits,
  ) {
    const groups = Math.floor(limits.rowBytes / BASE64_GROUP_CHARACTERS);
    this.maxValueBytes = groups * BASE64_GROUP_BYTES;
  }

  /**
   * Converts a time of the store's clock to the local monotonic clock.
   *
   * @param storeMs - time of the store's clock, milliseconds
   * @returns milliseconds; undefined before the first answer of the store
   */
  toLocalMs(storeMs: number): number | undefined {
    const nowMs = this.rows.now();
    if (nowMs === undefined) return undefined;
    return this.clock.now() + storeMs - nowMs;
  }

  /** Reads a job; gives undefined when the workspace has no job of this id. */
  readJob(
    workspace: string,
    jobId: string,
  ): ResultAsync<StoredJob | undefined, SavoryspurError> {
    const name = formatJobName(workspace, jobId);
    return this.rows.read(toExactRange(name)).andThen((page) => {
      const row = page.rows[0];
      if (!row) return ok(undefined);
      // Workspaces whose rows are in one partition share the keys of their jobs.
      return parseJob(row.value, row.version).map((job) =>
        job.row.workspace === workspace ? job : undefined,
      );
    });
  }

  /**
   * Replaces the row of a job if it has not changed since it was read.
   *
   * @param job - the job with the version that was read
   * @param row - new row
   * @returns whether the row was replaced
   */
  replaceJob(
    job: StoredJob,
    row: BatchJobRow,
  ): ResultAsync<boolean, SavoryspurError> {
    const name = formatJobName(row.workspace, row.jobId);
    return this.rows
      .transact(
        {
          conditions: [{...name, version: job.version}],
          writes: [{...name, value: encodeJson(row)}],
        },
        STORE_CALL_TIMEOUT_MS,
      )
      .map((outcome) => outcome.isCommitted);
  }

  /** Reads which items of a job have a result, and at which positions. */
  readDone(job: BatchJobRow): ResultAsync<DoneItems, SavoryspurError> {
    return this.readAll(DONE_TABLE, job).andThen((rows) => {
      const done: DoneItems = new Map();
      for (const row of rows) {
        const parsed = parseStored<BatchItemDoneRow>(
          row.value,
          validateBatchItemDoneRow,
        );
        if (parsed.isErr()) return err(parsed.error);
        done.set(getLastKeyPart(row.key), parsed.value.position);
      }
      return ok(done);
    });
  }

  /** Reads the checkpoints that a former daemon saved when it released the job. */
  readCheckpoints(
    job: BatchJobRow,
  ): ResultAsync<ItemCheckpoint[], SavoryspurError> {
    return this.readAll(CHECKPOINT_TABLE, job).andThen((rows) => {
      const checkpoints: ItemCheckpoint[] = [];
      for (const row of rows) {
        const parsed = parseStored<BatchCheckpointRow>(
          row.value,
          validateBatchCheckpointRow,
        );
        if (parsed.isErr()) return err(parsed.error);
        checkpoints.push({...parsed.value, itemId: getLastKeyPart(row.key)});
      }
      return ok(checkpoints);
    });
  }

  /**
   * Releases a job, so that another daemon takes it over, together with checkpoints
   * of its items. Checkpoints that do not fit into a row or the transaction are left
   * out; their items start again.
   *
   * @param job - the job with the version that was read
   * @param checkpoints - progress of the unfinished items
   * @returns whether the row of the job had not changed, so that it was released
   */
  release(
    job: StoredJob,
    checkpoints: readonly ItemCheckpoint[],
  ): ResultAsync<boolean, SavoryspurError> {
    const name = formatJobName(job.row.workspace, job.row.jobId);
    const writes: RowWrite[] = [
      {...name, value: encodeJson({...job.row, runner: ''})},
    ];
    let size = 0;
    for (const {itemId, ...row} of checkpoints) {
      const value = encodeJson(row);
      size += value.length;
      if (value.length > this.maxValueBytes) continue;
      if (
        writes.length >= MAX_TRANSACTION_WRITES ||
        size > MAX_TRANSACTION_BYTES
      )
        break;
      writes.push({...formatRowName(CHECKPOINT_TABLE, job.row, itemId), value});
    }
    return this.rows
      .transact(
        {conditions: [{...name, version: job.version}], writes},
        STORE_CALL_TIMEOUT_MS,
      )
      .map((outcome) => outcome.isCommitted);
  }

  /**
   * Prepares the row of a result: an output that is too large for a row is stored
   * as an object, which the row then names.
   *
   * @param job - job of the result
   * @param result - result of an item
   * @returns the row, or an error; with code REMOTE_ERROR the store will never
   *     take the output
   */
  storeOutput(
    job: BatchJobRow,
    result: BatchResultRow,
  ): ResultAsync<BatchResultRow, SavoryspurError> {
    if (encodeJson(result).length <= this.maxValueBytes) {
      return okAsync(result);
    }
    const bytes = Buffer.from(result.output);
    if (bytes.length > this.limits.objectBytes) {
      const message = `output of ${bytes.length} bytes, expected at most ${this.limits.objectBytes}`;
      return errAsync(
        new SavoryspurError(ErrorCode.REMOTE_ERROR, WRITE_ORIGIN, message),
      );
    }
    const digest = createHash('sha1').update(bytes).digest('hex');
    const outputObject = `output-${digest}-${job.jobId}`;
    return this.blobs
      .put(outputObject, bytes, STORE_CALL_TIMEOUT_MS)
      .map(() => ({...result, output: '', outputObject}));
  }

  /**
   * Appends a result at a position.
   *
   * @param job - job of the result
   * @param position - position of the result, counted from 0
   * @param row - row of the result, from {@link storeOutput}
   */
  appendResult(
    job: BatchJobRow,
    position: number,
    row: BatchResultRow,
  ): ResultAsync<AppendOutcome, SavoryspurError> {
    const doneName = formatRowName(DONE_TABLE, job, row.itemId);
    const positionName = formatRowName(
      RESULT_TABLE,
      job,
      formatPosition(position),
    );
    const transaction: RowTransaction = {
      conditions: [
        {...positionName, version: 0},
        {...doneName, version: 0},
      ],
      writes: [
        {...positionName, value: encodeJson(row)},
        {...doneName, value: encodeJson({position})},
      ],
    };
    return this.rows
      .transact(transaction, STORE_CALL_TIMEOUT_MS)
      .map((outcome) => {
        if (outcome.isCommitted) return AppendOutcome.APPENDED;
        const isDone = outcome.conflicts.some(
          (conflict) => conflict.table === DONE_TABLE && conflict.version > 0,
        );
        return isDone ? AppendOutcome.ITEM_DONE : AppendOutcome.POSITION_TAKEN;
      });
  }

  /**
   * Reads results in order until their outputs exceed a size, but at least one if
   * there is one.
   *
   * @param job - job of the results
   * @param from - position of the first result, counted from 0
   * @param maxBytes - maximum size of the outputs in JSON, bytes
   */
  readResults(
    job: BatchJobRow,
    from: number,
    maxBytes: number,
  ): ResultAsync<BatchResultRow[], SavoryspurError> {
    const part = computePartition(job.workspace);
    const start = `${job.jobId}/${formatPosition(from)}`;
    const end = computeJobKeysEnd(job.jobId);
    return this.rows
      .read({table: RESULT_TABLE, part, start, end})
      .andThen((page) => {
        const results: BatchResultRow[] = [];
        for (const row of page.rows) {
          const parsed = parseStored<BatchResultRow>(
            row.value,
            validateBatchResultRow,
          );
          if (parsed.isErr()) return err(parsed.error);
          results.push(parsed.value);
        }
        return ok(results);
      })
      .andThen(
        (results) => new ResultAsync(this.loadOutputs(results, maxBytes)),
      );
  }

  /** Reads the requests of the items of a job. */
  readPayload(job: BatchJobRow): ResultAsync<PayloadItem[], SavoryspurError> {
    return this.blobs
      .get(job.payload, STORE_CALL_TIMEOUT_MS)
      .andThen((bytes) =>
        parseStored<BatchPayload>(bytes, validateBatchPayload),
      )
      .map(({items}) =>
        items.map(({itemId, path, headers, body}) => ({
          itemId,
          path,
          headers,
          body: Buffer.from(body, 'base64'),
        })),
      );
  }

  /** Loads the outputs of results until they exceed a size. */
  private async loadOutputs(
    results: readonly BatchResultRow[],
    maxBytes: number,
  ): Promise<Result<BatchResultRow[], SavoryspurError>> {
    const loaded: BatchResultRow[] = [];
    let bytes = 0;
    for (const result of results) {
      const output = await this.loadOutput(result);
      if (output.isErr()) {
        return loaded.length > 0 ? ok(loaded) : err(output.error);
      }
      bytes += computeJsonBytes(output.value.output);
      if (loaded.length > 0 && bytes > maxBytes) break;
      loaded.push(output.value);
    }
    return ok(loaded);
  }

  private readAll(
    table: string,
    job: BatchJobRow,
  ): ResultAsync<TableRow[], SavoryspurError> {
    const part = computePartition(job.workspace);
    const start = `${job.jobId}/`;
    const end = computeJobKeysEnd(job.jobId);
    return this.rows.read({table, part, start, end}).map((page) => page.rows);
  }

  /** Loads the output of a result whose row names an object. */
  private loadOutput(
    result: BatchResultRow,
  ): ResultAsync<BatchResultRow, SavoryspurError> {
    if (result.outputObject === undefined) return okAsync(result);
    return this.blobs
      .get(result.outputObject, STORE_CALL_TIMEOUT_MS)
      .map((bytes) => ({
        itemId: result.itemId,
        state: result.state,
        output: bytes.toString('utf8'),
      }));
  }
}

/** Formats a key that identifies a job among those of all workspaces; ids contain no slash. */
export function formatJobKey({workspace, jobId}: JobIdentity): string {
  return `${jobId}/${workspace}`;
}

/** Formats the name of the row of a job. */
export function formatJobName(workspace: string, jobId: string): RowName {
  return {table: JOB_TABLE, part: computePartition(workspace), key: jobId};
}

/** Formats the name of the row with the queued-token quota of a workspace on a route. */
export function formatQuotaName(workspace: string, route: string): RowName {
  const key = `${workspace}/${route}`;
  return {table: QUOTA_TABLE, part: computePartition(workspace), key};
}

/** Converts a row name to the range that holds just this row. */
export function toExactRange(name: RowName) {
  const {table, part, key} = name;
  return {table, part, start: key, end: `${key}\u0000`, limit: 1};
}

/**
 * Parses the row of a job.
 *
 * @param value - stored value
 * @param version - version of the row
 */
export function parseJob(
  value: Buffer | undefined,
  version: number,
): Result<StoredJob, SavoryspurError> {
  return parseStored<BatchJobRow>(value, validateBatchJobRow).map((row) => ({
    row,
    version,
  }));
}

/** Encodes a value as JSON. */
export function encodeJson(value: unknown): Buffer {
  return Buffer.from(JSON.stringify(value));
}

/** Computes the size of a text in JSON, bytes. */
export function computeJsonBytes(text: string): number {
  return Buffer.byteLength(JSON.stringify(text));
}

/** Parses a stored JSON value and validates it. */
export function parseStored<T>(
  bytes: Buffer | undefined,
  validate: (value: unknown) => Result<T, FieldError>,
): Result<T, SavoryspurError> {
  return parseDocument(bytes, validate, PARSE_ORIGIN);
}

/** Whether a job may still start items. */
export function isOpen(job: BatchJobRow): boolean {
  return job.state === BatchState.OPEN;
}

/** Creates the result of a dead-lettered item, which has no output. */
export function createDeadLetter(itemId: string): BatchResultRow {
  return {itemId, state: BatchResultState.DEAD_LETTERED, output: ''};
}

function formatRowName(
  table: string,
  job: BatchJobRow,
  lastKeyPart: string,
): RowName {
  const part = computePartition(job.workspace);
  return {table, part, key: `${job.jobId}/${lastKeyPart}`};
}

function computePartition(workspace: string): string {
  const digest = createHash('sha1').update(workspace).digest();
  return `p${digest.readUInt32BE(0) % PARTITION_COUNT}`;
}

function formatPosition(position: number): string {
  return String(position).padStart(POSITION_DIGITS, '0');
}

function getLastKeyPart(key: string): string {
  return key.slice(key.lastIndexOf('/') + 1);
}

/** Computes the first key after all keys of a job: `0` follows `/` in byte order. */
function computeJobKeysEnd(jobId: string): string {
  return `${jobId}0`;
}
