/**
 * Acquires concurrency slots for this host: asks the owner of the pool in this
 * host's zone, then the owners in other zones, nearest first. The messages to
 * owners call a slot a place.
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
import {getCrashFingerprint} from './crash_fingerprint.js';
import type {QuarantineCoordinator} from './quarantine_coordinator.js';
import type {HeldGrants} from './held_grants.js';
import {
  AcquireCall,
  type AcquireCallParts,
  type AcquireOutcome,
} from './acquire_call.js';
import {createPoolKey} from './pool_key.js';
import type {ReleaseSender} from './release_sender.js';
import type {RoutingPeers} from './routing_peers.js';
import type {RoutingSettings} from './settings.js';
import type {ZoneOrder} from './zone_order.js';

/**
 * Delay before all zones are asked again while no owner can be reached,
 * milliseconds.
 */
const ZONES_RETRY_DELAY_MS = 50;

/**
 * Maximum number of fingerprints remembered because a connection broke on this
 * host with the request in flight.
 */
const MAX_BROKEN_FINGERPRINTS = 1000;

/** Traffic classes as the messages to owners encode them. */
const SLOT_TRAFFIC_CLASSES: Record<TrafficClass, SlotTrafficClass> = {
  [TrafficClass.ONLINE]: SlotTrafficClass.ONLINE,
  [TrafficClass.BATCH]: SlotTrafficClass.BATCH,
};

/** Error code of each refusal reason. */
const REFUSAL_ERROR_CODES: Record<RefusalReason, ErrorCode> = {
  [RefusalReason.FULL]: ErrorCode.OVERLOADED,
  [RefusalReason.OVERLOADED]: ErrorCode.OVERLOADED,
  [RefusalReason.ZONE_OUT]: ErrorCode.UNAVAILABLE,
  [RefusalReason.UNKNOWN_POOL]: ErrorCode.UNAVAILABLE,
  [RefusalReason.NOT_OWNER]: ErrorCode.UNAVAILABLE,
  [RefusalReason.RELEASED]: ErrorCode.UNAVAILABLE,
  [RefusalReason.QUARANTINED]: ErrorCode.QUARANTINED,
};

/** Dependencies of the slot client. */
export interface SlotClientParts {
  view: MembershipView;
  peers: RoutingPeers;
  clock: Clock;
  settings: RoutingSettings;
  zones: ZoneOrder;
  heldGrants: HeldGrants;
  releaseSender: ReleaseSender;
  coordinator: QuarantineCoordinator;
}

/** Outcome of asking each of several zones once. */
interface ZonesOutcome {
  grant?: SlotGrant;
  /** First zone whose owner has slots, all of them in use. */
  fullZone?: string;
  /** Reason of the last refusal; no later reason replaces OVERLOADED. */
  reason?: RefusalReason;
  /** Shortest time after which there is expected to be room in a zone, milliseconds. */
  retryAfterMs?: number;
}

/** Acquires slots from pool owners and releases them. */
export class SlotClient implements SlotAllocator {
  private readonly brokenFingerprints = new Set<string>();
  private sequence = 0;

  /**
   * @param parts - dependencies
   */
  constructor(private readonly parts: SlotClientParts) {}

  /** {@inheritDoc SlotAllocator.acquire} */
  acquire(request: SlotRequest): ResultAsync<SlotGrant, SavoryspurError> {
    return new ResultAsync(this.tryAcquire(request));
  }

  /** {@inheritDoc SlotAllocator.release} */
  release(grant: SlotGrant, report: SlotUsageReport): void {
    const heldGrant = this.parts.heldGrants.remove(grant.grantId);
    if (!heldGrant) return;
    this.recordBrokenConnection(getCrashFingerprint(heldGrant), report.end);
    for (const owner of heldGrant.owners.values()) {
      this.parts.releaseSender.push(owner, {
        grantId: heldGrant.grantId,
        pool: heldGrant.pool,
        end: report.end,
        firstTokenMs: report.firstTokenMs,
        betweenTokensMs: report.betweenTokensMs,
      });
    }
  }

  private async tryAcquire(
    request: SlotRequest,
  ): Promise<Result<SlotGrant, SavoryspurError>> {
    const {clock, coordinator, settings, zones} = this.parts;
    const crashFingerprint = getCrashFingerprint({
      trafficClass: SLOT_TRAFFIC_CLASSES[request.trafficClass],
      fingerprint: request.fingerprint,
    });
    if (coordinator.quarantine.has(crashFingerprint)) {
      return err(
        createRefusalError(request, {reason: RefusalReason.QUARANTINED}),
      );
    }
    const deadlineMs = clock.now() + request.maxWaitMs;
    for (;;) {
      const nearest = zones
        .list(request.pool)
        .slice(0, 1 + settings.maxOtherZones);
      const outcome = await this.requestZones(nearest, request, deadlineMs);
      if (outcome.grant) return ok(outcome.grant);
      if (request.signal?.aborted) return err(createCancelledError(request));
      if (outcome.reason === RefusalReason.QUARANTINED) {
        return err(createRefusalError(request, outcome));
      }
      const isFinal =
        outcome.reason !== undefined &&
        REFUSAL_ERROR_CODES[outcome.reason] === ErrorCode.OVERLOADED;
      if (isFinal || clock.now() >= deadlineMs) {
        return err(createRefusalError(request, outcome));
      }
      await clock.sleep(ZONES_RETRY_DELAY_MS, request.signal);
    }
  }

