/**
 * Requests tokens of one workspace from its owner for the requests that wait on
 * this host, with one call at a time.
 */
import type {Clock} from '@savoryspur/common';
import {
  type TokenAnswer,
  type TokenRequest,
  TrafficClass,
} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';
import type {RateRefusal, RateRequest} from './contract.js';

/** Access to the owners of workspaces. */
export interface TokenSource {
  /**
   * Requests tokens from the owner.
   *
   * @param request - tokens requested
   * @returns the answer with the owner that sent it, or undefined when no owner
   *     answered
   */
  requestTokens(request: TokenRequest): Promise<OwnerAnswer | undefined>;
  /**
   * Records that the tokens of a grant were used or dropped.
   *
   * @param owner - owner that made the grant, as `host:incarnation`
   * @param workspace - workspace of the grant
   * @param grant - number of the grant
   */
  markSettled(owner: string, workspace: string, grant: number): void;
}

/** Answer of an owner. */
export interface OwnerAnswer {
  /** The owner, as `host:incarnation`. */
  owner: string;
  answer: TokenAnswer;
  /** When the tokens expire, monotonic milliseconds of this daemon. */
  validUntilMs: number;
}

/** A request on this host that waits for tokens. */
interface LocalWaiter {
  count: number;
  deadlineMs: number;
  finish: (result: Result<void, RateRefusal>) => void;
}

/**
 * Maximum number of tokens requested in one call, unless one request alone
 * needs more.
 */
const MAX_TOKENS_PER_CALL = 256;

/** Time between two calls while no owner holds a share, milliseconds. */
const OWNER_CHANGE_POLL_MS = 25;

/** Retry delay in refusals when no owner answered, milliseconds. */
const NO_OWNER_RETRY_AFTER_MS = 500;

/** Queue of the requests of one workspace and traffic class on this host. */
export class TokenRequester {
  private waiters: LocalWaiter[] = [];
  private isCalling = false;

  /**
   * @param workspace - name of the workspace
   * @param trafficClass - traffic class of the requests
   * @param clock - source of time
   * @param source - access to the owner
   */
  constructor(
    private readonly workspace: string,
    private readonly trafficClass: TrafficClass,
    private readonly clock: Clock,
    private readonly source: TokenSource,
  ) {}

  /** Tells whether no request waits and no call is in flight. */
  isIdle(): boolean {
    return this.waiters.length === 0 && !this.isCalling;
  }

  /**
   * Acquires tokens for one request.
   *
   * @param request - tokens requested and the longest wait
   * @returns nothing when the tokens are granted, otherwise the refusal
   */
  acquire(request: RateRequest): Promise<Result<void, RateRefusal>> {
    return new Promise((resolve) => {
      const waiter: LocalWaiter = {
        count: request.count,
        deadlineMs: this.clock.now() + request.maxWaitMs,
        finish: resolve,
      };
      request.signal?.addEventListener(
        'abort',
        () => this.refuseWaiter(waiter, 0),
        {once: true},
      );
      this.waiters.push(waiter);
      void this.runCalls();
    });
  }

  /** Sends one call after another as long as requests wait. */
  private async runCalls(): Promise<void> {
    if (this.isCalling) return;
    this.isCalling = true;
    while (this.waiters.length > 0) {
      const ownerAnswer = await this.source.requestTokens(this.createRequest());
      if (ownerAnswer === undefined) {
        this.refuseAll(NO_OWNER_RETRY_AFTER_MS);
      } else if (ownerAnswer.answer.granted === 0) {
        if (!ownerAnswer.answer.hasShare && (await this.waitForShare()))
          continue;
        this.refuseFirst(ownerAnswer.answer);
      } else {
        this.spendTokens(ownerAnswer);
      }
    }
    this.isCalling = false;
  }

  /**
   * Waits before the next call while the key moves from one owner to the next
   * and no owner holds a share.
   *
   * @returns whether the first request had time left to wait
   */
  private async waitForShare(): Promise<boolean> {
    const deadlineMs = this.waiters[0]?.deadlineMs ?? 0;
    const remainingMs = deadlineMs - this.clock.now();
    if (remainingMs <= 0) return false;
    await this.clock.sleep(Math.min(OWNER_CHANGE_POLL_MS, remainingMs));
    return true;
  }

  private createRequest(): TokenRequest {
    let count = 0;
    for (const waiter of this.waiters) count += waiter.count;
    const least = this.waiters[0]?.count ?? 1;
    const deadlineMs = this.waiters[0]?.deadlineMs ?? 0;
    return {
      workspace: this.workspace,
      batch: this.trafficClass === TrafficClass.BATCH,
      count: Math.max(least, Math.min(MAX_TOKENS_PER_CALL, count)),
      least,
      maxWaitMs: Math.max(0, deadlineMs - this.clock.now()),
      settled: 0,
    };
  }

  /**
   * Spends granted tokens on the waiting requests in their order. Expired
   * tokens and tokens that are left over are dropped.
   */
  private spendTokens(ownerAnswer: OwnerAnswer): void {
    const {owner, answer, validUntilMs} = ownerAnswer;
    let tokens = this.clock.now() < validUntilMs ? answer.granted : 0;
    for (;;) {
      const first = this.waiters[0];
      if (first === undefined || first.count > tokens) break;
      this.waiters.shift();
      tokens -= first.count;
      first.finish(ok(undefined));
    }
    this.source.markSettled(owner, this.workspace, answer.grant);
  }

  private refuseAll(retryAfterMs: number): void {
    const waiters = this.waiters;
    this.waiters = [];
    for (const waiter of waiters)
      waiter.finish(err({retryAfterMs, hasShare: false}));
  }

  /**
   * Refuses the first request and those whose deadline passes before the retry
   * delay of the answer ends.
   */
  private refuseFirst({retryAfterMs, hasShare}: TokenAnswer): void {
    const retryAtMs = this.clock.now() + retryAfterMs;
    const waiters = this.waiters;
    this.waiters = waiters.filter(
      (waiter, index) => index > 0 && waiter.deadlineMs > retryAtMs,
    );
    const remaining = new Set(this.waiters);
    for (const waiter of waiters) {
      if (!remaining.has(waiter)) waiter.finish(err({retryAfterMs, hasShare}));
    }
  }

  private refuseWaiter(waiter: LocalWaiter, retryAfterMs: number): void {
    const index = this.waiters.indexOf(waiter);
    if (index < 0) return;
    this.waiters.splice(index, 1);
    waiter.finish(err({retryAfterMs, hasShare: true}));
  }
}
