/**
 * The holder's side: asks the owner of the pool in its own zone for a place,
 * then the owners of other zones, nearest first.
 */
import {type Clock, ErrorCode, SavoryspurError} from '@savoryspur/common';
import type {MembershipView} from '@savoryspur/fleet';
import {
  SlotTrafficClass,
  SlotUsageEnd,
  type PeerInfo,
  RefusalReason,
  TrafficClass,
} from '@savoryspur/schema';
import {err, ok, type Result, ResultAsync} from 'neverthrow';
import type {
  SlotGrant,
  SlotUsageReport,
  SlotRequest,
  SlotAllocator,
} from './slot_allocator.js';
import type {QuarantineCoordinator} from './quarantine_coordinator.js';
import type {HeldGrants} from './held_grants.js';
import {
  AcquireCall,
  type OwnerCallParts,
  type OwnerReply,
} from './acquire_call.js';
import {createPoolKey} from './pool_key.js';
import type {ReleaseSender} from './release_sender.js';
import type {RoutingPeers} from './routing_peers.js';
import type {RoutingSettings} from './settings.js';
import type {ZoneOrder} from './zone_order.js';

/** Time between two rounds while no owner can be reached, milliseconds. */
const ROUND_MS = 50;

/** Requests that broke a connection here and are remembered. */
const MAX_BROKEN = 1000;

/** Classes as the messages name them. */
const PLACE_CLASSES: Record<TrafficClass, SlotTrafficClass> = {
  [TrafficClass.ONLINE]: SlotTrafficClass.ONLINE,
  [TrafficClass.BATCH]: SlotTrafficClass.BATCH,
};

/** Error codes of refusals. */
const REFUSAL_CODES: Record<RefusalReason, ErrorCode> = {
  [RefusalReason.FULL]: ErrorCode.OVERLOADED,
  [RefusalReason.OVERLOADED]: ErrorCode.OVERLOADED,
  [RefusalReason.ZONE_OUT]: ErrorCode.UNAVAILABLE,
  [RefusalReason.UNKNOWN_POOL]: ErrorCode.UNAVAILABLE,
  [RefusalReason.NOT_OWNER]: ErrorCode.UNAVAILABLE,
  [RefusalReason.RELEASED]: ErrorCode.UNAVAILABLE,
  [RefusalReason.QUARANTINED]: ErrorCode.QUARANTINED,
};

/** What the holder's side works with. */
export interface SlotClientParts {
  view: MembershipView;
  peers: RoutingPeers;
  clock: Clock;
  settings: RoutingSettings;
  zones: ZoneOrder;
  holdings: HeldGrants;
  sender: ReleaseSender;
  crashes: QuarantineCoordinator;
}

/** Outcome of asking several zones once. */
interface RoundOutcome {
  placement?: SlotGrant;
  /** First zone whose owner has places, all in use. */
  fullZone?: string;
  /** Why the last zone gave no place. */
  reason?: RefusalReason;
}

/** Asks owners for places on behalf of this host. */
export class SlotClient implements SlotAllocator {
  private readonly broken = new Set<string>();
  private sequence = 0;

  /**
   * @param parts - what the holder's side works with
   */
  constructor(private readonly parts: SlotClientParts) {}

  /** {@inheritDoc Placer.acquire} */
  acquire(request: SlotRequest): ResultAsync<SlotGrant, SavoryspurError> {
    return new ResultAsync(this.tryAcquire(request));
  }

  /** {@inheritDoc Placer.release} */
  release(placement: SlotGrant, report: SlotUsageReport): void {
    const holding = this.parts.holdings.remove(placement.grantId);
    if (!holding) return;
    this.recordBroken(holding.fingerprint, report.end);
    for (const owner of holding.owners.values()) {
      this.parts.sender.push(owner, {
        grantId: holding.grantId,
        pool: holding.pool,
        end: report.end,
        firstTokenMs: report.firstTokenMs,
        betweenTokensMs: report.betweenTokensMs,
      });
    }
  }

