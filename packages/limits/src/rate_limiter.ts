/** Enforces the rates and bursts of workspaces across all hosts. */
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
  type OwnerAnswer,
  TokenRequester,
  type TokenSource,
} from './token_requester.js';
import {formatRateKey, WorkspaceBuckets} from './workspace_buckets.js';

/** Dependencies and settings of {@link FleetRateLimiter}. */
export interface RateLimiterOptions {
  clock: Clock;
  environment: EnvironmentSource;
  view: MembershipView & ShareHistorySource;
  caller: PeerCaller<TRPCClient<LimitsRootRouter>>;
  /** Time limit of a call, in addition to its `maxWaitMs`, milliseconds. */
  callTimeoutMs: number;
  /** Time for which granted tokens are valid, milliseconds. */
  grantTermMs?: number;
}

/** State of the rate limiter, shown to operators. */
export interface RateLimiterStatus {
  /** Workspaces with a bucket at this host. */
  ownedWorkspaces: number;
  /** Requests admitted and refused on this host since it started. */
  admitted: number;
  refused: number;
  /** Granted tokens that arrived after their term. */
  lateTokens: number;
}

/** State of one workspace at its owner. */
export interface WorkspaceStatus {
  /** Share of the rate that is delegated to this daemon. */
  delegatedShare: number;
  /** Share of the rate that may be used here, loans included. */
  effectiveShare: number;
  /** Tokens in the bucket and those that other daemons hold. */
  tokens: number;
}

/** Default time for which granted tokens are valid, milliseconds. */
const DEFAULT_GRANT_TERM_MS = 200;

/**
 * Maximum number of owners to which a request is sent in turn: the owner, and
 * its predecessor while that one hands the key over.
 */
const MAX_OWNERS_TRIED = 2;

/** Rate limiter of one daemon: its own requests and those of other daemons. */
export class FleetRateLimiter implements RateLimiter, TokenSource {
  /** Procedures for other daemons; mount as `limits` in the daemon's router. */
  readonly router: LimitsRouter;
  /** Handover of tokens when this or another daemon stops. */
  readonly tokenHandover: TokenHandover;
  private readonly ownerService: OwnerService;
  private readonly buckets: WorkspaceBuckets;
  private readonly requesters = new Map<string, TokenRequester>();
  /**
   * Newest grant of each remote owner and workspace whose tokens were used or
   * dropped; the next request reports it to the owner.
   */
  private readonly settledGrants = new Map<string, number>();
  private admitted = 0;
  private refused = 0;
  private lateTokens = 0;

  /**
   * @param options - clock, environment and fleet
   */
  constructor(private readonly options: RateLimiterOptions) {
    const {clock, environment, view} = options;
    this.buckets = new WorkspaceBuckets(clock, environment, view);
    const borrower = new ShareBorrower({
      clock,
      buckets: this.buckets,
      view,
      requestLoan: (owner, request) => this.requestLoan(owner, request),
      onRoundFinished: (owned) => this.ownerService.serveWaiters(owned),
    });
    const grantTermMs = options.grantTermMs ?? DEFAULT_GRANT_TERM_MS;
    this.ownerService = new OwnerService({
      clock,
      buckets: this.buckets,
      grantTermMs,
      onWaiting: (owned) => borrower.start(owned),
    });
    this.tokenHandover = new BucketHandover({
      clock,
      buckets: this.buckets,
      ownerService: this.ownerService,
      shareHistory: view,
      grantTermMs,
    });
    const lender = new ShareLender(clock, this.buckets);
    this.router = createLimitsRouter({
      grantTokens: (caller, request) =>
        this.ownerService.grantTokens(caller, request),
      lendShare: (caller, request) => lender.lendShare(caller, request),
    });
  }

  /** {@inheritDoc RateLimiter.acquire} */
  async acquire(request: RateRequest): Promise<Result<void, RateRefusal>> {
    const result = await this.getRequester(request).acquire(request);
    if (result.isOk()) this.admitted += 1;
    else this.refused += 1;
    return result;
  }

