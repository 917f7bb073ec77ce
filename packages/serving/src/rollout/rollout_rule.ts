/** Placement rule that keeps the servers of a pool to what the rollout of its service allows. */
import type {CallOutcome, CallTimes} from '@savoryspur/schema';
import type {Grant} from '../slots/grant_table.js';
import type {
  PlacementCandidate,
  PlacementRule,
} from '../slots/placement_rule.js';
import type {PoolRequest, PoolServer} from '../slots/pool_types.js';
import {chooseCanaries} from './choose_canaries.js';
import {toCallEvidence} from './rollout_evidence.js';
import type {RolloutBounds} from './rollout_types.js';
import type {ServiceRollout} from './service_rollout.js';
import {VersionUse} from './version_use.js';

/** Load that is taken off an observed server, as a fraction of its slots: it gets the requests that the bound allows, also from other zones. */
const CANARY_BONUS = 0.25;

/** Components that the rule uses. */
export interface RolloutRuleOptions {
  /** Gets the rollout of the service; undefined without one. */
  getRollout: () => ServiceRollout | undefined;
  bounds: RolloutBounds;
  /** Counts a request by its software version. */
  countGrant: (softwareVersion: string) => void;
  /** Counts the outcome of a call by its software version. */
  countOutcome: (softwareVersion: string, outcome: CallOutcome) => void;
}

/** Rule of the pool of one service; without a rollout it allows everything. */
export class RolloutRule implements PlacementRule {
  private servers: readonly PoolServer[] = [];
  private canaries: ReadonlySet<string> = new Set();
  /** Software versions of the granted servers, by grant id. */
  private readonly versions = new Map<string, string>();

  /**
   * @param options - components that the rule uses
   */
  constructor(private readonly options: RolloutRuleOptions) {}

  /** {@inheritDoc PlacementRule.setServers} */
  setServers(servers: readonly PoolServer[]): void {
    this.servers = servers;
    const target = this.options.getRollout()?.getRow()?.target;
    if (target === undefined) return;
    const isTarget = (server: PoolServer): boolean =>
      server.softwareVersion === target;
    const targetServers = servers.filter(isTarget);
    this.canaries = chooseCanaries(
      targetServers,
      servers.length - targetServers.length,
      this.options.bounds.exposureShare,
      this.canaries,
    );
  }

  /** {@inheritDoc PlacementRule.isListed} */
  isListed({id, softwareVersion}: PoolServer): boolean {
    const use = this.options.getRollout()?.getUse(softwareVersion);
    if (use === VersionUse.OBSERVED) return this.canaries.has(id);
    return use !== VersionUse.NONE;
  }

  /** {@inheritDoc PlacementRule.isAllowed} */
  isAllowed({server}: PlacementCandidate, request: PoolRequest): boolean {
    const rollout = this.options.getRollout();
    if (!rollout) return true;
    return rollout.isGrantAllowed(
      server.softwareVersion,
      request.softwareVersion === server.softwareVersion,
      this.canaries.has(server.id),
    );
  }

  /** {@inheritDoc PlacementRule.getLoadPenalty} */
  getLoadPenalty({server}: PlacementCandidate): number {
    const use = this.options.getRollout()?.getUse(server.softwareVersion);
    return use === VersionUse.OBSERVED ? -CANARY_BONUS : 0;
  }

  /** {@inheritDoc PlacementRule.recordGrant} */
  recordGrant(grant: Grant, {softwareVersion}: PoolServer): void {
    const rollout = this.options.getRollout();
    if (!rollout) return;
    rollout.recordGrant(softwareVersion);
    if (!rollout.isDecider()) return;
    this.versions.set(grant.grantId, softwareVersion);
    this.options.countGrant(softwareVersion);
    this.dropOldest();
  }

  /** {@inheritDoc PlacementRule.recordRelease} */
  recordRelease(
    grant: Grant,
    outcome: CallOutcome,
    times: CallTimes | undefined,
  ): void {
    const rollout = this.options.getRollout();
    const softwareVersion =
      this.versions.get(grant.grantId) ?? this.findVersion(grant.serverId);
    this.versions.delete(grant.grantId);
    if (!rollout || softwareVersion === undefined) return;
    if (rollout.isDecider()) {
      this.options.countOutcome(softwareVersion, outcome);
    }
    const {serverId} = grant;
    const route = times?.route ?? '';
    const call = {route, softwareVersion, serverId};
    const evidence = toCallEvidence(call, outcome, times);
    if (evidence) rollout.recordCall(evidence);
  }

  /** Finds the version of a server whose slot a former owner of the pool granted. */
  private findVersion(serverId: string): string | undefined {
    if (!this.options.getRollout()) return undefined;
    return this.servers.find(({id}) => id === serverId)?.softwareVersion;
  }

  /** Drops the versions of grants that ended without a release, whose number is unbounded. */
  private dropOldest(): void {
    for (const grantId of this.versions.keys()) {
      if (this.versions.size <= MAX_GRANTS) return;
      this.versions.delete(grantId);
    }
  }
}

/** Largest number of grants whose version is known: several times the slots of the largest pool. */
const MAX_GRANTS = 100_000;
