/**
 * Chooses the server of a slot pool that a request gets a slot on. Performs no
 * I/O; the current time is an argument of each call.
 */
import type {PlacementRule} from './placement_rule.js';
import type {PoolSlots} from './pool_slots.js';
import type {PoolRequest} from './pool_types.js';
import type {ServerHealth} from './server_health.js';
import {computeServerLoad, type PoolEntry} from './server_score.js';
import {isOfVersion} from './slot_allocator.js';
import type {ZoneCircuitBreakers} from './zone_circuit_breakers.js';

const NO_SERVER_IDS: ReadonlySet<string> = new Set();

/** Chooses among the servers of one pool. */
export class ServerChooser {
  private coldRequestsPerSecond = Number.POSITIVE_INFINITY;

  /**
   * @param slots - servers of the pool and the slots on them
   * @param health - suspensions of these servers
   * @param zoneBreakers - zones that daemons of other zones don't reach
   * @param rules - rules that restrict and weigh the servers
   */
  constructor(
    private readonly slots: PoolSlots,
    private readonly health: ServerHealth,
    private readonly zoneBreakers: ZoneCircuitBreakers,
    private readonly rules: readonly PlacementRule[],
  ) {}

  /**
   * Sets the warm-up rate limit of cold servers.
   *
   * @param requestsPerSecond - requests a second that the pool may send to each
   *     cold server; infinity for no limit
   */
  setColdServerLimit(requestsPerSecond: number): void {
    this.coldRequestsPerSecond = requestsPerSecond;
  }

  /**
   * Chooses the server with the least load among those that a request may get a
   * free slot on.
   *
   * @param request - the slot request
   * @param nowMs - current time, monotonic milliseconds
   * @returns undefined when no server has a slot for the request now
   */
  choose(request: PoolRequest, nowMs: number): PoolEntry | undefined {
    if (this.slots.countFree() === 0) return undefined;
    const excluded = this.findExcludedServers(request, nowMs);
    const candidates = [...this.slots.listEntries()].filter(
      ({server}) => isOfVersion(server, request) && !excluded.has(server.id),
    );
    const best = this.chooseCandidate(candidates, request, nowMs);
    if (best) return best;
    const {holder} = request;
    const isAnyUsable = candidates.some(
      (entry) =>
        this.isCallable(entry, request, false, nowMs) &&
        this.health.isUsable(entry.server.id, holder, nowMs),
    );
    if (isAnyUsable) return undefined;
    // All may be silent for one reason, which will end: their free slots are still offered.
    const silent = candidates.filter(({server}) =>
      this.health.isSilent(server.id, holder, nowMs),
    );
    return this.chooseCandidate(silent, request, nowMs, true);
  }

  private chooseCandidate(
    candidates: readonly PoolEntry[],
    request: PoolRequest,
    nowMs: number,
    isSilenceIgnored = false,
  ): PoolEntry | undefined {
    let best: PoolEntry | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    const forwardedIds = new Set(request.forwardedServerIds);
    for (const entry of candidates) {
      const isForwarded = isCallForwarded(entry, request, forwardedIds);
      if (!this.isEligible(entry, request, isForwarded, nowMs)) continue;
      if (
        !isSilenceIgnored &&
        !this.isSound(entry, request, isForwarded, nowMs)
      )
        continue;
      let score =
        computeServerLoad(entry, request, isForwarded, nowMs) +
        this.health.getLoadPenalty(entry.server.id);
      for (const rule of this.rules) {
        score += rule.getLoadPenalty(entry, request, nowMs);
      }
      if (score >= bestScore) continue;
      best = entry;
      bestScore = score;
    }
    return best;
  }

  /** Finds the servers that the request excludes; none when it excludes all servers of the pool that could run it. */
  private findExcludedServers(
    request: PoolRequest,
    nowMs: number,
  ): ReadonlySet<string> {
    if (request.excluded.length === 0) return NO_SERVER_IDS;
    const excluded = new Set(request.excluded);
    for (const entry of this.slots.listEntries()) {
      const {server} = entry;
      if (!isOfVersion(server, request) || excluded.has(server.id)) continue;
      if (this.isAllowedByRules(entry, request, nowMs)) return excluded;
    }
    return NO_SERVER_IDS;
  }

  private isEligible(
    entry: PoolEntry,
    request: PoolRequest,
    isForwarded: boolean,
    nowMs: number,
  ): boolean {
    const {slots, coldUntilMs} = entry.server;
    if (entry.used >= slots) return false;
    if (!this.isCallable(entry, request, isForwarded, nowMs)) return false;
    if (!this.isAllowedByRules(entry, request, nowMs)) return false;
    if (coldUntilMs <= nowMs) return true;
    return entry.coldLimiter.hasBudget(this.coldRequestsPerSecond, nowMs);
  }

  private isAllowedByRules(
    entry: PoolEntry,
    request: PoolRequest,
    nowMs: number,
  ): boolean {
    return this.rules.every((rule) => rule.isAllowed(entry, request, nowMs));
  }

  /** Whether the requesting daemon reaches the zone of a server. */
  private isCallable(
    {server: {zone}}: PoolEntry,
    request: PoolRequest,
    isForwarded: boolean,
    nowMs: number,
  ): boolean {
    if (request.unreachableZones?.includes(zone)) return false;
    return (
      isForwarded || this.zoneBreakers.isCallAllowed(request.zone, zone, nowMs)
    );
  }

  /** Whether a server is not suspended for a request. */
  private isSound(
    {server}: PoolEntry,
    request: PoolRequest,
    isForwarded: boolean,
    nowMs: number,
  ): boolean {
    // What the daemon's direct calls have shown doesn't concern forwarded ones.
    const holder = isForwarded ? undefined : request.holder;
    return this.health.isUsable(server.id, holder, nowMs);
  }
}

/** Whether the requesting daemon calls a server through another one. */
function isCallForwarded(
  {server}: PoolEntry,
  {forwardedZones}: PoolRequest,
  forwardedIds: ReadonlySet<string>,
): boolean {
  return (
    forwardedIds.has(server.id) ||
    forwardedZones?.includes(server.zone) === true
  );
}
