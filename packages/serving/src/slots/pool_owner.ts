/** Serves the places of one service to all daemons that take this one for its owner. */
import {type Clock, type EventLog, ServingEvent} from '@savoryspur/common';
import type {CallOutcome, HeldSlot} from '@savoryspur/schema';
import type {ServiceRegistry} from '../service_registry.js';
import type {EnvironmentView} from '../environment.js';
import {
  computeOwnerShare,
  SHARE_DELEGATION_TTL_MS,
  STANDALONE_SHARE_FACTOR,
} from '../peers/fleet_share.js';
import type {Membership} from '../peers/membership.js';
import {COLD_WINDOW_MS} from './cold_server_limiter.js';
import {
  type FinalDecision,
  SlotPool,
  type PoolRequest,
  RefusalReason,
  type SettledRequest,
} from './slot_pool.js';

/** Period in which waiting work, servers and limits are looked at again, milliseconds. */
const SETTLE_MS = 20;

/** Time without word from a holder after which its places are free, milliseconds: three synchronizations. */
const HOLDER_EXPIRY_MS = 1500;

/** Age below which a grant that a holder does not list may still be on its way, milliseconds. */
const GRANT_GRACE_MS = 500;

/** Time after the first holder came in which holders tell what they hold, and batch items get nothing, milliseconds. */
const TAKEOVER_MS = 600;

/**
 * Time after a holder came in which its part of the rate of cold servers counts
 * as that of a daemon without an owner, milliseconds: its former owner may use
 * the part until its delegation ends, and one window later that is forgotten.
 */
const COLD_TAKEOVER_MS = SHARE_DELEGATION_TTL_MS + COLD_WINDOW_MS;

/** Time for which a decision on queued work is kept for the daemon that asks for it, milliseconds. */
const DECISION_KEPT_MS = 1000;

/** Places in use, all places and waiting work of one pool. */
export interface PoolCounts {
  used: number;
  places: number;
  waiting: number;
}

/** Decision on work: now, or once a place is free. */
export type OwnerDecision =
  FinalDecision | {kind: 'queued'; decided: Promise<FinalDecision>};

/** When a holder synchronized, monotonic milliseconds. */
interface HolderContact {
  sinceMs: number;
  lastMs: number;
}

/** Waiter of one holder for grants to give back. */
interface YieldWaiter {
  finish: () => void;
}

/** Owner of one pool. */
export class PoolOwner {
  private readonly pool = new SlotPool();
  private readonly decisions = new Map<
    string,
    (decision: FinalDecision) => void
  >();
  /** Decisions on work that was queued for another daemon. */
  private readonly queued = new Map<string, Promise<FinalDecision>>();
  private readonly contacts = new Map<string, HolderContact>();
  private readonly yieldWaiters = new Map<string, YieldWaiter>();
  private timer: NodeJS.Timeout | undefined;
  private viewedMs = Number.NEGATIVE_INFINITY;
  /** When the first holder took this daemon for the owner, monotonic milliseconds. */
  private takeoverMs = Number.POSITIVE_INFINITY;

