/**
 * Places that a daemon gives itself while it reaches no owner of a pool: few on
 * each server, since other daemons do the same, and hardly any on cold ones.
 */
import type {CallOutcome} from '@savoryspur/schema';
import type {BackendServer} from '../service_registry.js';
import {ColdServerLimiter} from './cold_server_limiter.js';
import {ServerHealth} from './server_health.js';

/** Part of a server's places, over all daemons, that may be used without an owner. */
const OVERCOMMIT = 1.5;

/** Fewest places that a daemon may use on a server without an owner. */
const MIN_PLACES = 2;

/** Places by which a server in another zone counts as fuller. */
const OTHER_ZONE_PENALTY = 0.5;

/** Places of one daemon on the servers of all services. */
export class LocalSlots {
  private readonly used = new Map<string, number>();
  private readonly coldGates = new Map<string, ColdServerLimiter>();
  private readonly health = new ServerHealth();

  /**
   * @param random - gives a number from 0 up to 1
   */
  constructor(private readonly random: () => number) {}

  /**
   * Chooses a server and takes a place on it.
   *
   * @param servers - servers that may get work
   * @param options - zone and number of daemons, requests a second to a cold
   *     server, batch or not, servers and zones to avoid
   * @param nowMs - monotonic milliseconds
   * @returns the server; undefined when none has a place
   */
  acquire(
    servers: readonly BackendServer[],
    options: {
      zone: string;
      daemons: number;
      coldRequestsPerSecond: number;
      isBatch: boolean;
      excluded: readonly string[];
      avoidedZones: readonly string[];
    },
    nowMs: number,
  ): BackendServer | undefined {
    let best: BackendServer | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    for (const server of servers) {
      if (options.excluded.includes(server.id)) continue;
      if (options.avoidedZones.includes(server.zone)) continue;
      if (!this.health.isUsable(server.id, '', nowMs)) continue;
      const coldLimit = options.coldRequestsPerSecond;
      if (!this.isColdAllowed(server, coldLimit, nowMs)) continue;
      const used = this.used.get(server.id) ?? 0;
      const limit = options.isBatch
        ? 1
        : Math.max(
            MIN_PLACES,
            Math.ceil((server.slots * OVERCOMMIT) / options.daemons),
          );
      if (used >= limit) continue;
      const isNear = server.zone === options.zone;
      const score =
        used +
        (isNear ? 0 : OTHER_ZONE_PENALTY) +
        this.health.getPenalty(server.id);
      if (score >= bestScore) continue;
      best = server;
      bestScore = score;
    }
    if (best) this.take(best, nowMs);
    return best;
  }

  /** Counts a place that was taken, by this daemon alone or through an owner. */
  add(serverId: string): void {
    this.used.set(serverId, (this.used.get(serverId) ?? 0) + 1);
  }

  /** Gives a place back. */
  release(serverId: string, outcome: CallOutcome, nowMs: number): void {
    const used = (this.used.get(serverId) ?? 0) - 1;
    if (used > 0) this.used.set(serverId, used);
    else this.used.delete(serverId);
    this.health.record(serverId, '', outcome, nowMs);
  }

  private take(server: BackendServer, nowMs: number): void {
    if (server.coldUntilMs > nowMs) this.getGate(server.id).spend(nowMs);
    this.add(server.id);
  }

  private isColdAllowed(
    server: BackendServer,
    limit: number,
    nowMs: number,
  ): boolean {
    if (server.coldUntilMs <= nowMs) {
      this.coldGates.delete(server.id);
      return true;
    }
    return this.getGate(server.id).hasBudget(limit, nowMs);
  }

  private getGate(serverId: string): ColdServerLimiter {
    const gate =
      this.coldGates.get(serverId) ?? new ColdServerLimiter(this.random);
    this.coldGates.set(serverId, gate);
    return gate;
  }
}
