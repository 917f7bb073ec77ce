/** Placement rule that paces the servers which have just started or recovered, and weighs all by their speed. */
import {CallOutcome, type CallTimes} from '@savoryspur/schema';
import {CallTimeNorms} from './call_time_norms.js';
import type {Grant} from './grant_table.js';
import type {PlacementCandidate, PlacementRule} from './placement_rule.js';
import type {PoolRequest, PoolServer} from './pool_types.js';
import {
  PaceCause,
  type PaceChange,
  PacedCall,
  ServerPace,
} from './server_pace.js';
import {ServerSpeed, type SpeedCounts} from './server_speed.js';

/** Time after the first list of servers in which those that are added count as running before, milliseconds: a daemon that has just started reads them in parts. */
const FIRST_LISTS_MS = 5000;

/** Time without a list after which the next one counts as the first, milliseconds: another daemon owned the pool, or there was no request. */
const MAX_LIST_GAP_MS = 5000;

const PACED_CALLS = new Map([
  [CallOutcome.SUCCEEDED, PacedCall.SUCCEEDED],
  [CallOutcome.NOT_EXECUTED, PacedCall.REFUSED],
  [CallOutcome.BROKEN, PacedCall.FAILED],
  [CallOutcome.FAILED, PacedCall.FAILED],
  [CallOutcome.SILENT, PacedCall.FAILED],
  [CallOutcome.UNREACHABLE, PacedCall.FAILED],
]);

/** Counts of the servers of a pool that the rule treats differently. The field names are values of metric labels. */
export interface ServerRuleCounts extends SpeedCounts {
  paced: number;
}

/** Pace and speed of the servers of one pool. */
export class ServerRule implements PlacementRule {
  private readonly norms = new CallTimeNorms();
  private readonly speed = new ServerSpeed();
  private readonly pace: ServerPace;
  private servers = new Map<string, PoolServer>();
  private firstListMs = Number.NEGATIVE_INFINITY;
  private lastListMs = Number.NEGATIVE_INFINITY;

  /**
   * @param onPaceChange - called when the pace of a server begins or ends
   */
  constructor(onPaceChange: (change: PaceChange) => void = () => undefined) {
    this.pace = new ServerPace(onPaceChange);
  }

  /** Counts the servers by pace and speed. */
  count(): ServerRuleCounts {
    const known = this.speed.count();
    const {slow, alike, fast} = known;
    const unknown = Math.max(0, this.servers.size - slow - alike - fast);
    return {...known, unknown, paced: this.pace.count()};
  }

  /** {@inheritDoc PlacementRule.setServers} */
  setServers(servers: readonly PoolServer[], nowMs: number): void {
    if (servers.length > 0) this.recordList(nowMs);
    const isFirst = nowMs - this.firstListMs < FIRST_LISTS_MS;
    const former = this.servers;
    const started: string[] = [];
    const slots = new Map<string, number>();
    this.servers = new Map();
    for (const server of servers) {
      const {id} = server;
      this.servers.set(id, server);
      slots.set(id, server.slots);
      const known = former.get(id);
      if (known && known.startedAtMs === server.startedAtMs) continue;
      started.push(id);
    }
    for (const id of former.keys()) {
      if (!slots.has(id)) this.speed.drop(id);
    }
    this.pace.setServers(slots, nowMs);
    for (const id of started) {
      this.speed.drop(id);
      if (!isFirst) this.pace.begin(id, PaceCause.STARTED, nowMs);
    }
  }

  private recordList(nowMs: number): void {
    if (nowMs - this.lastListMs > MAX_LIST_GAP_MS) this.firstListMs = nowMs;
    this.lastListMs = nowMs;
  }

  /** {@inheritDoc PlacementRule.isAllowed} */
  isAllowed(): boolean {
    return true;
  }

  /** {@inheritDoc PlacementRule.getLoadPenalty} */
  getLoadPenalty(
    {server, used}: PlacementCandidate,
    {isBatch, isRetryable}: PoolRequest,
    nowMs: number,
  ): number {
    const speed = this.speed.getLoadPenalty(server.id, isBatch, nowMs);
    if (this.pace.count() === 0) return speed;
    const mayRepeat = isBatch || isRetryable === true;
    return speed + this.pace.getLoadPenalty(server.id, used, mayRepeat, nowMs);
  }

  /** {@inheritDoc PlacementRule.recordGrant} */
  recordGrant(grant: Grant, server: PoolServer, nowMs: number): void {
    this.pace.recordGrant(server.id, nowMs);
  }

  /** {@inheritDoc PlacementRule.recordRelease} */
  recordRelease(
    grant: Grant,
    outcome: CallOutcome,
    times: CallTimes | undefined,
    nowMs: number,
  ): void {
    const {serverId, holder, grantedMs, usedAtGrant} = grant;
    const result = PACED_CALLS.get(outcome);
    const server = this.servers.get(serverId);
    // A call without its load, of a former owner, compares with nothing.
    if (!server || usedAtGrant === undefined || result === undefined) return;
    const load = usedAtGrant / server.slots;
    const isMeasured = times && result === PacedCall.SUCCEEDED;
    const relative = isMeasured ? this.norms.compare(times, load, holder) : {};
    const {firstEvent, event} = relative;
    if (isMeasured && !this.pace.isPaced(serverId)) {
      this.norms.record(times, load, holder);
      // The network adds to the first event, not to the time between events.
      const logRatio = event ?? firstEvent;
      if (logRatio !== undefined) {
        this.speed.record(serverId, holder, logRatio, nowMs);
      }
    }
    const logRatio =
      firstEvent === undefined
        ? event
        : Math.max(firstEvent, event ?? firstEvent);
    this.pace.recordCall(
      {serverId, holder, result, grantedMs, usedAtGrant, logRatio},
      nowMs,
    );
  }

  /** {@inheritDoc PlacementRule.recordSuspension} */
  recordSuspension(
    serverId: string,
    outcome: CallOutcome,
    nowMs: number,
  ): void {
    if (PACED_CALLS.get(outcome) !== PacedCall.FAILED) return;
    this.pace.begin(serverId, PaceCause.SUSPENDED, nowMs);
  }
}
