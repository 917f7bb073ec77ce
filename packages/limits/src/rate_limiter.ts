/** Keeps workspaces within rate and burst over all hosts. */
import type {Clock, EnvironmentSource} from '@savoryspur/common';
import {
  type MembershipView,
  formatHostIncarnation,
  type PeerCaller,
  type ShareHistorySource,
  type TokenHandover,
} from '@savoryspur/fleet';
import {
  type LoanAnswer,
  type LoanRequest,
  type PeerInfo,
  type TokenAnswer,
  type TokenRequest,
} from '@savoryspur/schema';
import type {TRPCClient} from '@trpc/client';
import type {Result} from 'neverthrow';
import {BucketHandover} from './bucket_handover.js';
import type {RateLimiter, RateRefusal, RateRequest} from './contract.js';
import {
  createLimitsRouter,
  type LimitsRootRouter,
  type LimitsRouter,
} from './limits_router.js';
import {OwnerService} from './owner_service.js';
import {ShareBorrower} from './share_borrower.js';
import {ShareLender} from './share_lender.js';
import {
  type SourcedAnswer,
  TokenRequester,
  type TokenSource,
} from './token_requester.js';
import {formatRateKey, WorkspaceBuckets} from './workspace_buckets.js';

/** What the limiter needs. */
export interface RateLimiterOptions {
  clock: Clock;
  environment: EnvironmentSource;
  view: MembershipView & ShareHistorySource;
  caller: PeerCaller<TRPCClient<LimitsRootRouter>>;
  /** Bound on a call to another daemon beside the wait, milliseconds. */
  callTimeoutMs: number;
  /** Time for which granted tokens are valid, milliseconds. */
  grantTermMs?: number;
}

/** State for operators. */
export interface RateLimiterStatus {
  /** Workspaces with a bucket at this host. */
  ownedWorkspaces: number;
  /** Requests admitted and refused on this host since it started. */
  admitted: number;
  refused: number;
  /** Tokens that came after their term. */
  lateTokens: number;
}

/** State of one workspace at its owner. */
export interface WorkspaceStatus {
  /** Part of the fleet's rate that is delegated here. */
  baseShare: number;
  /** Part of the fleet's rate that may be used here, with loans. */
  share: number;
  /** Tokens in the bucket and in the hands of askers. */
  tokens: number;
}

/** Time for which granted tokens are valid, milliseconds. */
const GRANT_TERM_MS = 200;

/** Owners that are tried in turn: the owner and the one before it. */
const MAX_OWNERS = 2;

/** Rate limiter of one daemon, with the part that other daemons call. */
export class FleetRateLimiter implements RateLimiter, TokenSource {
  /** Procedures for the others; mount as `limits` in the daemon's router. */
  readonly router: LimitsRouter;
  /** Moves tokens when this daemon or another one leaves. */
  readonly tokenHandover: TokenHandover;
  private readonly owner: OwnerService;
  private readonly book: WorkspaceBuckets;
  private readonly askers = new Map<string, TokenRequester>();
  private readonly settled = new Map<string, number>();
  private admitted = 0;
  private refused = 0;
  private lateTokens = 0;

  /**
   * @param options - clock, configuration and fleet
   */
  constructor(private readonly options: RateLimiterOptions) {
    const {clock, environment, view} = options;
    this.book = new WorkspaceBuckets(clock, environment, view);
    const borrower = new ShareBorrower({
      clock,
      book: this.book,
      view,
      requestLoan: (owner, request) => this.requestLoan(owner, request),
      onLoan: (owned) => this.owner.serveWaiters(owned),
    });
    const grantTermMs = options.grantTermMs ?? GRANT_TERM_MS;
    this.owner = new OwnerService({
      clock,
      book: this.book,
      grantTermMs,
      onDry: (owned) => borrower.start(owned),
    });
    this.tokenHandover = new BucketHandover({
      clock,
      book: this.book,
      owner: this.owner,
      ledger: view,
      grantTermMs,
    });
    const lender = new ShareLender(clock, this.book);
    this.router = createLimitsRouter({
      grantTokens: (caller, request) => this.owner.grantTokens(caller, request),
      lendShare: (caller, request) => lender.lendShare(caller, request),
    });
  }

