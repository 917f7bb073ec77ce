/** The servers of one pool in one zone, kept in sync with the configuration. */
import type {EnvironmentIndex} from '@savoryspur/common';
import type {DelegatedShare} from '@savoryspur/fleet';
import type {
  AcquireSlotInput,
  SlotTrafficClass,
  Pool,
} from '@savoryspur/schema';
import {getCrashFingerprint} from './crash_fingerprint.js';
import type {CrashTracker} from './crash_tracker.js';
import {ServerSelector} from './server_selector.js';
import {type Grant, ServerSlots} from './server_slots.js';
import {TokenIntervalBaseline} from './token_interval_baseline.js';

/** Delegated share and time that apply to a decision about grants. */
export interface GrantBasis {
  share: DelegatedShare;
  /** Monotonic time, milliseconds. */
  nowMs: number;
}

/** The servers of one pool in one zone. */
export class PoolServers {
  private readonly servers = new Map<string, ServerSlots>();
  private readonly serversByGrant = new Map<string, ServerSlots>();
  private readonly selector = new ServerSelector();
  private readonly baseline = new TokenIntervalBaseline();
  private isInService = false;
  private pool: Pool | undefined;

  /**
   * @param poolName - name of the pool
   * @param zone - the availability zone
   */
  constructor(
    private readonly poolName: string,
    private readonly zone: string,
  ) {}

  /**
   * Lists all servers, including those that the configuration no longer lists
   * and that still have grants.
   */
  list(): ServerSlots[] {
    return [...this.servers.values()];
  }

  /** Finds a server by id. */
  find(serverId: string): ServerSlots | undefined {
    return this.servers.get(serverId);
  }

  /** Finds the server of a grant. */
  findByGrant(grantId: string): ServerSlots | undefined {
    return this.serversByGrant.get(grantId);
  }

  /**
   * Gets the pool; undefined if the configuration does not contain the pool.
   */
  getPool(): Pool | undefined {
    return this.pool;
  }

  /**
   * Tells whether the zone is in service, so that its servers may get new work.
   */
  isZoneInService(): boolean {
    return this.isInService;
  }

  /** Lists the grants on all servers. */
  listGrants(): Grant[] {
    return this.list().flatMap((server) => [...server.grants.values()]);
  }

  /** Adds a grant on a server. */
  add(server: ServerSlots, grant: Grant): void {
    server.add(grant);
    this.serversByGrant.set(grant.id, server);
  }

  /** Removes a grant; an unknown id is ignored. */
  remove(grantId: string): void {
    this.serversByGrant.get(grantId)?.remove(grantId);
    this.serversByGrant.delete(grantId);
  }

  /**
   * Applies a version of the configuration. A server that is listed again, or
   * whose zone is in service again, is treated as a new, cold server.
   *
   * @param index - the configuration; undefined before the first one
   * @returns servers that are new
   */
  applyEnvironment(index: EnvironmentIndex | undefined): ServerSlots[] {
    this.pool = index?.findPool(this.poolName);
    this.isInService = index?.isZoneIn(this.zone) ?? false;
    const pool = this.isInService ? this.pool : undefined;
    const listed = pool ? index?.listServers(this.poolName, this.zone) : [];
    const listedIds = new Set<string>();
    const added: ServerSlots[] = [];
    for (const server of listed ?? []) {
      if (!pool) break;
      listedIds.add(server.id);
      const known = this.servers.get(server.id);
      if (known?.isListed && known.server.url === server.url) {
        known.pool = pool;
        known.warmUp.applyPool(pool);
        continue;
      }
      added.push(
        this.replace(server.id, new ServerSlots(server, pool, this.baseline)),
      );
    }
    for (const server of this.servers.values()) {
      server.isListed = listedIds.has(server.server.id);
    }
    this.dropDrainedServers();
    this.selector.reset();
    return added;
  }

  /**
   * Drops servers that the configuration no longer lists and that have no
   * grants left.
   */
  dropDrainedServers(): void {
    for (const [id, server] of this.servers) {
      if (!server.isListed && server.grants.size === 0) this.servers.delete(id);
    }
    this.baseline.keepServers(new Set(this.servers.keys()));
  }

  /** Tells whether any server has a free slot for requests of a class. */
  hasFreeSlot(trafficClass: SlotTrafficClass, basis: GrantBasis): boolean {
    for (const server of this.servers.values()) {
      if (server.hasFreeSlot(trafficClass, basis.share, basis.nowMs))
        return true;
    }
    return false;
  }

  /**
   * Selects a server with a free slot for an acquire request. A suspect gets
   * no slot on a server that already runs a suspect, and no prefix affinity.
   *
   * @param input - the acquire request
   * @param tracker - tells which requests are suspects
   * @param basis - share and time of the decision
   * @returns undefined if no server has a free slot for the request
   */
  selectServer(
    input: AcquireSlotInput,
    tracker: CrashTracker,
    basis: GrantBasis,
  ): ServerSlots | undefined {
    const isSuspect =
      input.isSuspect || tracker.isSuspect(getCrashFingerprint(input));
    const candidates = this.listCandidates(input.trafficClass, basis);
    for (const candidate of candidates) {
      if (!candidate.isFree) continue;
      const isExcluded =
        input.excludedServers.includes(candidate.id) ||
        (isSuspect && hasSuspect(candidate.slots, tracker));
      if (isExcluded) candidate.isFree = false;
    }
    const prefixHash = isSuspect ? '' : input.prefixHash;
    return this.selector.selectServer(
      candidates,
      input.trafficClass,
      prefixHash,
    )?.slots;
  }

  private listCandidates(
    trafficClass: SlotTrafficClass,
    basis: GrantBasis,
  ): Array<{
    id: string;
    slots: ServerSlots;
    load: number;
    isWarm: boolean;
    isFree: boolean;
  }> {
    return this.list().map((slots) => ({
      id: slots.server.id,
      slots,
      load:
        slots.countUsedSlots(basis.nowMs) /
        Math.max(slots.computeLimit(basis.share), 1),
      isWarm: !slots.isCrashSuspected && slots.warmUp.isWarm(),
      isFree: slots.hasFreeSlot(trafficClass, basis.share, basis.nowMs),
    }));
  }

  /**
   * Adds a server; grants of a former server with the same id count on the new
   * server.
   */
  private replace(id: string, server: ServerSlots): ServerSlots {
    const former = this.servers.get(id);
    for (const grant of former?.grants.values() ?? []) this.add(server, grant);
    this.servers.set(id, server);
    return server;
  }
}

/** Tells whether a suspect request is in flight on a server. */
function hasSuspect(server: ServerSlots, tracker: CrashTracker): boolean {
  for (const grant of server.grants.values()) {
    if (tracker.isSuspect(getCrashFingerprint(grant))) return true;
  }
  return false;
}