  private async tryAcquire(
    request: SlotRequest,
  ): Promise<Result<SlotGrant, SavoryspurError>> {
    const {clock, crashes, settings, zones} = this.parts;
    if (crashes.quarantine.has(request.fingerprint)) {
      return err(createError(request, RefusalReason.QUARANTINED));
    }
    const deadlineMs = clock.now() + request.maxWaitMs;
    for (;;) {
      const nearest = zones
        .list(request.pool)
        .slice(0, 1 + settings.maxOtherZones);
      const round = await this.requestZones(nearest, request, deadlineMs);
      if (round.placement) return ok(round.placement);
      if (request.signal?.aborted) return err(createCancelled(request));
      if (round.reason === RefusalReason.QUARANTINED) {
        return err(createError(request, round.reason));
      }
      const isFinal =
        round.reason !== undefined &&
        REFUSAL_CODES[round.reason] === ErrorCode.OVERLOADED;
      if (isFinal || clock.now() >= deadlineMs) {
        return err(createError(request, round.reason));
      }
      await clock.sleep(ROUND_MS, request.signal);
    }
  }

  /** Asks each zone for a free place, then waits at the first full one. */
  private async requestZones(
    zones: readonly string[],
    request: SlotRequest,
    deadlineMs: number,
  ): Promise<RoundOutcome> {
    const round: RoundOutcome = {};
    const only = zones.length === 1 ? deadlineMs : 0;
    for (const zone of zones) {
      const reply = await this.requestZone(zone, request, only);
      if (reply.placement) return {placement: reply.placement};
      if (reply.reason === RefusalReason.QUARANTINED) return reply;
      if (request.signal?.aborted) return round;
      if (reply.reason === RefusalReason.FULL) round.fullZone ??= zone;
      const isOverloaded = round.reason === RefusalReason.OVERLOADED;
      if (!isOverloaded) round.reason = reply.reason ?? round.reason;
    }
    const {fullZone} = round;
    if (fullZone === undefined || only > 0) return round;
    const isOver = this.parts.clock.now() >= deadlineMs;
    if (isOver) return {reason: RefusalReason.FULL};
    return this.requestZone(fullZone, request, deadlineMs);
  }

  private async requestZone(
    zone: string,
    request: SlotRequest,
    deadlineMs: number,
  ): Promise<OwnerReply> {
    const {view} = this.parts;
    const owner = view.computeOwner(createPoolKey(request.pool), zone);
    if (!owner) return {};
    return this.createCall(owner, zone, request).run(deadlineMs);
  }

  private createCall(
    owner: PeerInfo,
    zone: string,
    request: SlotRequest,
  ): AcquireCall {
    const {crashes, view} = this.parts;
    this.sequence += 1;
    const {fingerprint} = request;
    const parts: OwnerCallParts = this.parts;
    return new AcquireCall(parts, {
      owner,
      zone,
      signal: request.signal,
      input: {
        grantId: `${view.self.host}:${view.self.incarnation}:${this.sequence}`,
        pool: request.pool,
        workspace: request.workspace,
        trafficClass: PLACE_CLASSES[request.trafficClass],
        prefixHash: request.prefixHash,
        fingerprint,
        waitMs: 0,
        excludedServers: request.excludedServers,
        isSuspect:
          this.broken.has(fingerprint) ||
          crashes.tracker.isSuspect(fingerprint),
      },
    });
  }

  /** Remembers requests in flight on broken connections. */
  private recordBroken(fingerprint: string, end: SlotUsageEnd): void {
    if (end === SlotUsageEnd.COMPLETED) this.broken.delete(fingerprint);
    if (end !== SlotUsageEnd.CRASHED || fingerprint === '') return;
    const [oldest] = this.broken;
    if (this.broken.size >= MAX_BROKEN && oldest !== undefined) {
      this.broken.delete(oldest);
    }
    this.broken.add(fingerprint);
  }
}

/** Makes the error of a request that got no place. */
function createError(
  request: SlotRequest,
  reason: RefusalReason | undefined,
): SavoryspurError {
  const code = reason ? REFUSAL_CODES[reason] : ErrorCode.UNAVAILABLE;
  return new SavoryspurError(
    code,
    {step: 'routing.acquire', peer: request.pool},
    reason ?? 'no owner can be reached',
  );
}

/** Makes the error of a request whose caller left. */
function createCancelled(request: SlotRequest): SavoryspurError {
  return new SavoryspurError(
    ErrorCode.CANCELLED,
    {step: 'routing.acquire', peer: request.pool},
    'the caller left',
  );
}
