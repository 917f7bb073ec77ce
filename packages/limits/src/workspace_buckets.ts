/** Token buckets of the workspaces whose keys this daemon owns. */
import type {Clock, EnvironmentSource} from '@savoryspur/common';
import type {ShareHistory, ShareHistorySource} from '@savoryspur/fleet';
import {
  type TokenAnswer,
  type TokenRequest,
  TrafficClass,
} from '@savoryspur/schema';
import {TokenRateMeter} from './token_rate_meter.js';
import {type BucketLimits, OwnerBucket} from './owner_bucket.js';

/** Token request of a daemon that waits at the owner. */
export interface Waiter {
  request: TokenRequest;
  /** Requesting daemon, as `host:incarnation`. */
  requester: string;
  startedMs: number;
  deadlineMs: number;
  finish: (answer: TokenAnswer) => void;
}

/** State of one workspace at its owner. */
export interface OwnedWorkspace {
  readonly name: string;
  readonly bucket: OwnerBucket;
  readonly waiters: Record<TrafficClass, Waiter[]>;
  /** Rate of the tokens requested. */
  readonly demand: TokenRateMeter;
  /** Rate of the tokens granted. */
  readonly usage: TokenRateMeter;
  /**
   * Numbers of the grants whose tokens may still be unused, by requesting
   * daemon.
   */
  readonly grants: Map<string, number[]>;
  limits: BucketLimits;
  /** Whether a task serves the waiting requests. */
  isServing: boolean;
  /** Whether a task borrows share from other zones. */
  isBorrowing: boolean;
  /** Whether a round of loan requests to other zones is running. */
  isRequestingLoans: boolean;
}

/** Prefix of the quota keys of rate limits. */
const RATE_KEY_PREFIX = 'rate/';

/** Number of buckets at which those that are full and unused are dropped. */
const CLEANUP_THRESHOLD_BUCKETS = 2048;

/**
 * Formats the quota key by which a workspace's owner is determined.
 *
 * @param workspace - name of the workspace
 */
export function formatRateKey(workspace: string): string {
  return `${RATE_KEY_PREFIX}${workspace}`;
}

/**
 * Parses the quota key of a workspace.
 *
 * @param key - quota key
 * @returns name of the workspace; undefined when the key is not one of a rate
 *     limit
 */
export function parseRateKey(key: string): string | undefined {
  return key.startsWith(RATE_KEY_PREFIX)
    ? key.slice(RATE_KEY_PREFIX.length)
    : undefined;
}

/**
 * Counts the requests that wait for tokens of a workspace.
 *
 * @param owned - the workspace
 */
export function countWaiters(owned: OwnedWorkspace): number {
  return (
    owned.waiters[TrafficClass.ONLINE].length +
    owned.waiters[TrafficClass.BATCH].length
  );
}

/** Holds the buckets and refills them. */
export class WorkspaceBuckets {
  private readonly workspaces = new Map<string, OwnedWorkspace>();

  /**
   * @param clock - source of time
   * @param environment - source of rates and bursts
   * @param shareHistory - source of this daemon's delegated shares
   */
  constructor(
    private readonly clock: Clock,
    private readonly environment: EnvironmentSource,
    private readonly shareHistory: ShareHistorySource,
  ) {}

  count(): number {
    return this.workspaces.size;
  }

  /** Lists the workspaces that have a bucket. */
  listAll(): OwnedWorkspace[] {
    return [...this.workspaces.values()];
  }

  /** Finds a workspace that has a bucket. */
  findExisting(name: string): OwnedWorkspace | undefined {
    return this.workspaces.get(name);
  }

  /**
   * Finds a workspace, creates its bucket if there is none, and applies the
   * rate and burst that are in force.
   *
   * @param name - name of the workspace
   * @returns undefined when the environment does not contain the workspace
   */
  findOrCreate(name: string): OwnedWorkspace | undefined {
    const limits = this.findLimits(name);
    if (limits === undefined) return undefined;
    let owned = this.workspaces.get(name);
    if (owned === undefined) {
      this.dropFullBuckets();
      owned = createOwnedWorkspace(name, limits);
      this.workspaces.set(name, owned);
    }
    const {bucket} = owned;
    bucket.setLimits(limits, () => this.getHistory(name, bucket));
    owned.limits = limits;
    return owned;
  }

  /**
   * Refills a bucket up to now.
   *
   * @param owned - the workspace
   * @returns until when no part of its delegated share can expire, monotonic
   *     milliseconds
   */
  refill(owned: OwnedWorkspace): number {
    const history = this.getHistory(owned.name, owned.bucket);
    owned.bucket.refill(history);
    return history.leasedUntilMs;
  }

  /**
   * Refills a bucket up to now, before tokens are granted from it.
   *
   * @param owned - the workspace
   * @returns until when no part of its share, delegated or borrowed, can
   *     expire, monotonic milliseconds; grants may not outlast it
   */
  refillForGrants(owned: OwnedWorkspace): number {
    const leasedUntilMs = this.refill(owned);
    const {bucket} = owned;
    const nowMs = this.clock.now();
    const hasLease = bucket.getDelegatedShare() > 0;
    const earliestMs = Math.min(
      hasLease ? leasedUntilMs : Number.POSITIVE_INFINITY,
      bucket.loans.borrowed.getFirstExpiryMs(nowMs),
    );
    return Number.isFinite(earliestMs) ? earliestMs : nowMs;
  }

  private findLimits(name: string): BucketLimits | undefined {
    const current = this.environment.getCurrent();
    const workspace = current?.findWorkspace(name);
    if (current === undefined || workspace === undefined) return undefined;
    let fleetSlots = 0;
    for (const zone of current.document.zones) fleetSlots += zone.slots;
    const {rate, burst, batchShare} = workspace;
    return {rate, burst, batchShare, fleetSlots};
  }

  private getHistory(name: string, bucket: OwnerBucket): ShareHistory {
    const key = formatRateKey(name);
    return this.shareHistory.getShareHistory(key, bucket.getRefilledUntilMs());
  }

  /**
   * Drops full buckets that are not in use. When such a bucket is needed again,
   * it is filled from the history of the delegated share.
   */
  private dropFullBuckets(): void {
    if (this.workspaces.size < CLEANUP_THRESHOLD_BUCKETS) return;
    for (const [name, owned] of this.workspaces) {
      if (countWaiters(owned) > 0 || owned.isBorrowing) continue;
      this.refill(owned);
      if (owned.bucket.isFull()) this.workspaces.delete(name);
    }
  }
}

function createOwnedWorkspace(
  name: string,
  limits: BucketLimits,
): OwnedWorkspace {
  return {
    name,
    bucket: new OwnerBucket(limits),
    waiters: {[TrafficClass.ONLINE]: [], [TrafficClass.BATCH]: []},
    demand: new TokenRateMeter(),
    usage: new TokenRateMeter(),
    grants: new Map(),
    limits,
    isServing: false,
    isBorrowing: false,
    isRequestingLoans: false,
  };
}
