/** The servers of one pool in one zone, in step with the configuration. */
import type {EnvironmentIndex} from '@savoryspur/common';
import type {DelegatedShare} from '@savoryspur/fleet';
import type {
  AcquireSlotInput,
  SlotTrafficClass,
  Pool,
} from '@savoryspur/schema';
import type {CrashTracker} from './crash_tracker.js';
import {ServerSelector} from './server_selector.js';
import {type Grant, ServerSlots} from './server_slots.js';
import {TokenIntervalBaseline} from './token_interval_baseline.js';

/** The moment and share for which a choice is made. */
export interface GrantMoment {
  share: DelegatedShare;
  nowMs: number;
}

/** The servers of one pool in one zone. */
export class PoolServers {
  private readonly servers = new Map<string, ServerSlots>();
  private readonly serverOfGrant = new Map<string, ServerSlots>();
  private readonly chooser = new ServerSelector();
  private readonly pace = new TokenIntervalBaseline();
  private isZoneIn = false;
  private pool: Pool | undefined;

  /**
   * @param poolName - the pool
   * @param zone - the availability zone
   */
  constructor(
    private readonly poolName: string,
    private readonly zone: string,
  ) {}

  /** Lists all servers, also those that leave. */
  list(): ServerSlots[] {
    return [...this.servers.values()];
  }

  /** Finds a server. */
  find(serverId: string): ServerSlots | undefined {
    return this.servers.get(serverId);
  }

  /** Finds the server of a place in use. */
  findByGrant(grantId: string): ServerSlots | undefined {
    return this.serverOfGrant.get(grantId);
  }

  /** Gets the pool; undefined when the configuration has none. */
  getPool(): Pool | undefined {
    return this.pool;
  }

  /** Tells whether the zone takes new work. */
  isIn(): boolean {
    return this.isZoneIn;
  }

  /** Lists the places in use. */
  listGrants(): Grant[] {
    return this.list().flatMap((server) => [...server.grants.values()]);
  }

  /** Adds a place in use. */
  add(server: ServerSlots, grant: Grant): void {
    server.add(grant);
    this.serverOfGrant.set(grant.id, server);
  }

  /** Removes a place in use. */
  remove(grantId: string): void {
    this.serverOfGrant.get(grantId)?.remove(grantId);
    this.serverOfGrant.delete(grantId);
  }

  /**
   * Follows a version of the configuration. A server that is listed again, or
   * whose zone is in again, is a new and cold one.
   *
   * @returns servers that are new
   */
  apply(index: EnvironmentIndex | undefined): ServerSlots[] {
    this.pool = index?.findPool(this.poolName);
    this.isZoneIn = index?.isZoneIn(this.zone) ?? false;
    const pool = this.isZoneIn ? this.pool : undefined;
    const listed = pool ? index?.listServers(this.poolName, this.zone) : [];
    const names = new Set<string>();
    const added: ServerSlots[] = [];
    for (const server of listed ?? []) {
      if (!pool) break;
      names.add(server.id);
      const known = this.servers.get(server.id);
      if (known?.isListed && known.server.url === server.url) {
        known.pool = pool;
        known.warmth.apply(pool);
        continue;
      }
      added.push(
        this.replace(server.id, new ServerSlots(server, pool, this.pace)),
      );
    }
    for (const server of this.servers.values()) {
      server.isListed = names.has(server.server.id);
    }
    this.dropEmpty();
    this.chooser.reset();
    return added;
  }

  /** Forgets servers that left and are empty. */
  dropEmpty(): void {
    for (const [id, server] of this.servers) {
      if (!server.isListed && server.grants.size === 0) this.servers.delete(id);
    }
    this.pace.keep(new Set(this.servers.keys()));
  }

  /** Tells whether any server has a free place for a class. */
  hasFree(trafficClass: SlotTrafficClass, moment: GrantMoment): boolean {
    for (const server of this.servers.values()) {
      if (server.isFree(trafficClass, moment.share, moment.nowMs)) return true;
    }
    return false;
  }

  /**
   * Chooses a server for a wish.
   *
   * @param input - the wish
   * @param crashes - suspects, which run alone among suspects on a server
   * @param moment - share and time
   */
  choose(
    input: AcquireSlotInput,
    crashes: CrashTracker,
    moment: GrantMoment,
  ): ServerSlots | undefined {
    const isSuspect = input.isSuspect || crashes.isSuspect(input.fingerprint);
    const candidates = this.listCandidates(input.trafficClass, moment);
    for (const candidate of candidates) {
      if (!candidate.isFree) continue;
      const isBarred =
        input.excludedServers.includes(candidate.id) ||
        (isSuspect && hasSuspect(candidate.places, crashes));
      if (isBarred) candidate.isFree = false;
    }
    const prefixHash = isSuspect ? '' : input.prefixHash;
    return this.chooser.choose(candidates, input.trafficClass, prefixHash)
      ?.places;
  }

  private listCandidates(
    trafficClass: SlotTrafficClass,
    moment: GrantMoment,
  ): Array<{
    id: string;
    places: ServerSlots;
    load: number;
    isWarm: boolean;
    isFree: boolean;
  }> {
    return this.list().map((places) => ({
      id: places.server.id,
      places,
      load:
        places.countUsed(moment.nowMs) /
        Math.max(places.computeLimit(moment.share), 1),
      isWarm: !places.isDoubted && places.warmth.isWarm(),
      isFree: places.isFree(trafficClass, moment.share, moment.nowMs),
    }));
  }

  /** Puts a server in the place of one that left, which keeps its grants. */
  private replace(id: string, server: ServerSlots): ServerSlots {
    const old = this.servers.get(id);
    for (const grant of old?.grants.values() ?? []) this.add(server, grant);
    this.servers.set(id, server);
    return server;
  }
}

/** Tells whether a suspect is in flight on a server. */
function hasSuspect(server: ServerSlots, crashes: CrashTracker): boolean {
  for (const grant of server.grants.values()) {
    if (crashes.isSuspect(grant.fingerprint)) return true;
  }
  return false;
}
