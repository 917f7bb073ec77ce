/** Reads an uploaded input file: validates every line and stores the parts. */
import {type SavoryspurError, toSavoryspurError} from '@savoryspur/common';
import type {FileRow} from '@savoryspur/schema';
import {createHash} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import type {BatchContext} from './context.js';
import {createInvalid, InvalidFileError} from './errors.js';
import {FileWriter} from './file_writer.js';
import * as keys from './keys.js';
import {LineValidator} from './line_validator.js';
import {LineSplitter, type SplitLine} from './line_splitter.js';
import {TimeSlicer} from './time_slicer.js';

/** Maximum length of a line, bytes. */
const MAX_LINE_BYTES = 1024 * 1024;

/** Upload of an input file by a caller. */
export interface FileUpload {
  workspace: string;
  filename: string;
  /** Content of the file in JSON Lines format. */
  content: AsyncIterable<Uint8Array>;
}

/**
 * Reads one upload to its end; keeps no objects of a file with invalid lines.
 */
export class UploadReader {
  private readonly hash = createHash('sha256');
  private readonly validator = new LineValidator();
  private readonly splitter = new LineSplitter(MAX_LINE_BYTES);
  private readonly slicer: TimeSlicer;
  private readonly fileId: string;
  private readonly writer: FileWriter;
  private readonly wallMs: number;
  private bytes = 0;

  /**
   * @param context - object store, clock and settings
   * @param upload - the upload
   */
  constructor(
    private readonly context: BatchContext,
    private readonly upload: FileUpload,
  ) {
    this.slicer = new TimeSlicer(context.clock);
    this.wallMs = context.clock.nowWall().getTime();
    this.fileId = keys.createFileId(this.wallMs);
    this.writer = new FileWriter(context, upload.workspace, this.fileId);
  }

  /**
   * Reads, validates and stores the content of the upload.
   *
   * @returns the file row, which the caller has to write to accept the file, or
   *     an error; an {@link InvalidFileError} lists the invalid lines
   */
  async read(): Promise<Result<FileRow, SavoryspurError>> {
    const stored = await this.storeLines();
    if (stored.isOk()) return ok(this.createRow(stored.value));
    await this.deleteObjects();
    return err(stored.error);
  }

  /** Deletes all stored objects of the file. */
  async deleteObjects(): Promise<void> {
    await this.writer.deleteObjects();
  }

  /**
   * Stores the valid lines of the upload.
   *
   * @returns the number of chunks
   */
  private async storeLines(): Promise<Result<number, SavoryspurError>> {
    try {
      for await (const block of this.upload.content) {
        const result = await this.appendBlock(Buffer.from(block));
        if (result.isErr()) return err(result.error);
      }
    } catch (thrown) {
      const origin = {step: 'batch.create_file', peer: 'caller'};
      return err(toSavoryspurError(thrown, origin));
    }
    for (const line of this.splitter.finish()) {
      const result = await this.appendLine(line);
      if (result.isErr()) return err(result.error);
    }
    if (this.validator.faultCount > 0) {
      const {faults, faultCount} = this.validator;
      return err(new InvalidFileError(faults, faultCount));
    }
    if (this.writer.itemCount === 0) {
      return err(createInvalid('batch.create_file', 'the file has no items'));
    }
    return this.writer.finish();
  }

  private async appendBlock(
    block: Buffer,
  ): Promise<Result<void, SavoryspurError>> {
    this.hash.update(block);
    this.bytes += block.length;
    for (const line of this.splitter.split(block)) {
      const result = await this.appendLine(line);
      if (result.isErr()) return err(result.error);
      if (this.slicer.isSliceOver(line.bytes?.length ?? MAX_LINE_BYTES)) {
        await this.slicer.waitForNextSlice();
      }
    }
    return ok(undefined);
  }

  /** Validates a line; stores it unless an earlier line was invalid. */
  private async appendLine(
    line: SplitLine,
  ): Promise<Result<void, SavoryspurError>> {
    if (!this.validator.validate(line)) return ok(undefined);
    const {maxItems} = this.context.settings;
    if (this.writer.itemCount >= maxItems) {
      const message = `line ${line.number}: more than ${maxItems} items`;
      return err(createInvalid('batch.create_file', message));
    }
    if (this.validator.faultCount > 0) return ok(undefined);
    return this.writer.append(line.bytes!);
  }

  private createRow(chunks: number): FileRow {
    const {workspace, filename} = this.upload;
    return {
      id: this.fileId,
      workspace,
      filename,
      bytes: this.bytes,
      items: this.writer.itemCount,
      chunks,
      digest: this.hash.digest('hex'),
      indexName: keys.formatIndexName(workspace, this.fileId),
      endpoints: [...this.validator.endpoints].sort(),
      createdAt: this.wallMs,
    };
  }
}
