/**
 * Asks the owner of one workspace for the tokens that requests on this host
 * wait for, in one call at a time.
 */
import type {Clock} from '@savoryspur/common';
import {
  type TokenAnswer,
  type TokenRequest,
  TrafficClass,
} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';
import type {RateRefusal, RateRequest} from './contract.js';

/** How tokens are asked for. */
export interface TokenSource {
  /**
   * Asks the owner.
   *
   * @param request - tokens wanted
   * @returns the answer and who gave it, or undefined when no owner answered
   */
  requestTokens(request: TokenRequest): Promise<SourcedAnswer | undefined>;
  /** Notes that the tokens of a grant were used or dropped. */
  markSettled(owner: string, workspace: string, grant: number): void;
}

/** An answer with the daemon that gave it. */
export interface SourcedAnswer {
  /** Host and incarnation of the owner. */
  owner: string;
  answer: TokenAnswer;
  /** When the tokens are no longer valid, on this daemon's clock. */
  validUntilMs: number;
}

/** A request on this host that waits for tokens. */
interface LocalWaiter {
  count: number;
  deadlineMs: number;
  finish: (result: Result<void, RateRefusal>) => void;
}

/** Most tokens in one call. */
const MAX_CALL_TOKENS = 256;

/** Time between two calls while no owner holds a share, milliseconds. */
const SHARE_POLL_MS = 25;

/** When a new try is worth it when no owner answered, milliseconds. */
const NO_OWNER_RETRY_MS = 500;

/** Tokens of one workspace and traffic class for this host. */
export class TokenRequester {
  private waiters: LocalWaiter[] = [];
  private isAsking = false;

  /**
   * @param workspace - workspace
   * @param trafficClass - kind of work
   * @param clock - source of time
   * @param source - how to ask the owner
   */
  constructor(
    private readonly workspace: string,
    private readonly trafficClass: TrafficClass,
    private readonly clock: Clock,
    private readonly source: TokenSource,
  ) {}

  /** Tells whether nobody waits. */
  isIdle(): boolean {
    return this.waiters.length === 0 && !this.isAsking;
  }

  /**
   * Waits for tokens.
   *
   * @param request - tokens wanted and the longest wait
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

  /** One call after the other, for as long as requests wait. */
  private async runCalls(): Promise<void> {
    if (this.isAsking) return;
    this.isAsking = true;
    while (this.waiters.length > 0) {
      const sourced = await this.source.requestTokens(this.createRequest());
      if (sourced === undefined) {
        this.refuseAll(NO_OWNER_RETRY_MS);
      } else if (sourced.answer.granted === 0) {
        if (!sourced.answer.hasShare && (await this.waitForShare())) continue;
        this.refuseFirst(sourced.answer);
      } else {
        this.spendTokens(sourced);
      }
    }
    this.isAsking = false;
  }

  /**
   * Waits a little while a budget changes its owner.
   *
   * @returns whether the first request may still wait
   */
  private async waitForShare(): Promise<boolean> {
    const deadlineMs = this.waiters[0]?.deadlineMs ?? 0;
    const leftMs = deadlineMs - this.clock.now();
    if (leftMs <= 0) return false;
    await this.clock.sleep(Math.min(SHARE_POLL_MS, leftMs));
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
      count: Math.max(least, Math.min(MAX_CALL_TOKENS, count)),
      least,
      maxWaitMs: Math.max(0, deadlineMs - this.clock.now()),
      settled: 0,
    };
  }

  /** Tokens that come too late are dropped; tokens left over are lost. */
  private spendTokens(sourced: SourcedAnswer): void {
    const {owner, answer, validUntilMs} = sourced;
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
    const waiting = this.waiters;
    this.waiters = [];
    for (const waiter of waiting)
      waiter.finish(err({retryAfterMs, hasShare: false}));
  }

  /** Refuses the first request and those that a later try cannot help. */
  private refuseFirst({retryAfterMs, hasShare}: TokenAnswer): void {
    const retryAtMs = this.clock.now() + retryAfterMs;
    const waiting = this.waiters;
    this.waiters = waiting.filter(
      (waiter, index) => index > 0 && waiter.deadlineMs > retryAtMs,
    );
    const kept = new Set(this.waiters);
    for (const waiter of waiting) {
      if (!kept.has(waiter)) waiter.finish(err({retryAfterMs, hasShare}));
    }
  }

  private refuseWaiter(waiter: LocalWaiter, retryAfterMs: number): void {
    const index = this.waiters.indexOf(waiter);
    if (index < 0) return;
    this.waiters.splice(index, 1);
    waiter.finish(err({retryAfterMs, hasShare: true}));
  }
}
