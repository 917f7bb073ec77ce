/** Collects bytes that arrive in parts of any size, in memory in proportion to their number. */

/** Size of the first block, bytes, unless all that is expected is smaller. */
const MIN_BLOCK_BYTES = 4 * 1024;

/** Size of the largest blocks, bytes. */
const MAX_BLOCK_BYTES = 64 * 1024;

/** Size from which a part may be kept without a copy, bytes: their number is bounded by that of all bytes. */
const MIN_KEPT_BYTES = 16 * 1024;

/**
 * Copies parts into blocks: each part of its own keeps an object, and often a
 * larger buffer that it is a slice of, so that a part of one byte takes hundreds.
 */
export class ByteCollector {
  private readonly blocks: Buffer[] = [];
  /** Used bytes of the last block. */
  private lastBytes = 0;
  private size = 0;
  private allocated = 0;

  /**
   * @param expectedBytes - number of bytes that are expected; infinity when it is unknown
   * @param keepsLargeParts - whether large parts are kept without a copy, which
   *     takes up to twice their size
   */
  constructor(
    private readonly expectedBytes = Infinity,
    private readonly keepsLargeParts = false,
  ) {}

  /** Number of collected bytes. */
  get length(): number {
    return this.size;
  }

  /** Memory of the blocks, bytes. */
  get allocatedBytes(): number {
    return this.allocated;
  }

  /** Adds the bytes of a part. */
  add(part: Buffer): void {
    if (this.keepsLargeParts && isKeepable(part)) return this.addPart(part);
    let start = 0;
    while (start < part.length) {
      let block = this.blocks.at(-1);
      if (!block || this.lastBytes === block.length) block = this.addBlock();
      const count = Math.min(
        part.length - start,
        block.length - this.lastBytes,
      );
      block.set(part.subarray(start, start + count), this.lastBytes);
      this.lastBytes += count;
      this.size += count;
      start += count;
    }
  }

  /** Takes all bytes in one buffer; the collector is empty then. */
  take(): Buffer {
    const [first] = this.blocks;
    const bytes =
      first && this.blocks.length === 1
        ? first.subarray(0, this.size)
        : Buffer.concat(this.blocks, this.size);
    this.clear();
    return bytes;
  }

  /** Drops all bytes. */
  clear(): void {
    this.blocks.length = 0;
    this.lastBytes = 0;
    this.size = 0;
    this.allocated = 0;
  }

  private addPart(part: Buffer): void {
    const last = this.blocks.pop();
    if (last) this.blocks.push(last.subarray(0, this.lastBytes));
    this.blocks.push(part);
    this.lastBytes = part.length;
    this.size += part.length;
    this.allocated += part.buffer.byteLength;
  }

  private addBlock(): Buffer {
    const missing = this.expectedBytes - this.size;
    const bytes = Math.min(
      Math.max(this.size, MIN_BLOCK_BYTES),
      MAX_BLOCK_BYTES,
      missing > 0 ? missing : MAX_BLOCK_BYTES,
    );
    // Not from the pool of small buffers, whose slices keep all of it.
    const block = Buffer.allocUnsafeSlow(bytes);
    this.blocks.push(block);
    this.lastBytes = 0;
    this.allocated += bytes;
    return block;
  }
}

/** Checks whether a part is large, and at least half of the memory that it keeps. */
function isKeepable(part: Buffer): boolean {
  return (
    part.length >= MIN_KEPT_BYTES && part.length * 2 >= part.buffer.byteLength
  );
}
