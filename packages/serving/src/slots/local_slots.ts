/**
 * Slots that a daemon grants itself while it is standalone, that is, while it
 * reaches no owner of a pool. It uses only a few slots of each server, since
 * other daemons may be standalone too, and hardly any of a cold server.
 */
import type {CallOutcome} from '@savoryspur/schema';
import type {BackendServer} from '../service_registry.js';
import {ColdServerLimiter} from './cold_server_limiter.js';
import {LocalShares} from './local_shares.js';
import {ServerHealth} from './server_health.js';

/** Slots of a server that all standalone daemons together may use, as a multiple of its actual slots. */
const OVERCOMMIT_FACTOR = 1.5;

/** Slots of a server that a standalone daemon may always use for online requests. */
const MIN_SLOTS_PER_SERVER = 2;

/** Load that is added to a server in another zone, slots. */
const OTHER_ZONE_PENALTY_SLOTS = 0.5;

/** Where a standalone daemon may take a slot. */
export interface LocalSlotOptions {
  /** Availability zone of this daemon. */
  zone: string;
  /** Number of daemons in the fleet. */
  daemons: number;
  /** Requests a second that this daemon may send to a cold server. */
  coldRequestsPerSecond: number;
  /** Whether the slot is for a batch item. */
  isBatch: boolean;
  /** Workspace of an online request; undefined where the environment names none. */
  workspace?: string;
  /** Ids of servers to avoid. */
  excluded: readonly string[];
  /** Zones that this daemon can't reach. */
  unreachableZones: readonly string[];
}

/** Slots that one daemon uses on the servers of all services. */
export class LocalSlots {
  private readonly usedByServer = new Map<string, number>();
  private readonly coldLimiters = new Map<string, ColdServerLimiter>();
  private readonly health = new ServerHealth();
  private readonly shares = new LocalShares();

  /**
   * @param random - returns a number in [0, 1); chooses among servers with the same load, since many daemons may decide standalone at once
   */
  constructor(private readonly random: () => number) {}

  /**
   * Chooses the server with the least load and takes a slot on it.
   *
   * @param servers - servers that accept new work
   * @param options - where the slot may be
   * @param nowMs - current time, monotonic milliseconds
   * @returns the server; undefined when no server has a usable slot
   */
  acquire(
    servers: readonly BackendServer[],
    options: LocalSlotOptions,
    nowMs: number,
  ): BackendServer | undefined {
    const {workspace, daemons} = options;
    if (workspace !== undefined && !options.isBatch) {
      this.shares.recordRequest(workspace, nowMs);
      const slots = sumOnlineLimits(servers, daemons);
      if (!this.shares.isAllowed(workspace, slots)) return undefined;
    }
    const candidates = servers.filter(({id}) => !options.excluded.includes(id));
    const usable = candidates.filter(({id}) =>
      this.health.isUsable(id, '', nowMs),
    );
    // All may be silent for one reason, which will end: their slots are still used.
    const silent = candidates.filter(({id}) =>
      this.health.isSilent(id, '', nowMs),
    );
    const chosen = usable.length > 0 ? usable : silent;
    const server = this.choose(chosen, options, nowMs);
    if (server) {
      this.take(server, nowMs);
      if (workspace !== undefined && !options.isBatch)
        this.shares.recordGrant(workspace);
    }
    return server;
  }

  private choose(
    servers: readonly BackendServer[],
    options: LocalSlotOptions,
    nowMs: number,
  ): BackendServer | undefined {
    let best: BackendServer | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    let ties = 1;
    for (const server of servers) {
      if (options.unreachableZones.includes(server.zone)) continue;
      const coldLimit = options.coldRequestsPerSecond;
      if (!this.isWithinColdLimit(server, coldLimit, nowMs)) continue;
      const used = this.usedByServer.get(server.id) ?? 0;
      const limit = options.isBatch
        ? 1
        : computeOnlineLimit(server, options.daemons);
      if (used >= limit) continue;
      const isSameZone = server.zone === options.zone;
      const score =
        used +
        (isSameZone ? 0 : OTHER_ZONE_PENALTY_SLOTS) +
        this.health.getLoadPenalty(server.id);
      if (score > bestScore) continue;
      ties = score === bestScore ? ties + 1 : 1;
      // Each of the servers with the lowest load is chosen with the same probability.
      if (ties > 1 && this.random() < 1 - 1 / ties) continue;
      best = server;
      bestScore = score;
    }
    return best;
  }

  /** Counts a slot that this daemon uses, granted by itself or by a pool owner. */
  recordGrant(serverId: string): void {
    this.usedByServer.set(serverId, (this.usedByServer.get(serverId) ?? 0) + 1);
  }

  /**
   * Releases a slot and records how the call to the server ended.
   *
   * @param serverId - the server
   * @param outcome - how the call ended
   * @param nowMs - current time, monotonic milliseconds
   * @param startedMs - when the slot was taken, monotonic milliseconds
   * @param workspace - workspace of the online request to which
   *     {@link LocalSlots.acquire} gave the slot, if it was given
   */
  release(
    serverId: string,
    outcome: CallOutcome,
    nowMs: number,
    startedMs: number,
    workspace?: string,
  ): void {
    if (workspace !== undefined) this.shares.recordRelease(workspace);
    const used = (this.usedByServer.get(serverId) ?? 0) - 1;
    if (used > 0) this.usedByServer.set(serverId, used);
    else this.usedByServer.delete(serverId);
    this.health.record(serverId, '', outcome, true, nowMs, startedMs);
  }

  private take(server: BackendServer, nowMs: number): void {
    if (server.coldUntilMs > nowMs)
      this.getColdLimiter(server.id).recordRequest(nowMs);
    this.recordGrant(server.id);
  }

  private isWithinColdLimit(
    server: BackendServer,
    limit: number,
    nowMs: number,
  ): boolean {
    if (server.coldUntilMs <= nowMs) {
      this.coldLimiters.delete(server.id);
      return true;
    }
    return this.getColdLimiter(server.id).hasBudget(limit, nowMs);
  }

  private getColdLimiter(serverId: string): ColdServerLimiter {
    const limiter =
      this.coldLimiters.get(serverId) ?? new ColdServerLimiter(this.random);
    this.coldLimiters.set(serverId, limiter);
    return limiter;
  }
}

/** Computes the slots of a server that a standalone daemon may use for online requests. */
function computeOnlineLimit({slots}: BackendServer, daemons: number): number {
  return Math.max(
    MIN_SLOTS_PER_SERVER,
    Math.ceil((slots * OVERCOMMIT_FACTOR) / daemons),
  );
}

function sumOnlineLimits(
  servers: readonly BackendServer[],
  daemons: number,
): number {
  let sum = 0;
  for (const server of servers) sum += computeOnlineLimit(server, daemons);
  return sum;
}
