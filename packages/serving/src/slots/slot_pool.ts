/**
 * Decides which work gets which place on the servers of one service: who waits,
 * who is refused, which batch item gives way. Does no input or output; time is
 * an argument of each call.
 */
import {CallOutcome, type HeldSlot} from '@savoryspur/schema';
import {ColdServerLimiter} from './cold_server_limiter.js';
import {type Grant, GrantTable} from './grant_table.js';
import {HoldTimes} from './hold_times.js';
import {OverloadTracker} from './overload_tracker.js';
import type {SlotRequest} from './slot_allocator.js';
import {ServerHealth} from './server_health.js';
import {WaitQueue} from './wait_queue.js';
import {ZoneCircuitBreakers} from './zone_circuit_breakers.js';

/** Part of all places that batch items leave free for online requests that arrive. */
const ONLINE_RESERVE = 0.05;

/** Time until a place of a yielding batch item is free, milliseconds: two crossings between zones and one on the server. */
const YIELD_MS = 15;

/** Time in which a request that starts is expected to show its first event, milliseconds. */
const START_MARGIN_MS = 40;

/** Shortest Retry-After, milliseconds. */
const MIN_RETRY_MS = 50;

/** Share of the load that a server in another zone counts as higher. */
const OTHER_ZONE_PENALTY = 0.35;

/** Share of the load that a server with the same prompt prefix counts as lower. */
const PREFIX_BONUS = 0.05;

/** Share of the load that a server counts as lower for a daemon that has a connection to it. */
const CONNECTED_BONUS = 0.15;

/** Time since its last use for which a daemon still has its connection to a server, milliseconds. */
const CONNECTED_MS = 8000;

/** Prompt prefixes that are remembered for each server. */
const MAX_PREFIXES = 64;

const NOTHING: ReadonlySet<string> = new Set();

/** Backend server as the pool needs it. */
export interface PoolServer {
  id: string;
  zone: string;
  slots: number;
  /** Until when the server counts as cold, monotonic milliseconds. */
  coldUntilMs: number;
}

/** Work of a daemon that asks for a place. */
export interface PoolRequest extends Omit<SlotRequest, 'service'> {
  grantId: string;
  /** Daemon that asks. */
  holder: string;
  /** Availability zone of the daemon. */
  zone: string;
}

/** Why a request was refused. */
export enum RefusalReason {
  NO_SERVER = 'no server of the service may get work',
  TOO_LATE = 'the expected wait is longer than the target latency allows',
  GAVE_UP = 'no place became free in time',
}

/** Decision on work that no longer waits. */
export type FinalDecision =
  | {kind: 'granted'; serverId: string}
  | {kind: 'refused'; reason: string; retryAfterMs: number};

/** What the pool decides on work that asks. */
export type PoolDecision = FinalDecision | {kind: 'queued'};

/** Decision on work that waited. */
export interface SettledRequest {
  request: PoolRequest;
  decision: FinalDecision;
}

/** State of one server. */
interface PoolEntry {
  server: PoolServer;
  used: number;
  cold: ColdServerLimiter;
  prefixes: Set<string>;
  /** When the daemons last used the server, monotonic milliseconds. */
  lastUses: Map<string, number>;
}

/** Places on the servers of one service. */
export class SlotPool {
  private readonly entries = new Map<string, PoolEntry>();
  private readonly grants = new GrantTable();
  /** All places of the servers that may get work. */
  private places = 0;
  /** Those of them that are not in use. */
  private freePlaces = 0;
  private readonly waiting = new WaitQueue();
  private readonly holds = new HoldTimes();
  private readonly overload = new OverloadTracker();
  private readonly yields = new Map<string, string[]>();
  private readonly health = new ServerHealth();
  private readonly routes = new ZoneCircuitBreakers();

  private coldRequestsPerSecond = Number.POSITIVE_INFINITY;

  /**
   * Replaces the bound on cold servers.
   *
   * @param requestsPerSecond - requests a second that a cold server gets from
   *     here; infinity for no limit
   */
  setColdLimit(requestsPerSecond: number): void {
    this.coldRequestsPerSecond = requestsPerSecond;
  }

  /** Replaces the servers that may get work; grants on others stay known. */
  setServers(servers: readonly PoolServer[]): void {
    const ids = new Set(servers.map((server) => server.id));
    for (const id of this.entries.keys()) {
      if (!ids.has(id)) this.entries.delete(id);
    }
    this.health.keep(ids);
    for (const server of servers) {
      const entry = this.entries.get(server.id);
      if (entry) entry.server = server;
      else this.entries.set(server.id, this.createEntry(server));
    }
    this.countAllPlaces();
  }