  /** {@inheritDoc TokenSource.requestTokens} */
  async requestTokens(request: TokenRequest): Promise<OwnerAnswer | undefined> {
    const {view} = this.options;
    const key = formatRateKey(request.workspace);
    const owners = view
      .listOwners(key, view.self.zone)
      .slice(0, MAX_OWNERS_TRIED);
    let lastAnswer: OwnerAnswer | undefined;
    for (const owner of owners) {
      const ownerAnswer = await this.requestFromOwner(owner, request);
      if (ownerAnswer === undefined) continue;
      if (ownerAnswer.answer.hasShare) return ownerAnswer;
      lastAnswer ??= ownerAnswer;
    }
    return lastAnswer;
  }

  /** {@inheritDoc TokenSource.markSettled} */
  markSettled(owner: string, workspace: string, grant: number): void {
    if (owner === formatHostIncarnation(this.options.view.self)) {
      this.ownerService.markSettled(owner, workspace, grant);
    } else {
      this.settledGrants.set(`${owner} ${workspace}`, grant);
    }
  }

  /** Gets the state that is shown to operators. */
  getStatus(): RateLimiterStatus {
    const {admitted, refused, lateTokens} = this;
    const ownedWorkspaces = this.buckets.count();
    return {ownedWorkspaces, admitted, refused, lateTokens};
  }

  /**
   * Gets the state of a workspace that has a bucket here.
   *
   * @param workspace - name of the workspace
   * @returns undefined when the workspace has no bucket here
   */
  getWorkspaceStatus(workspace: string): WorkspaceStatus | undefined {
    const owned = this.buckets.findExisting(workspace);
    if (owned === undefined) return undefined;
    this.buckets.refill(owned);
    return {
      delegatedShare: owned.bucket.getDelegatedShare(),
      effectiveShare: owned.bucket.getEffectiveShare(),
      tokens: owned.bucket.getTotalTokens(),
    };
  }

  private getRequester(request: RateRequest): TokenRequester {
    const {workspace, trafficClass} = request;
    const key = `${trafficClass} ${workspace}`;
    let requester = this.requesters.get(key);
    if (requester === undefined) {
      requester = new TokenRequester(
        workspace,
        trafficClass,
        this.options.clock,
        this,
      );
      this.requesters.set(key, requester);
    }
    return requester;
  }

  private async requestFromOwner(
    owner: PeerInfo,
    request: TokenRequest,
  ): Promise<OwnerAnswer | undefined> {
    const {clock, view} = this.options;
    const ownerName = formatHostIncarnation(owner);
    const sentAtMs = clock.now();
    const settled =
      this.settledGrants.get(`${ownerName} ${request.workspace}`) ?? 0;
    const answer =
      owner.host === view.self.host
        ? await this.ownerService.grantTokens(ownerName, request)
        : await this.callOwner(owner, {...request, settled});
    if (answer === undefined) return undefined;
    const validUntilMs = sentAtMs + answer.waitedMs + answer.termMs;
    if (clock.now() >= validUntilMs) this.lateTokens += answer.granted;
    return {owner: ownerName, answer, validUntilMs};
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

  private async callOwner(
    owner: PeerInfo,
    request: TokenRequest,
  ): Promise<TokenAnswer | undefined> {
    const {caller, callTimeoutMs} = this.options;
    const answer = await caller.request<TokenAnswer>(
      owner,
      'limits.acquire',
      (client, signal) => client.limits.acquire.mutate(request, {signal}),
      callTimeoutMs + request.maxWaitMs,
    );
    return answer.isOk() ? answer.value : undefined;
  }
}

/**
 * Creates the rate limiter of one daemon.
 *
 * @param options - clock, environment and fleet
 */
export function createRateLimiter(
  options: RateLimiterOptions,
): FleetRateLimiter {
  return new FleetRateLimiter(options);
}
