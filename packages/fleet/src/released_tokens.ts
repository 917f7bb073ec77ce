/** Tokens that a stopping daemon released, kept for the next owner. */
import type {Clock} from '@savoryspur/common';
import type {KeyTokens} from '@savoryspur/schema';

/** Released tokens of one key and the quota slots that they go with. */
interface ReleasedKeyTokens {
  tokens: number;
  slots: number;
  expiresAtMs: number;
}

/**
 * Released tokens by quota key. They are given out once, and only while this
 * daemon still has the quota slots that they were released with.
 */
export class ReleasedTokens {
  private readonly tokensByKey = new Map<string, ReleasedKeyTokens>();

  /**
   * @param clock - source of time
   */
  constructor(private readonly clock: Clock) {}

  isEmpty(): boolean {
    return this.tokensByKey.size === 0;
  }

  /**
   * Adds released tokens; they replace those of an earlier owner of the same
   * key.
   *
   * @param released - tokens by quota key
   * @param slots - number of quota slots that the tokens go with
   * @param expiresAtMs - when the tokens are dropped, monotonic milliseconds
   */
  add(
    released: readonly KeyTokens[],
    slots: number,
    expiresAtMs: number,
  ): void {
    for (const {key, tokens} of released) {
      this.tokensByKey.set(key, {tokens, slots, expiresAtMs});
    }
  }

  /**
   * Takes the tokens of the keys that a daemon now owns.
   *
   * @param slots - number of quota slots that are delegated to the daemon
   * @param isOwned - tells whether the daemon owns a key in every view
   */
  takeOwned(slots: number, isOwned: (key: string) => boolean): KeyTokens[] {
    const nowMs = this.clock.now();
    const taken: KeyTokens[] = [];
    for (const [key, entry] of this.tokensByKey) {
      const isValid = entry.expiresAtMs > nowMs && entry.slots <= slots;
      if (isValid && !isOwned(key)) continue;
      this.tokensByKey.delete(key);
      if (isValid) taken.push({key, tokens: entry.tokens});
    }
    return taken;
  }
}
