/**
 * Records what the ends of calls show of the servers of a slot pool and of the
 * zones they are in. Performs no I/O; the current time is an argument of each call.
 */
import type {CallOutcome} from '@savoryspur/schema';
import type {Grant} from './grant_table.js';
import {HolderEvidence} from './holder_evidence.js';
import type {PlacementRule} from './placement_rule.js';
import type {PoolSlots} from './pool_slots.js';
import type {Suspension} from './pool_types.js';
import type {ServerHealth} from './server_health.js';
import type {ZoneCircuitBreakers} from './zone_circuit_breakers.js';

/** Records the outcomes of the calls to the servers of one pool. */
export class OutcomeRecorder {
  private readonly evidence = new HolderEvidence();

  /**
   * @param slots - servers of the pool
   * @param health - suspensions of these servers
   * @param zoneBreakers - zones that daemons of other zones don't reach
   * @param rules - rules that are told of suspensions
   */
  constructor(
    private readonly slots: PoolSlots,
    private readonly health: ServerHealth,
    private readonly zoneBreakers: ZoneCircuitBreakers,
    private readonly rules: readonly PlacementRule[],
  ) {}

  /** Drops what calls have shown of all servers except the given ones. */
  keepOnly(serverIds: ReadonlySet<string>): void {
    this.health.keepOnly(serverIds);
    this.evidence.keepOnly(serverIds);
  }

  /** Drops the evidence of the calls of a holder that has expired. */
  dropHolder(holder: string): void {
    this.evidence.dropHolder(holder);
  }

  /**
   * Records how a call ended.
   *
   * @param grant - the grant that the call was made with
   * @param outcome - how the call ended
   * @param nowMs - current time, monotonic milliseconds
   * @returns the suspension of the server when the outcome causes one; undefined
   *     otherwise
   */
  record(
    grant: Grant,
    outcome: CallOutcome,
    nowMs: number,
  ): Suspension | undefined {
    const {serverId, holder, grantedMs} = grant;
    const wasUsable = this.health.isUsable(serverId, holder, nowMs);
    const wasUsableForAll = this.health.isUsable(serverId, undefined, nowMs);
    const isAboutServer = this.evidence.record(
      serverId,
      holder,
      outcome,
      grantedMs,
      nowMs,
    );
    this.health.record(
      serverId,
      holder,
      outcome,
      isAboutServer,
      nowMs,
      grantedMs,
    );
    if (isAboutServer) this.recordZone(grant, outcome, nowMs);
    const isForAll = !this.health.isUsable(serverId, undefined, nowMs);
    if (wasUsableForAll && isForAll) {
      for (const rule of this.rules) {
        rule.recordSuspension?.(serverId, outcome, nowMs);
      }
    }
    if (!wasUsable || this.health.isUsable(serverId, holder, nowMs))
      return undefined;
    return {serverId, holder, isForAll};
  }

  private recordZone(
    {serverId, zone}: Grant,
    outcome: CallOutcome,
    nowMs: number,
  ): void {
    const serverZone = this.slots.findEntry(serverId)?.server.zone;
    if (zone === undefined || serverZone === undefined) return;
    this.zoneBreakers.record(zone, serverZone, outcome, nowMs);
  }
}
