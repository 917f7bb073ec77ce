/** Set of item positions with a compact base64 form for chunk rows. */

/** Bits in a byte. */
const BITS_PER_BYTE = 8;

/** Set of positions of items in a chunk. */
export class Bitmap {
  private constructor(private readonly bytes: Buffer) {}

  /**
   * Creates an empty set.
   *
   * @param size - number of positions
   */
  static create(size: number): Bitmap {
    return new Bitmap(Buffer.alloc(Math.ceil(size / BITS_PER_BYTE)));
  }

  /**
   * Decodes a set encoded by {@link encode}.
   *
   * @param text - base64; empty for an empty set
   * @param size - number of positions
   */
  static decode(text: string, size: number): Bitmap {
    const bitmap = Bitmap.create(size);
    Buffer.from(text, 'base64').copy(bitmap.bytes);
    return bitmap;
  }

  /** Tells whether a position is in the set. */
  has(position: number): boolean {
    const byte = this.bytes[Math.floor(position / BITS_PER_BYTE)] ?? 0;
    return (byte & (1 << (position % BITS_PER_BYTE))) !== 0;
  }

  /** Adds a position. */
  add(position: number): void {
    const index = Math.floor(position / BITS_PER_BYTE);
    const byte = this.bytes[index] ?? 0;
    this.bytes[index] = byte | (1 << (position % BITS_PER_BYTE));
  }

  /** Encodes the set as base64. */
  encode(): string {
    return this.bytes.toString('base64');
  }
}
