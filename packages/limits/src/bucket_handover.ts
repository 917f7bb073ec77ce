/** Hands over the unused tokens of a stopping owner to the next owner. */
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

/** Dependencies and settings of {@link BucketHandover}. */
export interface BucketHandoverOptions {
  clock: Clock;
  buckets: WorkspaceBuckets;
  ownerService: OwnerService;
  shareHistory: ShareHistorySource;
  /** Time for which granted tokens are valid, milliseconds. */
  grantTermMs: number;
}

/**
 * Maximum number of workspaces whose tokens are handed over; those with the
 * highest usage come first.
 */
const MAX_HANDOVER_WORKSPACES = 512;

/**
 * Lets the token buckets of this daemon take part in the handover of
 * delegations.
 */
export class BucketHandover implements TokenHandover {
  /**
   * @param options - buckets, delegated shares and the term of grants
   */
  constructor(private readonly options: BucketHandoverOptions) {}

  /** {@inheritDoc TokenHandover.getLastExpiryMs} */
  getLastExpiryMs(): number {
    const {clock, buckets, grantTermMs} = this.options;
    let lastExpiryMs = clock.now() + grantTermMs;
    for (const {bucket} of buckets.listAll()) {
      lastExpiryMs = Math.max(
        lastExpiryMs,
        bucket.loans.lent.getLastExpiryMs(),
      );
    }
    return lastExpiryMs;
  }

  /** {@inheritDoc TokenHandover.takeTokens} */
  takeTokens(): Map<string, KeyTokens[]> {
    const {clock, buckets} = this.options;
    const nowMs = clock.now();
    const tokensByDelegator = new Map<string, KeyTokens[]>();
    const byUsage = buckets
      .listAll()
      .sort(
        (a, b) =>
          b.usage.getTokensPerSecond(nowMs) - a.usage.getTokensPerSecond(nowMs),
      );
    for (const owned of byUsage.slice(0, MAX_HANDOVER_WORKSPACES)) {
      this.takeWorkspaceTokens(owned, tokensByDelegator);
    }
    return tokensByDelegator;
  }

  /** {@inheritDoc TokenHandover.refuseWaiters} */
  refuseWaiters(): void {
    const {buckets, ownerService} = this.options;
    for (const owned of buckets.listAll()) ownerService.serveWaiters(owned);
  }

  /** {@inheritDoc TokenHandover.addTokens} */
  addTokens(released: readonly KeyTokens[]): void {
    const {buckets, ownerService} = this.options;
    for (const {key, tokens} of released) {
      const workspace = parseRateKey(key);
      const owned =
        workspace === undefined ? undefined : buckets.findOrCreate(workspace);
      if (owned === undefined) continue;
      buckets.refill(owned);
      owned.bucket.addReleasedTokens(tokens);
      ownerService.serveWaiters(owned);
    }
  }

  /**
   * Empties the bucket of a workspace and splits its tokens among the
   * delegating daemons in proportion to the quota slots that they delegate.
   */
  private takeWorkspaceTokens(
    owned: OwnedWorkspace,
    tokensByDelegator: Map<string, KeyTokens[]>,
  ): void {
    const {buckets, shareHistory} = this.options;
    const key = formatRateKey(owned.name);
    buckets.refill(owned);
    const delegators = shareHistory.listDelegators(key);
    let slots = 0;
    for (const count of delegators.values()) slots += count;
    const tokens = owned.bucket.takeForRelease();
    if (slots <= 0 || tokens <= 0) return;
    for (const [delegator, count] of delegators) {
      const part = {key, tokens: (tokens * count) / slots};
      tokensByDelegator.set(delegator, [
        ...(tokensByDelegator.get(delegator) ?? []),
        part,
      ]);
    }
  }
}