  /** {@inheritDoc RateLimiter.acquire} */
  async acquire(request: RateRequest): Promise<Result<void, RateRefusal>> {
    const result = await this.getAsker(request).acquire(request);
    if (result.isOk()) this.admitted += 1;
    else this.refused += 1;
    return result;
  }

  /** {@inheritDoc TokenSource.requestTokens} */
  async requestTokens(
    request: TokenRequest,
  ): Promise<SourcedAnswer | undefined> {
    const {view} = this.options;
    const key = formatRateKey(request.workspace);
    const owners = view.listOwners(key, view.self.zone).slice(0, MAX_OWNERS);
    let last: SourcedAnswer | undefined;
    for (const owner of owners) {
      const sourced = await this.requestFrom(owner, request);
      if (sourced === undefined) continue;
      if (sourced.answer.hasShare) return sourced;
      last ??= sourced;
    }
    return last;
  }

  /** {@inheritDoc TokenSource.markSettled} */
  markSettled(owner: string, workspace: string, grant: number): void {
    if (owner === formatHostIncarnation(this.options.view.self)) {
      this.owner.markSettled(owner, workspace, grant);
    } else {
      this.settled.set(`${owner} ${workspace}`, grant);
    }
  }

  /** Gets the state for operators. */
  getStatus(): RateLimiterStatus {
    const {admitted, refused, lateTokens} = this;
    const ownedWorkspaces = this.book.count();
    return {ownedWorkspaces, admitted, refused, lateTokens};
  }

  /**
   * Gets the state of a workspace that has a bucket here.
   *
   * @param workspace - name of the workspace
   */
  getWorkspaceStatus(workspace: string): WorkspaceStatus | undefined {
    const owned = this.book.findOpen(workspace);
    if (owned === undefined) return undefined;
    this.book.refill(owned);
    return {
      baseShare: owned.bucket.getBaseShare(),
      share: owned.bucket.getShare(),
      tokens: owned.bucket.getHeldTokens(),
    };
  }

  private getAsker(request: RateRequest): TokenRequester {
    const {workspace, trafficClass} = request;
    const key = `${trafficClass} ${workspace}`;
    let asker = this.askers.get(key);
    if (asker === undefined) {
      asker = new TokenRequester(
        workspace,
        trafficClass,
        this.options.clock,
        this,
      );
      this.askers.set(key, asker);
    }
    return asker;
  }

  private async requestFrom(
    owner: PeerInfo,
    request: TokenRequest,
  ): Promise<SourcedAnswer | undefined> {
    const {clock, view} = this.options;
    const name = formatHostIncarnation(owner);
    const askedMs = clock.now();
    const settled = this.settled.get(`${name} ${request.workspace}`) ?? 0;
    const answer =
      owner.host === view.self.host
        ? await this.owner.grantTokens(name, request)
        : await this.requestRemote(owner, {...request, settled});
    if (answer === undefined) return undefined;
    const validUntilMs = askedMs + answer.waitedMs + answer.termMs;
    if (clock.now() >= validUntilMs) this.lateTokens += answer.granted;
    return {owner: name, answer, validUntilMs};
  }

  private async requestLoan(
    owner: PeerInfo,
    request: LoanRequest,
  ): Promise<LoanAnswer | undefined> {
    const answer = await this.options.caller.request<LoanAnswer>(
      owner,
      'limits.borrow',
      (client, signal) => client.limits.borrow.mutate(request, {signal}),
    );
    return answer.isOk() ? answer.value : undefined;
  }

  private async requestRemote(
    owner: PeerInfo,
    request: TokenRequest,
  ): Promise<TokenAnswer | undefined> {
    const {caller, callTimeoutMs: callMs} = this.options;
    const answer = await caller.request<TokenAnswer>(
      owner,
      'limits.acquire',
      (client, signal) => client.limits.acquire.mutate(request, {signal}),
      callMs + request.maxWaitMs,
    );
    return answer.isOk() ? answer.value : undefined;
  }
}

/**
 * Makes the rate limiter of one daemon.
 *
 * @param options - clock, configuration and fleet
 */
export function createRateLimiter(
  options: RateLimiterOptions,
): FleetRateLimiter {
  return new FleetRateLimiter(options);
}
