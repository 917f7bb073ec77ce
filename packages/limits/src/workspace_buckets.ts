/** Workspaces with a bucket at this daemon. */
import type {Clock, EnvironmentSource} from '@savoryspur/common';
import type {ShareHistory, ShareHistorySource} from '@savoryspur/fleet';
import {
  type TokenAnswer,
  type TokenRequest,
  TrafficClass,
} from '@savoryspur/schema';
import {TokenRateMeter} from './token_rate_meter.js';
import {type BucketLimits, OwnerBucket} from './owner_bucket.js';

/** A request that waits for tokens. */
export interface Waiter {
  request: TokenRequest;
  /** Host and incarnation of the asking daemon. */
  asker: string;
  startedMs: number;
  deadlineMs: number;
  finish: (answer: TokenAnswer) => void;
}

/** State of one workspace at its owner. */
export interface OwnedWorkspace {
  readonly name: string;
  readonly bucket: OwnerBucket;
  readonly waiters: Record<TrafficClass, Waiter[]>;
  /** Tokens that were asked for. */
  readonly demand: TokenRateMeter;
  /** Tokens that were granted. */
  readonly usage: TokenRateMeter;
  /** Grants that the askers may still hold tokens of, by asker. */
  readonly grants: Map<string, number[]>;
  limits: BucketLimits;
  isServing: boolean;
  isBorrowing: boolean;
  /** Whether owners in other zones are being asked at this moment. */
  isAskingLoans: boolean;
}

/** Prefix of the keys of rate budgets. */
const KEY_PREFIX = 'rate/';

/** Buckets that are kept before full ones are dropped. */
const MAX_IDLE_BUCKETS = 2048;

/**
 * Formats the key by which a workspace's owner is found.
 *
 * @param workspace - name of the workspace
 */
export function formatRateKey(workspace: string): string {
  return `${KEY_PREFIX}${workspace}`;
}

/**
 * Finds the workspace of a key.
 *
 * @param key - key of a rate budget
 * @returns undefined when it is the key of another budget
 */
export function parseRateKey(key: string): string | undefined {
  return key.startsWith(KEY_PREFIX) ? key.slice(KEY_PREFIX.length) : undefined;
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

/** Finds buckets and keeps them up to date. */
export class WorkspaceBuckets {
  private readonly workspaces = new Map<string, OwnedWorkspace>();

  /**
   * @param clock - source of time
   * @param environment - rates and bursts
   * @param ledger - delegated shares
   */
  constructor(
    private readonly clock: Clock,
    private readonly environment: EnvironmentSource,
    private readonly ledger: ShareHistorySource,
  ) {}

  /** Counts the buckets. */
  count(): number {
    return this.workspaces.size;
  }

  /** Lists the workspaces with a bucket. */
  listOpen(): OwnedWorkspace[] {
    return [...this.workspaces.values()];
  }

  /** Finds the bucket of a workspace if there is one. */
  findOpen(name: string): OwnedWorkspace | undefined {
    return this.workspaces.get(name);
  }

  /**
   * Finds a workspace, with the rate and burst in force.
   *
   * @param name - name of the workspace
   * @returns undefined when the configuration does not have it
   */
  find(name: string): OwnedWorkspace | undefined {
    const limits = this.findLimits(name);
    if (limits === undefined) return undefined;
    let owned = this.workspaces.get(name);
    if (owned === undefined) {
      this.dropFullBuckets();
      owned = createOwned(name, limits);
      this.workspaces.set(name, owned);
    }
    const {bucket} = owned;
    bucket.setLimits(limits, () => this.getHistory(name, bucket));
    owned.limits = limits;
    return owned;
  }

  /**
   * Computes a bucket up to now.
   *
   * @param owned - the workspace
   * @returns the time until which its delegated share cannot lapse
   */
  refill(owned: OwnedWorkspace): number {
    const history = this.getHistory(owned.name, owned.bucket);
    owned.bucket.refill(history);
    return history.leasedUntilMs;
  }

  /**
   * Computes a bucket up to now.
   *
   * @param owned - the workspace
   * @returns the time until which no part of its share, lent parts included,
   *     can lapse
   */
  refillAll(owned: OwnedWorkspace): number {
    const backedUntilMs = this.refill(owned);
    const {bucket} = owned;
    const nowMs = this.clock.now();
    const isBacked = bucket.getBaseShare() > 0;
    const untilMs = Math.min(
      isBacked ? backedUntilMs : Number.POSITIVE_INFINITY,
      bucket.loans.borrowed.getFirstEndMs(nowMs),
    );
    return Number.isFinite(untilMs) ? untilMs : nowMs;
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
    return this.ledger.getShareHistory(key, bucket.getSettledMs());
  }

  /** A full bucket is computed anew from the history when it is needed. */
  private dropFullBuckets(): void {
    if (this.workspaces.size < MAX_IDLE_BUCKETS) return;
    for (const [name, owned] of this.workspaces) {
      if (countWaiters(owned) > 0 || owned.isBorrowing) continue;
      this.refill(owned);
      if (owned.bucket.isFull()) this.workspaces.delete(name);
    }
  }
}

function createOwned(name: string, limits: BucketLimits): OwnedWorkspace {
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
    isAskingLoans: false,
  };
}
