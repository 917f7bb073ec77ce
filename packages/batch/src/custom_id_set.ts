/** Memory-efficient set of the custom ids of an input file. */
import {createHash, randomBytes} from 'node:crypto';

/**
 * Hash tables of one set. Each table grows separately, so that no single
 * growth blocks the event loop for long.
 */
const TABLE_COUNT = 256;

/** Slots of a new hash table; must be a power of two. */
const INITIAL_TABLE_SLOTS = 64;

/** Fraction of used slots at which a hash table doubles its size. */
const MAX_LOAD_FACTOR = 0.6;

/**
 * Open-addressing hash table that maps a hash to a line number. The hash 0
 * marks an empty slot.
 */
class HashTable {
  private hashes = new BigUint64Array(INITIAL_TABLE_SLOTS);
  private lines = new Uint32Array(INITIAL_TABLE_SLOTS);
  private size = 0;

  /**
   * Adds a hash.
   *
   * @returns the line of an equal hash added before, undefined otherwise
   */
  add(hash: bigint, line: number): number | undefined {
    if (this.size >= this.hashes.length * MAX_LOAD_FACTOR) this.appendSlots();
    const slot = this.findSlot(hash);
    if (this.hashes[slot] === hash) return this.lines[slot];
    this.hashes[slot] = hash;
    this.lines[slot] = line;
    this.size += 1;
    return undefined;
  }

  /** Finds the slot of a hash, or the empty slot in which to store the hash. */
  private findSlot(hash: bigint): number {
    const mask = this.hashes.length - 1;
    let slot = Number(hash & BigInt(mask));
    while (this.hashes[slot] !== 0n && this.hashes[slot] !== hash) {
      slot = (slot + 1) & mask;
    }
    return slot;
  }

  /** Doubles the number of slots and inserts the hashes again. */
  private appendSlots(): void {
    const {hashes, lines} = this;
    this.hashes = new BigUint64Array(hashes.length * 2);
    this.lines = new Uint32Array(lines.length * 2);
    for (const [index, hash] of hashes.entries()) {
      if (hash === 0n) continue;
      const slot = this.findSlot(hash);
      this.hashes[slot] = hash;
      this.lines[slot] = lines[index]!;
    }
  }
}

/**
 * Finds duplicate custom ids. Instead of the id it stores a 64-bit keyed hash
 * and a line number, to save memory.
 */
export class CustomIdSet {
  private readonly hashKey = randomBytes(16);
  private readonly tables = Array.from(
    {length: TABLE_COUNT},
    () => new HashTable(),
  );

  /**
   * Adds a custom id.
   *
   * @param customId - the id
   * @param line - number of the line with the id, from 1
   * @returns the first line with the same id, or undefined when the id is new
   */
  add(customId: string, line: number): number | undefined {
    const hasher = createHash('sha1').update(this.hashKey).update(customId);
    const digest = hasher.digest();
    const hash = digest.readBigUInt64LE(0) || 1n;
    return this.tables[digest[8]!]!.add(hash, line);
  }
}
