/** Splits a stream of bytes into lines within bounded memory. */

/** Byte value of the line feed. */
const NEWLINE = 0x0a;

/** One line of a stream. */
export interface SplitLine {
  /** Line number, from 1. */
  number: number;
  /**
   * Bytes without the line feed; undefined when the line exceeds the maximum.
   */
  bytes: Buffer | undefined;
}

/** Splits blocks of bytes into lines. */
export class LineSplitter {
  private pending: Buffer[] = [];
  private pendingBytes = 0;
  private isTooLong = false;
  private lineNumber = 0;

  /**
   * @param maxLineBytes - maximum length of a line, bytes
   */
  constructor(private readonly maxLineBytes: number) {}

  /**
   * Splits one block; an incomplete last line is buffered for the next block.
   */
  *split(block: Buffer): Generator<SplitLine, void, void> {
    let start = 0;
    for (;;) {
      const end = block.indexOf(NEWLINE, start);
      if (end === -1) break;
      this.appendBytes(block.subarray(start, end));
      yield this.takeLine();
      start = end + 1;
    }
    this.appendBytes(block.subarray(start));
  }

  /** Ends the stream; yields the last line if it has no line feed. */
  *finish(): Generator<SplitLine, void, void> {
    if (this.pendingBytes > 0 || this.isTooLong) yield this.takeLine();
  }

  /** Buffers bytes of the current line; discards a line that is too long. */
  private appendBytes(bytes: Buffer): void {
    if (bytes.length === 0 || this.isTooLong) return;
    if (this.pendingBytes + bytes.length > this.maxLineBytes) {
      this.isTooLong = true;
      this.pending = [];
      this.pendingBytes = 0;
      return;
    }
    this.pending.push(bytes);
    this.pendingBytes += bytes.length;
  }

  private takeLine(): SplitLine {
    this.lineNumber += 1;
    const bytes = this.isTooLong ? undefined : Buffer.concat(this.pending);
    this.pending = [];
    this.pendingBytes = 0;
    this.isTooLong = false;
    return {number: this.lineNumber, bytes};
  }
}
