/**
 * Admits requests within the rate limit of their workspace, by asking the daemon
 * that owns the rate limits of the fleet.
 */
import type {Clock, SavoryspurError} from '@savoryspur/common';
import type {PeerInfo} from '@savoryspur/schema';
import type {ResultAsync} from 'neverthrow';
import type {ServiceRegistry} from '../service_registry.js';
import type {EnvironmentView, Workspace} from '../environment.js';
import type {Membership} from '../peers/membership.js';
import type {OwnerSession} from '../peers/owner_session.js';
import {
  computeDelegationTtlMs,
  computeStandaloneShare,
  computeOwnerShare,
} from '../peers/fleet_share.js';
import {type RateDecision, RateLimiter} from './rate_limiter.js';

/** Key whose owner decides on the rate limits of all workspaces. */
export const RATE_LIMITS_KEY = 'limits';

/** Timeout of a call that asks the owner to admit a request, milliseconds. */
const ADMIT_TIMEOUT_MS = 150;

/** Decision on a request without a rate limit. */
const UNLIMITED: RateDecision = {isAdmitted: true, retryAfterMs: 0, share: 1};

/** Asks an owner on another daemon to admit one request of a workspace. */
export type AskRateOwner = (
  owner: PeerInfo,
  workspace: string,
  timeoutMs: number,
) => ResultAsync<RateDecision, SavoryspurError>;

/** Dependencies of a rate client. */
export interface RateClientOptions {
  clock: Clock;
  members: Membership;
  registry: ServiceRegistry<EnvironmentView>;
  askOwner: AskRateOwner;
}

/** Rate limiting of this daemon's requests, and of other daemons' requests while this daemon is the owner of the rate limits. */
export class RateClient {
  /** Token buckets that this daemon uses as the owner. */
  private readonly ownerLimiter = new RateLimiter();
  /** Token buckets that this daemon uses while it reaches no owner. */
  private readonly standaloneLimiter = new RateLimiter();
  private session: OwnerSession | undefined;

  /**
   * @param options - membership, service registry and the call to an owner
   */
  constructor(private readonly options: RateClientOptions) {}

  /** Sets the session with the owner of the rate limits. */
  setSession(session: OwnerSession): void {
    this.session = session;
  }

  /**
   * Records that another daemon delegates its share of all rate limits to this
   * daemon.
   *
   * @param delegator - host of the other daemon
   * @param periodMs - synchronization period of the other daemon, milliseconds
   */
  recordDelegation(delegator: string, periodMs: number): void {
    this.ownerLimiter.recordDelegation(
      delegator,
      this.options.clock.now(),
      computeDelegationTtlMs(periodMs),
    );
  }

  /**
   * Decides on one request of this daemon: by the owner, or standalone when the
   * owner doesn't answer.
   *
   * @param workspace - workspace of the request; undefined on public routes
   */
  async admit(workspace: Workspace | undefined): Promise<RateDecision> {
    if (!workspace || workspace.ratePerSecond <= 0) {
      return UNLIMITED;
    }
    const owner = this.session?.getOwner();
    if (!owner) return this.admitStandalone(workspace);
    if (owner.host === this.options.members.self.host) {
      return this.admitAsOwner(workspace.name);
    }
    const answer = await this.options.askOwner(
      owner,
      workspace.name,
      ADMIT_TIMEOUT_MS,
    );
    if (answer.isOk()) return answer.value;
    this.session?.recordCallError(owner, answer.error);
    return this.admitStandalone(workspace);
  }

  /**
   * Decides on one request of any daemon, as the owner of the rate limits.
   *
   * @param name - workspace of the request
   */
  admitAsOwner(name: string): RateDecision {
    const workspace = this.options.registry
      .getEnvironment()
      ?.findWorkspace(name);
    if (!workspace || workspace.ratePerSecond <= 0) {
      return UNLIMITED;
    }
    const nowMs = this.options.clock.now();
    const delegatedShares = this.ownerLimiter.countDelegators(nowMs) + 1;
    const share = computeOwnerShare(
      delegatedShares,
      this.options.members.getMembershipView(),
    );
    return this.ownerLimiter.admit(workspace, share, nowMs);
  }

  private admitStandalone(workspace: Workspace): RateDecision {
    const share = computeStandaloneShare(
      this.options.members.getMembershipView(),
    );
    return this.standaloneLimiter.admit(
      workspace,
      share,
      this.options.clock.now(),
    );
  }
}
