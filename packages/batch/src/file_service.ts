/** Upload, lookup, content and deletion of input files. */
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
import {UploadReader, type FileUpload} from './file_upload.js';
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

/** Job states in which the input file of a job cannot be deleted. */
const RUNNING_STATES = new Set([JobState.IN_PROGRESS]);

/**
 * Job states in which the objects of the input file may still be read. The
 * error file of a cancelled or expired job lists the items that were not run.
 */
const INPUT_READING_STATES = new Set([
  JobState.IN_PROGRESS,
  JobState.CANCELLED,
  JobState.EXPIRED,
]);

/** Manages the input files of all workspaces. */
export class FileService {
  /**
   * @param context - storage, clock, log and settings
   */
  constructor(private readonly context: BatchContext) {}

  /**
   * Validates and stores a file; either all of its lines are accepted or none.
   *
   * @returns the file once it is durable, or an error: `InvalidFileError` lists
   *     the invalid lines, code UNAVAILABLE means that nothing was accepted
   */
  async create(
    upload: FileUpload,
  ): Promise<Result<FileObject, SavoryspurError>> {
    const uploadReader = new UploadReader(this.context, upload);
    const row = await uploadReader.read();
    if (row.isErr()) return err(row.error);
    const key = keys.formatFileRowKey(upload.workspace, row.value.id);
    const written = await transactWithReadBack(this.toReadBackContext(), {
      conditions: [{key, version: 0}],
      writes: [{key, value: {...row.value}}],
    });
    if (written.isOk()) return ok(toFileObject(row.value));
    if (written.error.code !== ErrorCode.AMBIGUOUS)
      await uploadReader.deleteObjects();
    return err(written.error);
  }

  /**
   * Reads the row of a file; code NOT_FOUND when the workspace has no such
   * file.
   */
  async read(
    workspace: string,
    fileId: string,
  ): Promise<Result<TypedRow<FileRow>, SavoryspurError>> {
    const notFound = createNotFound('batch.read_file', `file ${fileId}`);
    if (!keys.isFileId(fileId)) return err(notFound);
    const row = await readRow(
      this.context.table,
      keys.formatFileRowKey(workspace, fileId),
      validateFileRow,
    );
    if (row.isErr()) return err(row.error);
    return row.value ? ok(row.value) : err(notFound);
  }

  /** Gets the API object of a file. */
  async show(
    workspace: string,
    fileId: string,
  ): Promise<Result<FileObject, SavoryspurError>> {
    const row = await this.read(workspace, fileId);
    return row.map((found) => toFileObject(found.value));
  }

  /** Lists the files of a workspace, newest first. */
  async list(
    workspace: string,
    page: PageRequest = DEFAULT_PAGE,
  ): Promise<Result<ListObject<FileObject>, SavoryspurError>> {
    const prefix = keys.formatFileRowPrefix(workspace);
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
   * Streams the content of an accepted file. Throws a SavoryspurError when the
   * object store fails.
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
   * Deletes a file unless a running job uses it as its input.
   *
   * @returns the deleted file, or an error with code CONFLICT when a running
   *     job uses the file or another request has changed its row
   */
  async delete(
    workspace: string,
    fileId: string,
  ): Promise<Result<DeletedObject, SavoryspurError>> {
    const step = 'batch.delete_file';
    const row = await this.read(workspace, fileId);
    if (row.isErr()) return err(row.error);
    const runningJob = await this.findJobUsingFile(
      workspace,
      fileId,
      RUNNING_STATES,
    );
    if (runningJob.isErr()) return err(runningJob.error);
    if (runningJob.value !== undefined) {
      return err(
        createConflict(
          step,
          `the file is in use by running job ${runningJob.value}`,
        ),
      );
    }
    const {key, version} = row.value;
    const deleted = await transactWithReadBack(this.toReadBackContext(), {
      conditions: [{key, version}],
      writes: [{key}],
    });
    if (deleted.isErr()) return err(deleted.error);
    if (deleted.value === TransactionOutcome.CONFLICT) {
      return err(
        createConflict(step, 'the file was changed by another request'),
      );
    }
    await this.deleteObjects(workspace, row.value.value);
    return ok({id: fileId, object: 'file', deleted: true});
  }

  /**
   * Deletes the objects of a file after its row was deleted. The objects stay
   * when a job was submitted just before the row was deleted, and when a job
   * was cancelled or expired: its error file lists the items that were not run.
   */
  private async deleteObjects(workspace: string, file: FileRow): Promise<void> {
    const job = await this.findJobUsingFile(
      workspace,
      file.id,
      INPUT_READING_STATES,
    );
    if (job.isErr() || job.value !== undefined) return;
    const index = await loadFileIndex(this.context.objects, file.indexName);
    if (index.isErr()) return;
    const names = [...index.value.parts, file.indexName];
    for (const name of names) await this.context.objects.delete(name);
  }

  /**
   * Finds a job of the workspace that uses a file and is in one of the states.
   *
   * @returns the id of the job, or undefined when there is none
   */
  private async findJobUsingFile(
    workspace: string,
    fileId: string,
    states: ReadonlySet<JobState>,
  ): Promise<Result<string | undefined, SavoryspurError>> {
    const prefix = keys.formatJobListPrefix(workspace);
    for await (const page of scanPages(this.context.table, prefix)) {
      if (page.isErr()) return err(page.error);
      const jobKeys = page.value.map((row) =>
        keys.formatJobRowKey(row.key.slice(prefix.length)),
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
