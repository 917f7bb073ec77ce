/** Admits requests by the rate of their workspace, through the owner of the limits. */
import type {Clock, SavoryspurError} from '@savoryspur/common';
import type {PeerInfo} from '@savoryspur/schema';
import type {ResultAsync} from 'neverthrow';
import type {ServiceRegistry} from '../service_registry.js';
import type {EnvironmentView, Workspace} from '../environment.js';
import type {Membership} from '../peers/membership.js';
import type {OwnerSession} from '../peers/owner_session.js';
import {
  computeStandaloneShare,
  computeOwnerShare,
} from '../peers/fleet_share.js';
import {type RateDecision, RatePool} from './rate_pool.js';

/** Key whose owner keeps the limits. */
export const LIMITS_KEY = 'limits';

/** Bound on one admission by the owner, milliseconds. */
const ADMIT_MS = 150;

/** Decision on a request of a workspace without a rate. */
const UNLIMITED: RateDecision = {isAdmitted: true, retryAfterMs: 0, share: 1};

/** Asks an owner that is another daemon. */
export type AskRateOwner = (
  owner: PeerInfo,
  workspace: string,
  timeoutMs: number,
) => ResultAsync<RateDecision, SavoryspurError>;

/** What the admission by rate needs. */
export interface RateClientOptions {
  clock: Clock;
  members: Membership;
  registry: ServiceRegistry<EnvironmentView>;
  askOwner: AskRateOwner;
}

/** Admission by rate, as a daemon that asks and as the owner that answers. */
export class RateClient {
  private readonly owned = new RatePool();
  private readonly lone = new RatePool();
  private session: OwnerSession | undefined;

  /**
   * @param options - membership, workspaces and the call to an owner
   */
  constructor(private readonly options: RateClientOptions) {}

  /** Sets the session with the owner of the limits. */
  setSession(session: OwnerSession): void {
    this.session = session;
  }

  /** Notes that a daemon delegates its share to this one. */
  recordDelegation(holder: string): void {
    this.owned.recordDelegation(holder, this.options.clock.now());
  }

  /**
   * Decides on one request.
   *
   * @param workspace - workspace of the request; undefined on public routes
   */
  async admit(workspace: Workspace | undefined): Promise<RateDecision> {
    if (!workspace || workspace.ratePerSecond <= 0) {
      return UNLIMITED;
    }
    const owner = this.session?.getOwner();
    if (!owner) return this.admitAlone(workspace);
    if (owner.host === this.options.members.self.host) {
      return this.admitAsOwner(workspace.name);
    }
    const answer = await this.options.askOwner(owner, workspace.name, ADMIT_MS);
    if (answer.isOk()) return answer.value;
    this.session?.recordFailure(owner);
    return this.admitAlone(workspace);
  }

  /**
   * Decides as the owner of the limits.
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
    const delegated = this.owned.countDelegators(nowMs) + 1;
    const share = computeOwnerShare(
      delegated,
      this.options.members.getMembershipView(),
    );
    return this.owned.admit(workspace, share, nowMs);
  }

  private admitAlone(workspace: Workspace): RateDecision {
    const share = computeStandaloneShare(
      this.options.members.getMembershipView(),
    );
    return this.lone.admit(workspace, share, this.options.clock.now());
  }
}