  private countAllPlaces(): void {
    this.places = 0;
    this.freePlaces = 0;
    for (const {server, used} of this.entries.values()) {
      this.places += server.slots;
      this.freePlaces += Math.max(0, server.slots - used);
    }
  }

  /** Counts the work that waits. */
  countWaiting(): number {
    return this.waiting.count();
  }

  /** Counts the places in use. */
  countGrants(): number {
    return this.grants.count();
  }

  /** Counts all places of the servers that may get work. */
  countPlaces(): number {
    return this.places;
  }

  /**
   * Decides on work that asks for a place.
   *
   * @param request - the work
   * @param nowMs - monotonic milliseconds
   */
  acquire(request: PoolRequest, nowMs: number): PoolDecision {
    if (this.waiting.isNext(request)) {
      const serverId = this.tryPlace(request, nowMs);
      if (serverId !== undefined) return {kind: 'granted', serverId};
    }
    if (!request.isBatch) {
      const ahead = this.waiting.countAhead(request);
      const refusal = this.checkWait(request, ahead, nowMs);
      if (refusal) return refusal;
    }
    this.waiting.add(request);
    this.callYields(nowMs);
    return {kind: 'queued'};
  }

  /** Forgets work that no longer waits. */
  cancel(grantId: string): void {
    this.waiting.remove(grantId);
  }

  /**
   * Takes a place back.
   *
   * @param grantId - the grant that ends
   * @param outcome - how the call to the server ended
   * @param nowMs - monotonic milliseconds
   * @returns the server, when it gets no work for a while because of the outcome
   */
  release(
    grantId: string,
    outcome: CallOutcome,
    nowMs: number,
  ): string | undefined {
    const grant = this.grants.get(grantId);
    if (!grant) return undefined;
    this.removeGrant(grant);
    if (outcome === CallOutcome.SUCCEEDED && !grant.isBatch) {
      this.holds.record(nowMs - grant.grantedMs);
    }
    const {serverId, holder} = grant;
    const wasUsable = this.health.isUsable(serverId, holder, nowMs);
    this.health.record(serverId, holder, outcome, nowMs);
    const serverZone = this.entries.get(serverId)?.server.zone;
    if (grant.zone !== undefined && serverZone !== undefined) {
      this.routes.record(grant.zone, serverZone, outcome, nowMs);
    }
    const isUsable = this.health.isUsable(serverId, holder, nowMs);
    return wasUsable && !isUsable ? serverId : undefined;
  }

  /**
   * Takes over what a holder says it holds; grants of the holder that are older
   * than a round trip and not among them have ended.
   *
   * @param holder - the daemon
   * @param holdings - its places in use
   * @param nowMs - monotonic milliseconds
   * @param graceMs - age below which a missing grant may still be on its way
   */
  updateHolder(
    holder: string,
    holdings: readonly HeldSlot[],
    nowMs: number,
    graceMs: number,
  ): void {
    const held = new Set(holdings.map((holding) => holding.grantId));
    for (const grant of this.grants.listOf(holder)) {
      if (held.has(grant.grantId)) continue;
      if (nowMs - grant.grantedMs > graceMs) this.removeGrant(grant);
    }
    for (const holding of holdings) {
      if (this.grants.has(holding.grantId)) continue;
      this.addGrant({
        ...holding,
        holder,
        dueMs: nowMs + holding.dueInMs,
        grantedMs: nowMs,
        isYielding: false,
      });
    }
  }

  /**
   * Forgets a holder that is gone, with its places and its waiting work.
   *
   * @returns ids of the work that no longer waits
   */
  dropHolder(holder: string): string[] {
    for (const grant of this.grants.listOf(holder)) this.removeGrant(grant);
    this.yields.delete(holder);
    return this.waiting.removeHolder(holder);
  }

  /** Takes the grants that a holder has to give back. */
  takeYields(holder: string): string[] {
    const yields = this.yields.get(holder) ?? [];
    this.yields.delete(holder);
    return yields;
  }

  /** Whether a holder has grants to give back. */
  hasYields(holder: string): boolean {
    return this.yields.has(holder);
  }

