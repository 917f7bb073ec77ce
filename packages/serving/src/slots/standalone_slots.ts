/** Slots that this daemon takes without a pool owner, within the share of a standalone daemon. */
import type {Clock} from '@savoryspur/common';
import {CallOutcome, type CallTimes} from '@savoryspur/schema';
import type {EnvironmentView} from '../environment.js';
import {computeStandaloneShare} from '../peers/fleet_share.js';
import type {Membership} from '../peers/membership.js';
import type {BackendServer, ServiceRegistry} from '../service_registry.js';
import {CallEstimates} from './call_estimates.js';
import {computeColdLimit} from './cold_limit.js';
import type {HeldGrant} from './held_grants.js';
import {LocalSlots} from './local_slots.js';
import {isOfVersion, type SlotRequest} from './slot_allocator.js';

/** Time after the start of a daemon in which it grants itself no slots for batch items, milliseconds: all daemons may have been killed, and an owner is known by then. */
const STARTUP_BATCH_PAUSE_MS = 1500;

/** Dependencies of the standalone slots. */
export interface StandaloneSlotsOptions {
  clock: Clock;
  members: Pick<Membership, 'self' | 'countAlive' | 'getMembershipView'>;
  registry: Pick<
    ServiceRegistry<EnvironmentView>,
    'getEnvironment' | 'listServers'
  >;
  /** Whether this daemon may use a server without a pool owner; all by default. */
  isStandaloneAllowed?: (server: BackendServer) => boolean;
  /** Returns a random number in [0, 1). */
  random: () => number;
}

/** A slot that this daemon has taken without a pool owner. */
export interface StandaloneSlot {
  server: BackendServer;
  /** Workspace whose part of the standalone slots is used, if any. */
  sharedWorkspace: string | undefined;
}

/** Takes slots without a pool owner, by all slots that this daemon uses. */
export class StandaloneSlots {
  private readonly localSlots: LocalSlots;
  /** Expected times of the calls of this daemon. */
  readonly estimates = new CallEstimates();
  private readonly startedMs: number;

  /**
   * @param options - registry and membership
   */
  constructor(private readonly options: StandaloneSlotsOptions) {
    this.localSlots = new LocalSlots(options.random);
    this.startedMs = options.clock.now();
  }

  /**
   * Takes a slot for a request.
   *
   * @returns undefined when this daemon may use no server for the request
   */
  acquire(request: SlotRequest): StandaloneSlot | undefined {
    const {registry, members, clock, isStandaloneAllowed} = this.options;
    const nowMs = clock.now();
    const isStartingUp = nowMs - this.startedMs < STARTUP_BATCH_PAUSE_MS;
    if (request.isBatch && isStartingUp) return undefined;
    const environment = registry.getEnvironment();
    const sharedWorkspace =
      environment?.needsKeys && !request.isBatch
        ? request.workspace
        : undefined;
    const server = this.localSlots.acquire(
      registry
        .listServers(request.service)
        .filter(
          (listed) =>
            isOfVersion(listed, request) &&
            isStandaloneAllowed?.(listed) !== false,
        ),
      {
        zone: members.self.zone,
        daemons: members.countAlive(),
        coldRequestsPerSecond: computeColdLimit(
          environment,
          request.service,
          () => computeStandaloneShare(members.getMembershipView()),
        ),
        isBatch: request.isBatch,
        workspace: sharedWorkspace,
        excluded: request.excluded,
        unreachableZones: request.unreachableZones ?? [],
      },
      nowMs,
    );
    return server && {server, sharedWorkspace};
  }

  /** Counts a slot that a pool owner has granted to this daemon. */
  recordGrant(serverId: string): void {
    this.localSlots.recordGrant(serverId);
  }

  /**
   * Releases a slot, taken standalone or granted by a pool owner, and records how
   * the call to its server ended.
   *
   * @param grant - the slot
   * @param outcome - how the call ended
   * @param times - times of the call, if there was one
   */
  release(
    {
      server,
      grantedMs,
      sharedWorkspace,
      isBatch,
    }: Pick<HeldGrant, 'server' | 'grantedMs' | 'sharedWorkspace' | 'isBatch'>,
    outcome: CallOutcome,
    times?: CallTimes,
  ): void {
    const nowMs = this.options.clock.now();
    if (outcome === CallOutcome.SUCCEEDED && !isBatch) {
      this.estimates.record(times?.route, nowMs - grantedMs, times);
    }
    const {id} = server;
    this.localSlots.release(id, outcome, nowMs, grantedMs, sharedWorkspace);
  }
}
