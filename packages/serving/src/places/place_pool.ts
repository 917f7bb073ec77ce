/**
 * Decides which work gets which place on the servers of one service: who waits,
 * who is refused, which batch item gives way. Does no input or output; time is
 * an argument of each call.
 */
import {CallOutcome, type PlaceHolding} from '@savoryspur/schema';
import {ColdGate} from './cold_gate.js';
import {HoldTimes} from './hold_times.js';
import {OverloadMeter} from './overload_meter.js';
import type {PlaceWork} from './placer.js';
import {ServerHealth} from './server_health.js';
import {WaitingWork} from './waiting_work.js';
import {ZoneRoutes} from './zone_routes.js';

/** Part of all places that batch items leave free for online requests that arrive. */
const ONLINE_RESERVE = 0.05;

/** Time until a place of a yielding batch item is free, milliseconds: two crossings between zones and one on the server. */
const YIELD_MS = 15;

/** Time in which a request that starts is expected to show its first event, milliseconds. */
const START_MARGIN_MS = 40;

/** Part of the usual hold time in which a request that has held its place for longer is expected to end. */
const OVERDUE_PART = 0.2;

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

/** Backend server as the pool needs it. */
export interface PoolServer {
  id: string;
  zone: string;
  slots: number;
  /** Until when the server counts as cold, monotonic milliseconds. */
  coldUntilMs: number;
}

/** Work of a daemon that asks for a place. */
export interface PlaceRequest extends Omit<PlaceWork, 'service'> {
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
export type PlaceDecision = FinalDecision | {kind: 'queued'};

/** Decision on work that waited. */
export interface SettledRequest {
  request: PlaceRequest;
  decision: FinalDecision;
}

/** A place in use. */
interface Grant {
  grantId: string;
  holder: string;
  /** Availability zone of the holder; unknown for grants of a former owner. */
  zone?: string;
  serverId: string;
  isBatch: boolean;
  workspace: string;
  dueMs: number;
  grantedMs: number;
  isYielding: boolean;
}

/** State of one server. */
interface PoolEntry {
  server: PoolServer;
  used: number;
  cold: ColdGate;
  prefixes: Set<string>;
  /** When the daemons last used the server, monotonic milliseconds. */
  lastUses: Map<string, number>;
}

/** Places on the servers of one service. */
export class PlacePool {
  private readonly entries = new Map<string, PoolEntry>();
  private readonly grants = new Map<string, Grant>();
  private readonly waiting = new WaitingWork();
  private readonly holds = new HoldTimes();
  private readonly overload = new OverloadMeter();
  private readonly yields = new Map<string, string[]>();
  private readonly health = new ServerHealth();
  private readonly routes = new ZoneRoutes();

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
  }

  /** Counts the work that waits. */
  countWaiting(): number {
    return this.waiting.count();
  }

  /** Counts the places in use. */
  countGrants(): number {
    return this.grants.size;
  }

  /** Counts all places of the servers that may get work. */
  countPlaces(): number {
    let places = 0;
    for (const {server} of this.entries.values()) places += server.slots;
    return places;
  }