  /**
   * Gives free places to waiting work; all there is to do when a place became
   * free.
   *
   * @param nowMs - monotonic milliseconds
   * @returns the work that no longer waits
   */
  grantFree(nowMs: number): SettledRequest[] {
    const settled: SettledRequest[] = [];
    for (const request of this.waiting.list()) {
      if (this.freePlaces === 0) break;
      if (request.isBatch && !this.hasRoomForBatch()) break;
      const serverId = this.tryPlace(request, nowMs);
      if (serverId === undefined) continue;
      this.waiting.remove(request.grantId);
      settled.push({request, decision: {kind: 'granted', serverId}});
    }
    return settled;
  }

  /**
   * Decides on waiting work after servers have changed or time has passed.
   *
   * @param nowMs - monotonic milliseconds
   * @returns the work that no longer waits
   */
  settle(nowMs: number): SettledRequest[] {
    const settled = this.grantFree(nowMs);
    let ahead = 0;
    for (const request of this.waiting.list()) {
      const decision = this.checkWaiting(request, ahead, nowMs);
      if (decision === undefined) {
        ahead += 1;
        continue;
      }
      this.waiting.remove(request.grantId);
      settled.push({request, decision});
    }
    this.callYields(nowMs);
    return settled;
  }

  private checkWaiting(
    request: PoolRequest,
    ahead: number,
    nowMs: number,
  ): FinalDecision | undefined {
    if (nowMs >= request.giveUpMs) {
      return this.refuse(request, RefusalReason.GAVE_UP, nowMs);
    }
    if (request.isBatch) return undefined;
    return this.checkWait(request, ahead, nowMs);
  }

  /** Refuses online work that cannot start in time, or that no server can run. */
  private checkWait(
    request: PoolRequest,
    ahead: number,
    nowMs: number,
  ): FinalDecision | undefined {
    if (this.places === 0) {
      return this.refuse(request, RefusalReason.NO_SERVER, nowMs);
    }
    // Too late for a prompt refusal: a late answer is better than none.
    if (nowMs >= request.refuseByMs) return undefined;
    const waitMs = this.estimateWait(ahead, nowMs);
    const startMs = nowMs + waitMs + START_MARGIN_MS;
    if (startMs <= request.dueMs) return undefined;
    return this.refuse(request, RefusalReason.TOO_LATE, nowMs);
  }

  private refuse(
    request: PoolRequest,
    reason: RefusalReason,
    nowMs: number,
  ): FinalDecision {
    // Batch items ask again all the time; only online requests tell of overload.
    if (request.isBatch) {
      return {kind: 'refused', reason, retryAfterMs: MIN_RETRY_MS};
    }
    this.overload.record(nowMs);
    const retryAfterMs = Math.max(
      MIN_RETRY_MS,
      this.overload.estimateLeft(nowMs) + this.holds.getOnline() / 2,
      this.health.getNextTrialMs(this.entries.keys(), nowMs) - nowMs,
    );
    return {kind: 'refused', reason, retryAfterMs: Math.round(retryAfterMs)};
  }

  /**
   * Estimates the wait of new online work: until as many places are free as work
   * goes before it, of batch items that give way or of requests that end.
   *
   * @returns milliseconds
   */
  private estimateWait(ahead: number, nowMs: number): number {
    const batch = this.grants.countBatch();
    if (ahead < batch) return YIELD_MS;
    const holdMs = this.holds.getOnline();
    const endMs = this.grants.estimateEnd(ahead - batch, holdMs, nowMs);
    if (endMs !== undefined) return endMs;
    return this.health.getNextTrialMs(this.entries.keys(), nowMs) - nowMs;
  }

  private tryPlace(request: PoolRequest, nowMs: number): string | undefined {
    if (request.isBatch && !this.hasRoomForBatch()) return undefined;
    const entry = this.chooseEntry(request, nowMs);
    if (!entry) return undefined;
    entry.cold.spend(nowMs);
    entry.lastUses.set(request.holder, nowMs);
    this.recordPrefix(entry, request.prefix);
    this.addGrant({
      grantId: request.grantId,
      holder: request.holder,
      zone: request.zone,
      serverId: entry.server.id,
      isBatch: request.isBatch,
      workspace: request.workspace,
      dueMs: request.dueMs,
      grantedMs: nowMs,
      isYielding: false,
    });
    return entry.server.id;
  }

  private hasRoomForBatch(): boolean {
    if (this.waiting.countOnline() > 0) return false;
    const reserve = Math.ceil(this.places * ONLINE_RESERVE);
    return this.grants.count() < this.places - reserve;
  }