  /**
   * Asks the owner in each zone for a free slot, then waits at the first owner
   * whose slots are all in use.
   */
  private async requestZones(
    zones: readonly string[],
    request: SlotRequest,
    deadlineMs: number,
  ): Promise<ZonesOutcome> {
    const outcome: ZonesOutcome = {};
    const singleZoneDeadlineMs = zones.length === 1 ? deadlineMs : 0;
    for (const zone of zones) {
      const reply = await this.requestZone(zone, request, singleZoneDeadlineMs);
      if (reply.grant) return {grant: reply.grant};
      if (reply.reason === RefusalReason.QUARANTINED) return reply;
      if (request.signal?.aborted) return outcome;
      if (reply.reason === RefusalReason.FULL) outcome.fullZone ??= zone;
      const isOverloaded = outcome.reason === RefusalReason.OVERLOADED;
      if (!isOverloaded) outcome.reason = reply.reason ?? outcome.reason;
      const {retryAfterMs = Infinity} = reply;
      if (retryAfterMs < (outcome.retryAfterMs ?? Infinity)) {
        outcome.retryAfterMs = retryAfterMs;
      }
    }
    const {fullZone} = outcome;
    if (fullZone === undefined || singleZoneDeadlineMs > 0) return outcome;
    const isPastDeadline = this.parts.clock.now() >= deadlineMs;
    if (isPastDeadline) return {...outcome, reason: RefusalReason.FULL};
    return this.requestZone(fullZone, request, deadlineMs);
  }

  private async requestZone(
    zone: string,
    request: SlotRequest,
    deadlineMs: number,
  ): Promise<AcquireOutcome> {
    const {view} = this.parts;
    const owner = view.computeOwner(createPoolKey(request.pool), zone);
    if (!owner) return {};
    return this.createAcquireCall(owner, zone, request).run(deadlineMs);
  }

  private createAcquireCall(
    owner: PeerInfo,
    zone: string,
    request: SlotRequest,
  ): AcquireCall {
    const {coordinator, view} = this.parts;
    this.sequence += 1;
    const {fingerprint} = request;
    const trafficClass = SLOT_TRAFFIC_CLASSES[request.trafficClass];
    const crashFingerprint = getCrashFingerprint({trafficClass, fingerprint});
    const parts: AcquireCallParts = this.parts;
    return new AcquireCall(parts, {
      owner,
      zone,
      signal: request.signal,
      input: {
        grantId: `${view.self.host}:${view.self.incarnation}:${this.sequence}`,
        pool: request.pool,
        workspace: request.workspace,
        trafficClass,
        prefixHash: request.prefixHash,
        fingerprint,
        waitMs: 0,
        excludedServers: request.excludedServers,
        isSuspect:
          this.brokenFingerprints.has(crashFingerprint) ||
          coordinator.tracker.isSuspect(crashFingerprint),
      },
    });
  }

  /**
   * Remembers requests that were in flight on broken connections until they
   * complete.
   */
  private recordBrokenConnection(fingerprint: string, end: SlotUsageEnd): void {
    if (end === SlotUsageEnd.COMPLETED)
      this.brokenFingerprints.delete(fingerprint);
    if (end !== SlotUsageEnd.CRASHED || fingerprint === '') return;
    const [oldest] = this.brokenFingerprints;
    if (
      this.brokenFingerprints.size >= MAX_BROKEN_FINGERPRINTS &&
      oldest !== undefined
    ) {
      this.brokenFingerprints.delete(oldest);
    }
    this.brokenFingerprints.add(fingerprint);
  }
}

/** Makes the error of a request that got no slot. */
function createRefusalError(
  request: SlotRequest,
  {reason, retryAfterMs}: Pick<ZonesOutcome, 'reason' | 'retryAfterMs'>,
): SavoryspurError {
  const code = reason ? REFUSAL_ERROR_CODES[reason] : ErrorCode.UNAVAILABLE;
  return new SavoryspurError(
    code,
    {step: 'routing.acquire', peer: request.pool},
    reason ?? 'no owner can be reached',
    {retryAfterMs},
  );
}

/** Makes the error of a request whose caller has left. */
function createCancelledError(request: SlotRequest): SavoryspurError {
  return new SavoryspurError(
    ErrorCode.CANCELLED,
    {step: 'routing.acquire', peer: request.pool},
    'the caller left',
  );
}
