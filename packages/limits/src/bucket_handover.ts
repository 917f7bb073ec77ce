/** Moves unused tokens from an owner that leaves to the next one. */
import type {Clock} from '@savoryspur/common';
import type {ShareHistorySource, TokenHandover} from '@savoryspur/fleet';
import type {KeyTokens} from '@savoryspur/schema';
import type {OwnerService} from './owner_service.js';
import {
  formatRateKey,
  type OwnedWorkspace,
  parseRateKey,
  type WorkspaceBuckets,
} from './workspace_buckets.js';

/** What a handover needs. */
export interface BucketHandoverOptions {
  clock: Clock;
  book: WorkspaceBuckets;
  owner: OwnerService;
  ledger: ShareHistorySource;
  /** Time for which granted tokens are valid, milliseconds. */
  grantTermMs: number;
}

/** Budgets whose tokens are handed over at once. */
const MAX_KEYS = 512;

/** Tokens of all buckets of this daemon. */
export class BucketHandover implements TokenHandover {
  /**
   * @param options - buckets, fleet and terms
   */
  constructor(private readonly options: BucketHandoverOptions) {}

  /** {@inheritDoc TokenKeeper.getLastUseMs} */
  getLastExpiryMs(): number {
    const {clock, book, grantTermMs} = this.options;
    let lastMs = clock.now() + grantTermMs;
    for (const {bucket} of book.listOpen()) {
      lastMs = Math.max(lastMs, bucket.loans.lent.getLastEndMs());
    }
    return lastMs;
  }

  /** {@inheritDoc TokenKeeper.takeTokens} */
  takeTokens(): Map<string, KeyTokens[]> {
    const {clock, book} = this.options;
    const nowMs = clock.now();
    const taken = new Map<string, KeyTokens[]>();
    const used = book
      .listOpen()
      .sort((a, b) => b.usage.getRate(nowMs) - a.usage.getRate(nowMs));
    for (const owned of used.slice(0, MAX_KEYS)) {
      this.takeFrom(owned, taken);
    }
    return taken;
  }

  /** {@inheritDoc TokenKeeper.refuseWaiters} */
  refuseWaiters(): void {
    const {book, owner} = this.options;
    for (const owned of book.listOpen()) owner.serveWaiters(owned);
  }

  /** {@inheritDoc TokenKeeper.addTokens} */
  addTokens(released: readonly KeyTokens[]): void {
    const {book, owner} = this.options;
    for (const {key, tokens} of released) {
      const workspace = parseRateKey(key);
      const owned = workspace === undefined ? undefined : book.find(workspace);
      if (owned === undefined) continue;
      book.refill(owned);
      owned.bucket.addReleased(tokens);
      owner.serveWaiters(owned);
    }
  }

  /** Each delegating daemon gets the tokens that go with its slots. */
  private takeFrom(
    owned: OwnedWorkspace,
    taken: Map<string, KeyTokens[]>,
  ): void {
    const {book, ledger} = this.options;
    const key = formatRateKey(owned.name);
    book.refill(owned);
    const delegators = ledger.listDelegators(key);
    let slots = 0;
    for (const count of delegators.values()) slots += count;
    const tokens = owned.bucket.takeForRelease();
    if (slots <= 0 || tokens <= 0) return;
    for (const [giver, count] of delegators) {
      const part = {key, tokens: (tokens * count) / slots};
      taken.set(giver, [...(taken.get(giver) ?? []), part]);
    }
  }
}