  private chooseEntry(
    request: PoolRequest,
    nowMs: number,
  ): PoolEntry | undefined {
    if (this.freePlaces === 0) return undefined;
    let best: PoolEntry | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    const excluded = this.findExcluded(request);
    for (const entry of this.entries.values()) {
      if (excluded.has(entry.server.id)) continue;
      if (!this.isOpenTo(entry, request, nowMs)) continue;
      const score = this.computeScore(entry, request, nowMs);
      if (score >= bestScore) continue;
      best = entry;
      bestScore = score;
    }
    return best;
  }

  /** Finds the servers to pass over; none once all have been tried. */
  private findExcluded(request: PoolRequest): ReadonlySet<string> {
    if (request.excluded.length === 0) return NOTHING;
    const excluded = new Set(request.excluded);
    for (const id of this.entries.keys())
      if (!excluded.has(id)) return excluded;
    return new Set();
  }

  private isOpenTo(
    entry: PoolEntry,
    request: PoolRequest,
    nowMs: number,
  ): boolean {
    const {id, slots, zone, coldUntilMs} = entry.server;
    if (entry.used >= slots) return false;
    if (request.avoidedZones?.includes(zone)) return false;
    if (!this.health.isUsable(id, request.holder, nowMs)) return false;
    if (!this.routes.isOpen(request.zone, entry.server.zone, nowMs))
      return false;
    if (coldUntilMs <= nowMs) return true;
    return entry.cold.hasBudget(this.coldRequestsPerSecond, nowMs);
  }

  private computeScore(
    entry: PoolEntry,
    request: PoolRequest,
    nowMs: number,
  ): number {
    const {id, slots, zone} = entry.server;
    let score = entry.used / slots + this.health.getPenalty(id);
    if (zone !== request.zone) score += OTHER_ZONE_PENALTY;
    const lastMs = entry.lastUses.get(request.holder);
    const isConnected = lastMs !== undefined && nowMs - lastMs < CONNECTED_MS;
    if (isConnected) score -= CONNECTED_BONUS;
    const last = request.prefix.at(-1);
    if (last !== undefined && entry.prefixes.has(last)) score -= PREFIX_BONUS;
    return score;
  }

  /** Asks batch items to give way, one for each online request that waits. */
  private callYields(nowMs: number): void {
    const missing = this.waiting.countOnline() - this.grants.countYielding();
    if (missing <= 0) return;
    const candidates: Grant[] = [];
    for (const grant of this.grants.listBatch()) {
      if (grant.isYielding || !this.entries.has(grant.serverId)) continue;
      candidates.push(grant);
    }
    // The item with most time left loses least by an interruption.
    candidates.sort((a, b) => b.dueMs - a.dueMs || b.grantedMs - a.grantedMs);
    for (const grant of candidates.slice(0, missing)) {
      if (!this.health.isUsable(grant.serverId, grant.holder, nowMs)) continue;
      this.grants.markYielding(grant);
      const yields = this.yields.get(grant.holder) ?? [];
      yields.push(grant.grantId);
      this.yields.set(grant.holder, yields);
    }
  }

  private createEntry(server: PoolServer): PoolEntry {
    return {
      server,
      used: this.grants.countOn(server.id),
      // Owners use whole requests; the moment of a first one needs no spreading.
      cold: new ColdServerLimiter(() => 0),
      prefixes: new Set(),
      lastUses: new Map(),
    };
  }

  private addGrant(grant: Grant): void {
    this.grants.add(grant);
    const entry = this.entries.get(grant.serverId);
    if (!entry) return;
    if (entry.used < entry.server.slots) this.freePlaces -= 1;
    entry.used += 1;
  }

  private removeGrant(grant: Grant): void {
    this.grants.remove(grant);
    const entry = this.entries.get(grant.serverId);
    if (!entry) return;
    entry.used -= 1;
    if (entry.used < entry.server.slots) this.freePlaces += 1;
  }

  private recordPrefix(entry: PoolEntry, prefix: readonly string[]): void {
    const last = prefix.at(-1);
    if (last === undefined) return;
    entry.prefixes.delete(last);
    entry.prefixes.add(last);
    if (entry.prefixes.size <= MAX_PREFIXES) return;
    for (const oldest of entry.prefixes) {
      entry.prefixes.delete(oldest);
      return;
    }
  }
}