  /**
   * Decides on work that asks for a place.
   *
   * @param request - the work
   * @param nowMs - monotonic milliseconds
   */
  acquire(request: PlaceRequest, nowMs: number): PlaceDecision {
    if (this.waiting.isNext(request)) {
      const serverId = this.tryPlace(request, nowMs);
      if (serverId !== undefined) return {kind: 'granted', serverId};
    }
    if (!request.isBatch) {
      const refusal = this.checkWait(request, nowMs);
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
    holdings: readonly PlaceHolding[],
    nowMs: number,
    graceMs: number,
  ): void {
    const held = new Set(holdings.map((holding) => holding.grantId));
    for (const grant of [...this.grants.values()]) {
      if (grant.holder !== holder || held.has(grant.grantId)) continue;
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

  /** Forgets a holder that is gone, with its places and its waiting work. */
  dropHolder(holder: string): void {
    for (const grant of [...this.grants.values()]) {
      if (grant.holder === holder) this.removeGrant(grant);
    }
    this.waiting.removeHolder(holder);
    this.yields.delete(holder);
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
   * Decides on waiting work after places or servers have changed or time has
   * passed.
   *
   * @param nowMs - monotonic milliseconds
   * @returns the work that no longer waits
   */
  settle(nowMs: number): SettledRequest[] {
    const settled: SettledRequest[] = [];
    for (const request of this.waiting.list()) {
      const decision = this.resolveWaiting(request, nowMs);
      if (decision.kind === 'queued') continue;
      this.waiting.remove(request.grantId);
      settled.push({request, decision});
    }
    this.callYields(nowMs);
    return settled;
  }

  private resolveWaiting(request: PlaceRequest, nowMs: number): PlaceDecision {
    const serverId = this.tryPlace(request, nowMs);
    if (serverId !== undefined) return {kind: 'granted', serverId};
    if (nowMs >= request.giveUpMs) {
      return this.refuse(request, RefusalReason.GAVE_UP, nowMs);
    }
    if (request.isBatch) return {kind: 'queued'};
    return this.checkWait(request, nowMs) ?? {kind: 'queued'};
  }

  /** Refuses online work that cannot start in time, or that no server can run. */
  private checkWait(
    request: PlaceRequest,
    nowMs: number,
  ): FinalDecision | undefined {
    if (this.countPlaces() === 0) {
      return this.refuse(request, RefusalReason.NO_SERVER, nowMs);
    }
    // Too late for a prompt refusal: a late answer is better than none.
    if (nowMs >= request.refuseByMs) return undefined;
    const waitMs = this.estimateWait(request, nowMs);
    const startMs = nowMs + waitMs + START_MARGIN_MS;
    if (startMs <= request.dueMs) return undefined;
    return this.refuse(request, RefusalReason.TOO_LATE, nowMs);
  }

  private refuse(
    request: PlaceRequest,
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
  private estimateWait(request: PlaceRequest, nowMs: number): number {
    const ahead = this.waiting.countAhead(request);
    const batch = this.countBatch();
    if (ahead < batch) return YIELD_MS;
    const holdMs = this.holds.getOnline();
    const ends: number[] = [];
    for (const grant of this.grants.values()) {
      if (grant.isBatch || !this.entries.has(grant.serverId)) continue;
      const leftMs = holdMs - (nowMs - grant.grantedMs);
      // What holds its place for longer than most may end at any time.
      ends.push(leftMs > 0 ? leftMs : holdMs * OVERDUE_PART);
    }
    if (ends.length === 0) {
      return this.health.getNextTrialMs(this.entries.keys(), nowMs) - nowMs;
    }
    ends.sort((a, b) => a - b);
    const index = ahead - batch;
    const turns = Math.floor(index / ends.length);
    const endMs = ends[index % ends.length] ?? holdMs;
    return turns * holdMs + endMs;
  }

  private countBatch(): number {
    let count = 0;
    for (const grant of this.grants.values()) if (grant.isBatch) count += 1;
    return count;
  }

  private tryPlace(request: PlaceRequest, nowMs: number): string | undefined {
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
    const places = this.countPlaces();
    const reserve = Math.ceil(places * ONLINE_RESERVE);
    return this.grants.size < places - reserve;
  }

  private chooseEntry(
    request: PlaceRequest,
    nowMs: number,
  ): PoolEntry | undefined {
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
  private findExcluded(request: PlaceRequest): Set<string> {
    const excluded = new Set(request.excluded);
    for (const id of this.entries.keys())
      if (!excluded.has(id)) return excluded;
    return new Set();
  }

  private isOpenTo(
    entry: PoolEntry,
    request: PlaceRequest,
    nowMs: number,
  ): boolean {
    const {id, slots, coldUntilMs} = entry.server;
    if (entry.used >= slots) return false;
    if (!this.health.isUsable(id, request.holder, nowMs)) return false;
    if (!this.routes.isOpen(request.zone, entry.server.zone, nowMs))
      return false;
    if (coldUntilMs <= nowMs) return true;
    return entry.cold.hasBudget(this.coldRequestsPerSecond, nowMs);
  }

  private computeScore(
    entry: PoolEntry,
    request: PlaceRequest,
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
    let missing = this.waiting.countOnline();
    const candidates: Grant[] = [];
    for (const grant of this.grants.values()) {
      if (!grant.isBatch) continue;
      if (grant.isYielding) missing -= 1;
      else if (this.entries.has(grant.serverId)) candidates.push(grant);
    }
    if (missing <= 0) return;
    // The item with most time left loses least by an interruption.
    candidates.sort((a, b) => b.dueMs - a.dueMs || b.grantedMs - a.grantedMs);
    for (const grant of candidates.slice(0, missing)) {
      if (!this.health.isUsable(grant.serverId, grant.holder, nowMs)) continue;
      grant.isYielding = true;
      const yields = this.yields.get(grant.holder) ?? [];
      yields.push(grant.grantId);
      this.yields.set(grant.holder, yields);
    }
  }

  private createEntry(server: PoolServer): PoolEntry {
    let used = 0;
    for (const grant of this.grants.values()) {
      if (grant.serverId === server.id) used += 1;
    }
    return {
      server,
      used,
      // Owners use whole requests; the moment of a first one needs no spreading.
      cold: new ColdGate(() => 0),
      prefixes: new Set(),
      lastUses: new Map(),
    };
  }

  private addGrant(grant: Grant): void {
    this.grants.set(grant.grantId, grant);
    const entry = this.entries.get(grant.serverId);
    if (entry) entry.used += 1;
  }

  private removeGrant(grant: Grant): void {
    this.grants.delete(grant.grantId);
    const entry = this.entries.get(grant.serverId);
    if (entry) entry.used -= 1;
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