  /**
   * @param service - whose places it owns
   * @param members - the daemons that may hold places
   * @param registry - environment and servers in force
   * @param clock - source of time
   * @param log - event log
   */
  constructor(
    private readonly service: string,
    private readonly members: Pick<Membership, 'getMembershipView'>,
    private readonly registry: ServiceRegistry<EnvironmentView>,
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {}

  /** Counts places in use, all places and waiting work. */
  count(): PoolCounts {
    return {
      used: this.pool.countGrants(),
      places: this.pool.countPlaces(),
      waiting: this.pool.countWaiting(),
    };
  }

  /**
   * Decides on work, now or once a place is free.
   *
   * @param request - the work
   */
  acquire(request: PoolRequest): OwnerDecision {
    const nowMs = this.clock.now();
    this.updateView();
    if (request.isBatch && nowMs - this.takeoverMs < TAKEOVER_MS) {
      return {
        kind: 'refused',
        reason: RefusalReason.GAVE_UP,
        retryAfterMs: TAKEOVER_MS,
      };
    }
    const decision = this.pool.acquire(request, nowMs);
    if (decision.kind !== 'queued') return this.describe(decision);
    this.notifyYields();
    this.schedule();
    const decided = new Promise<FinalDecision>((resolve) => {
      this.decisions.set(request.grantId, resolve);
    });
    return {kind: 'queued', decided};
  }

  /** Keeps the decision on queued work for the daemon that asked. */
  keepDecision(grantId: string, decided: Promise<FinalDecision>): void {
    this.queued.set(grantId, decided);
    void decided.then(() => {
      setTimeout(() => this.queued.delete(grantId), DECISION_KEPT_MS);
    });
  }

  /** Finds the decision on queued work; undefined when none is kept. */
  findDecision(grantId: string): Promise<FinalDecision> | undefined {
    return this.queued.get(grantId);
  }

  /** Forgets work whose holder no longer wants it, and frees its place. */
  cancel(grantId: string, outcome: CallOutcome): void {
    this.pool.cancel(grantId);
    this.decisions.delete(grantId);
    this.queued.delete(grantId);
    this.release(grantId, outcome);
  }

  /** Takes a place back. */
  release(grantId: string, outcome: CallOutcome): void {
    const suspended = this.pool.release(grantId, outcome, this.clock.now());
    if (suspended !== undefined) {
      this.log.record(ServingEvent.SERVER_SUSPENDED, {
        peer: suspended,
        pool: this.service,
        outcome,
        grantId,
      });
    }
    this.grantFree();
  }

  /**
   * Takes in what a holder holds and waits for places that it has to give back.
   *
   * @param holder - the daemon
   * @param holdings - its places in use
   * @param waitMs - longest wait, milliseconds
   * @returns grants to give back
   */
  async sync(
    holder: string,
    holdings: readonly HeldSlot[],
    waitMs: number,
  ): Promise<string[]> {
    const nowMs = this.clock.now();
    this.expireHolders();
    if (this.contacts.size === 0) this.takeoverMs = nowMs;
    this.recordContact(holder);
    this.pool.updateHolder(holder, holdings, nowMs, GRANT_GRACE_MS);
    this.grantFree();
    if (!this.pool.hasYields(holder)) await this.waitForYields(holder, waitMs);
    this.recordContact(holder);
    return this.pool.takeYields(holder);
  }

  private recordContact(holder: string): void {
    const nowMs = this.clock.now();
    const known = this.contacts.get(holder);
    const isKept = known && nowMs - known.lastMs < SHARE_DELEGATION_TTL_MS;
    const sinceMs = isKept ? known.sinceMs : nowMs;
    this.contacts.set(holder, {sinceMs, lastMs: nowMs});
  }

  private waitForYields(holder: string, waitMs: number): Promise<void> {
    this.yieldWaiters.get(holder)?.finish();
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        if (this.yieldWaiters.get(holder) === waiter) {
          this.yieldWaiters.delete(holder);
        }
        resolve();
      };
      const waiter = {finish};
      const timer = setTimeout(finish, waitMs);
      this.yieldWaiters.set(holder, waiter);
    });
  }

  private notifyYields(): void {
    for (const [holder, waiter] of this.yieldWaiters) {
      if (this.pool.hasYields(holder)) waiter.finish();
    }
  }

  /** Takes over servers and limits that changed, at most once in each period. */
  private updateView(): void {
    const nowMs = this.clock.now();
    if (nowMs - this.viewedMs < SETTLE_MS) return;
    this.viewedMs = nowMs;
    this.pool.setColdLimit(this.computeColdLimit());
    this.pool.setServers(this.registry.listServers(this.service));
  }

  /** Computes the requests a second that this owner lets go to a cold server. */
  private computeColdLimit(): number {
    const service = this.registry.getEnvironment()?.findService(this.service);
    const whole = service?.coldRequestsPerSecond ?? 0;
    if (whole <= 0) return Number.POSITIVE_INFINITY;
    const nowMs = this.clock.now();
    let delegated = 0;
    for (const {sinceMs, lastMs} of this.contacts.values()) {
      if (nowMs - lastMs >= SHARE_DELEGATION_TTL_MS) continue;
      delegated +=
        nowMs - sinceMs < COLD_TAKEOVER_MS ? STANDALONE_SHARE_FACTOR : 1;
    }
    return (
      whole * computeOwnerShare(delegated, this.members.getMembershipView())
    );
  }

  private settle(): void {
    if (this.pool.countWaiting() > 0) {
      this.updateView();
      this.resolveSettled(this.pool.settle(this.clock.now()));
      this.schedule();
    }
    this.notifyYields();
  }

  private grantFree(): void {
    if (this.pool.countWaiting() === 0) return;
    this.updateView();
    this.resolveSettled(this.pool.grantFree(this.clock.now()));
  }

  private resolveSettled(settled: readonly SettledRequest[]): void {
    for (const {request, decision} of settled) {
      const resolve = this.decisions.get(request.grantId);
      this.decisions.delete(request.grantId);
      resolve?.(this.describe(decision));
    }
  }

  /** Adds what a refusal was decided by, for the log of the daemon that asked. */
  private describe(decision: FinalDecision): FinalDecision {
    if (decision.kind !== 'refused') return decision;
    const {used, places, waiting} = this.count();
    const reason = `${decision.reason} (${used} of ${places} places used, ${waiting} waiting)`;
    return {...decision, reason};
  }

  private schedule(): void {
    this.timer ??= setTimeout(() => {
      this.timer = undefined;
      this.settle();
    }, SETTLE_MS);
  }

  private expireHolders(): void {
    const oldestMs = this.clock.now() - HOLDER_EXPIRY_MS;
    for (const [holder, {lastMs}] of this.contacts) {
      if (lastMs >= oldestMs || this.yieldWaiters.has(holder)) continue;
      this.contacts.delete(holder);
      for (const grantId of this.pool.dropHolder(holder)) {
        this.decisions.delete(grantId);
        this.queued.delete(grantId);
      }
      this.log.record(ServingEvent.HOLDER_EXPIRED, {
        peer: holder,
        pool: this.service,
      });
    }
  }
}
