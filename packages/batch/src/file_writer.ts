/** Stores the lines of an input file as part objects and an index object. */
import {ErrorCode, SavoryspurError} from '@savoryspur/common';
import type {ChunkRange, FileIndex} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';
import type {BatchContext} from './context.js';
import {formatIndexName, formatPartName} from './keys.js';
import {putObject} from './object_writer.js';

/** Size at which a part is closed once its current chunk ends, bytes. */
const PART_CLOSE_BYTES = 4 * 1024 * 1024;

/**
 * Size at which a chunk is closed even if it has fewer items than allowed,
 * bytes.
 */
const CHUNK_CLOSE_BYTES = 2 * 1024 * 1024;

const NEWLINE = Buffer.from('\n');

/** Writes one file; buffers at most one part in memory. */
export class FileWriter {
  /** Number of items appended so far. */
  itemCount = 0;

  private readonly index: FileIndex = {parts: [], chunks: []};
  private partBlocks: Buffer[] = [];
  private partBytes = 0;
  private chunkStart = 0;
  private chunkItems = 0;

  /**
   * @param context - object store, clock and settings
   * @param workspace - workspace of the file
   * @param fileId - id of the file
   */
  constructor(
    private readonly context: BatchContext,
    private readonly workspace: string,
    private readonly fileId: string,
  ) {}

  /** Appends one line; stores the part when it has reached its size. */
  async append(line: Buffer): Promise<Result<void, SavoryspurError>> {
    this.partBlocks.push(line, NEWLINE);
    this.partBytes += line.length + NEWLINE.length;
    this.itemCount += 1;
    this.chunkItems += 1;
    if (!this.isChunkFull()) return ok(undefined);
    this.closeChunk();
    if (this.partBytes < PART_CLOSE_BYTES) return ok(undefined);
    return this.storePart();
  }

  /**
   * Stores the last part and the index.
   *
   * @returns the number of chunks
   */
  async finish(): Promise<Result<number, SavoryspurError>> {
    this.closeChunk();
    const part = await this.storePart();
    if (part.isErr()) return err(part.error);
    const body = Buffer.from(JSON.stringify(this.index));
    const name = formatIndexName(this.workspace, this.fileId);
    const stored = await putObject(this.context, name, body);
    return stored
      .map(() => this.index.chunks.length)
      .mapErr(convertToNotAccepted);
  }

  /** Deletes the stored objects of a file that is not accepted. */
  async deleteObjects(): Promise<void> {
    const names = [
      ...this.index.parts,
      formatIndexName(this.workspace, this.fileId),
    ];
    for (const name of names) await this.context.objects.delete(name);
  }

  private isChunkFull(): boolean {
    if (this.chunkItems >= this.context.settings.chunkItems) return true;
    return this.partBytes - this.chunkStart >= CHUNK_CLOSE_BYTES;
  }

  private closeChunk(): void {
    if (this.chunkItems === 0) return;
    const range: ChunkRange = {
      part: this.index.parts.length,
      start: this.chunkStart,
      end: this.partBytes,
      items: this.chunkItems,
    };
    this.index.chunks.push(range);
    this.chunkStart = this.partBytes;
    this.chunkItems = 0;
  }

  private async storePart(): Promise<Result<void, SavoryspurError>> {
    if (this.partBytes === 0) return ok(undefined);
    const name = formatPartName(
      this.workspace,
      this.fileId,
      this.index.parts.length,
    );
    const body = Buffer.concat(this.partBlocks);
    this.index.parts.push(name);
    this.partBlocks = [];
    this.partBytes = 0;
    this.chunkStart = 0;
    const stored = await putObject(this.context, name, body);
    return stored.mapErr(convertToNotAccepted);
  }
}

/** Converts an error of the object store into the refusal of the file. */
function convertToNotAccepted(error: SavoryspurError): SavoryspurError {
  return new SavoryspurError(
    ErrorCode.UNAVAILABLE,
    error.origin,
    'the file was not accepted because it could not be stored',
    {cause: error},
  );
}
