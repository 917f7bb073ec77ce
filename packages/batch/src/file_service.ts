/** Input files: upload, look-up, content and deletion. */
import {ErrorCode, type SavoryspurError} from '@savoryspur/common';
import {TransactionOutcome, transactWithReadBack} from '@savoryspur/storage';
import {
  type FileRow,
  JobState,
  validateFileRow,
  validateJobRow,
} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';
import type {BatchContext} from './context.js';
import {createConflict, createNotFound} from './errors.js';
import {loadFileIndex} from './file_index.js';
import {FileReader, type FileUpload} from './file_upload.js';
import * as keys from './keys.js';
import type {DeletedObject, ListObject} from './openai_objects.js';
import {type FileObject, toFileObject} from './openai_objects.js';
import {createPage, DEFAULT_PAGE, type PageRequest} from './pages.js';
import {
  parseRow,
  parseRows,
  readRow,
  scanPages,
  type TypedRow,
} from './rows.js';

/** States in which a job forbids the deletion of its input file. */
const RUNNING = new Set([JobState.IN_PROGRESS]);

/** States in which the objects of an input file are still read. */
const READING = new Set([
  JobState.IN_PROGRESS,
  JobState.CANCELLED,
  JobState.EXPIRED,
]);

/** Keeps the input files of all workspaces. */
export class FileService {
  /**
   * @param context - platform, clock and settings
   */
  constructor(private readonly context: BatchContext) {}

  /**
   * Accepts a file, as a whole or not at all.
   *
   * @returns the file once it is durable; `InvalidFileError` names the faulty
   *     lines, code UNAVAILABLE means that nothing was accepted
   */
  async create(
    upload: FileUpload,
  ): Promise<Result<FileObject, SavoryspurError>> {
    const reader = new FileReader(this.context, upload);
    const row = await reader.read();
    if (row.isErr()) return err(row.error);
    const key = keys.formatFileKey(upload.workspace, row.value.id);
    const written = await transactWithReadBack(this.toReadBackContext(), {
      conditions: [{key, version: 0}],
      writes: [{key, value: {...row.value}}],
    });
    if (written.isOk()) return ok(toFileObject(row.value));
    if (written.error.code !== ErrorCode.AMBIGUOUS) await reader.drop();
    return err(written.error);
  }

  /** Reads the row of a file of a workspace. */
  async read(
    workspace: string,
    fileId: string,
  ): Promise<Result<TypedRow<FileRow>, SavoryspurError>> {
    const notFound = createNotFound('batch.read_file', `file ${fileId}`);
    if (!keys.isFileId(fileId)) return err(notFound);
    const row = await readRow(
      this.context.table,
      keys.formatFileKey(workspace, fileId),
      validateFileRow,
    );
    if (row.isErr()) return err(row.error);
    return row.value ? ok(row.value) : err(notFound);
  }

  /** Shows one file. */
  async show(
    workspace: string,
    fileId: string,
  ): Promise<Result<FileObject, SavoryspurError>> {
    const row = await this.read(workspace, fileId);
    return row.map((found) => toFileObject(found.value));
  }

  /** Lists the files of a workspace, the newest first. */
  async list(
    workspace: string,
    page: PageRequest = DEFAULT_PAGE,
  ): Promise<Result<ListObject<FileObject>, SavoryspurError>> {
    const prefix = keys.formatFilePrefix(workspace);
    const rows = await this.context.table.scan({
      prefix,
      after: page.after ? prefix + page.after : '',
      limit: page.limit + 1,
    });
    if (rows.isErr()) return err(rows.error);
    const parsed = parseRows(rows.value, validateFileRow, this.context.log);
    const files = parsed.map((row) => toFileObject(row.value));
    return ok(createPage(files, page.limit));
  }

  /**
   * Streams the lines of an accepted file; throws a SavoryspurError when the
   * store fails.
   */
  async *readContent(file: FileRow): AsyncGenerator<Buffer, void, void> {
    const {objects} = this.context;
    const index = await loadFileIndex(objects, file.indexName);
    if (index.isErr()) throw index.error;
    for (const part of index.value.parts) {
      const body = await objects.get(part);
      if (body.isErr()) throw body.error;
      yield body.value;
    }
  }

  /**
   * Deletes a file that no running job reads.
   *
   * @returns the deleted file, or an error with code CONFLICT when it is in use
   */
  async delete(
    workspace: string,
    fileId: string,
  ): Promise<Result<DeletedObject, SavoryspurError>> {
    const step = 'batch.delete_file';
    const row = await this.read(workspace, fileId);
    if (row.isErr()) return err(row.error);
    const before = await this.findUser(workspace, fileId, RUNNING);
    if (before.isErr()) return err(before.error);
    if (before.value !== undefined) {
      return err(createConflict(step, `in use by ${before.value}`));
    }
    const {key, version} = row.value;
    const deleted = await transactWithReadBack(this.toReadBackContext(), {
      conditions: [{key, version}],
      writes: [{key}],
    });
    if (deleted.isErr()) return err(deleted.error);
    if (deleted.value === TransactionOutcome.CONFLICT) {
      return err(createConflict(step, 'the file changed meanwhile'));
    }
    await this.deleteObjects(workspace, row.value.value);
    return ok({id: fileId, object: 'file', deleted: true});
  }

  /**
   * Deletes the objects of a file whose row is gone. They stay for a job that
   * was submitted just before the row went, and for a job that ended early: its
   * results name the items that were not run.
   */
  private async deleteObjects(workspace: string, file: FileRow): Promise<void> {
    const user = await this.findUser(workspace, file.id, READING);
    if (user.isErr() || user.value !== undefined) return;
    const index = await loadFileIndex(this.context.objects, file.indexName);
    if (index.isErr()) return;
    const names = [...index.value.parts, file.indexName];
    for (const name of names) await this.context.objects.delete(name);
  }

  /** Finds a job of the workspace with a file and one of some states. */
  private async findUser(
    workspace: string,
    fileId: string,
    states: ReadonlySet<JobState>,
  ): Promise<Result<string | undefined, SavoryspurError>> {
    const prefix = keys.formatJobListPrefix(workspace);
    for await (const page of scanPages(this.context.table, prefix)) {
      if (page.isErr()) return err(page.error);
      const jobKeys = page.value.map((row) =>
        keys.formatJobKey(row.key.slice(prefix.length)),
      );
      const jobs = await this.context.table.read(jobKeys);
      if (jobs.isErr()) return err(jobs.error);
      for (const row of jobs.value) {
        const job = parseRow(row, validateJobRow);
        if (job.isErr()) return err(job.error);
        const {id, inputFileId, state} = job.value.value;
        if (inputFileId === fileId && states.has(state)) return ok(id);
      }
    }
    return ok(undefined);
  }

  private toReadBackContext() {
    return {...this.context, options: this.context.readBack};
  }
}
