/**
 * Routing of one daemon: its pool owners, its held slots, and the calls from
 * other daemons.
 */
import type {LoadReader} from '@savoryspur/backends';
import type {Clock, EnvironmentSource, EventLog} from '@savoryspur/common';
import type {MembershipView} from '@savoryspur/fleet';
import {
  type AcquireSlotAnswer,
  type AcquireSlotInput,
  type PeerInfo,
  type SlotRelease,
  type QuarantineRecord,
  RefusalReason,
  type RegisterSlotsAnswer,
  type RegisterSlotsInput,
  type ReleaseSlotsInput,
  type RevokeSlotsInput,
  type SuspectInput,
  SuspicionKind,
} from '@savoryspur/schema';
import type {SavoryspurError} from '@savoryspur/common';
import type {ResultAsync} from 'neverthrow';
import type {
  SlotGrant,
  SlotUsageReport,
  SlotRequest,
  SlotAllocator,
} from './slot_allocator.js';
import {QuarantineCoordinator} from './quarantine_coordinator.js';
import {CrashTracker} from './crash_tracker.js';
import {HeldGrants} from './held_grants.js';
import {createLoopbackPeers} from './loopback_peers.js';
import type {OwnerContext} from './owner_context.js';
import {createPoolKey} from './pool_key.js';
import {PoolOwner} from './pool_owner.js';
import {Quarantine, type QuarantineStore} from './quarantine.js';
import {ReleaseSender} from './release_sender.js';
import {SlotClient} from './slot_client.js';
import type {RoutingEndpoint, RoutingPeers} from './routing_peers.js';
import {DEFAULT_ROUTING_SETTINGS, type RoutingSettings} from './settings.js';
import {createRoutingCounters, type RoutingStatus} from './status.js';
import {createRefusal} from './wait_queue.js';
import {ZoneOrder} from './zone_order.js';

/** Dependencies and settings that the daemon passes to routing. */
export interface RoutingParts {
  view: MembershipView;
  /** Calls other daemons. */
  peers: RoutingPeers;
  environment: EnvironmentSource;
  loadReader: LoadReader;
  quarantineStore: QuarantineStore;
  clock: Clock;
  log: EventLog;
  /** Settings that differ from the defaults. */
  settings?: Partial<RoutingSettings>;
}

/**
 * Routing of one daemon: allocates slots for this host and owns pools for all
 * hosts.
 */
export class RoutingNode implements SlotAllocator, RoutingEndpoint {
  private readonly settings: RoutingSettings;
  private readonly heldGrants: HeldGrants;
  private readonly coordinator: QuarantineCoordinator;
  private readonly context: OwnerContext;
  private readonly releaseSender: ReleaseSender;
  private readonly slotClient: SlotClient;
  private readonly owners = new Map<string, PoolOwner>();
  private readonly stopping = new AbortController();
  private readonly suspicionHandlers: Record<
    SuspicionKind,
    (fingerprint: string, serverId: string) => void
  > = {
    [SuspicionKind.SUSPECTED]: (fingerprint, serverId) =>
      this.coordinator.tracker.addSuspect(fingerprint, serverId),
    [SuspicionKind.HELD]: (fingerprint) =>
      this.coordinator.tracker.addBlocked(
        fingerprint,
        this.settings.crashCheckTimeoutMs,
      ),
    [SuspicionKind.CLEARED]: (fingerprint) =>
      this.coordinator.tracker.clearSuspect(fingerprint),
  };
  private endSubscription: () => void = () => undefined;

  /**
   * @param parts - dependencies and settings
   */
  constructor(private readonly parts: RoutingParts) {
    const {view, environment, clock, log} = parts;
    this.settings = {...DEFAULT_ROUTING_SETTINGS, ...parts.settings};
    const settings = this.settings;
    const peers = createLoopbackPeers(view.self, parts.peers, () => this);
    this.heldGrants = new HeldGrants(clock);
    this.releaseSender = new ReleaseSender(peers, clock);
    this.coordinator = new QuarantineCoordinator({
      ...parts,
      peers,
      settings,
      store: parts.quarantineStore,
      tracker: new CrashTracker(clock, settings.suspectTermMs),
      quarantine: new Quarantine(clock, log, settings.quarantineTermMs),
    });
    this.context = {
      ...parts,
      peers,
      settings,
      coordinator: this.coordinator,
      counters: createRoutingCounters(),
    };
    this.slotClient = new SlotClient({
      ...this.context,
      zones: new ZoneOrder(environment, view.self),
      heldGrants: this.heldGrants,
      releaseSender: this.releaseSender,
    });
  }

  /**
   * Starts periodic maintenance, the quarantine sync and the subscription to
   * the configuration.
   */
  start(): void {
    this.endSubscription = this.parts.environment.subscribe(() =>
      this.applyEnvironment(),
    );
    void this.runMaintenanceLoop();
    void this.coordinator.runQuarantineSync(this.stopping.signal);
  }

  /**
   * Stops all tasks and waits until the queued releases are sent or given up.
   */
  async stop(): Promise<void> {
    this.stopping.abort();
    this.endSubscription();
    for (const owner of this.owners.values()) owner.stop();
    await this.releaseSender.waitUntilSent();
  }

  /** {@inheritDoc SlotAllocator.acquire} */
  acquire(request: SlotRequest): ResultAsync<SlotGrant, SavoryspurError> {
    return this.slotClient.acquire(request);
  }

  /** {@inheritDoc SlotAllocator.release} */
  release(grant: SlotGrant, report: SlotUsageReport): void {
    this.slotClient.release(grant, report);
  }

  /** {@inheritDoc RoutingEndpoint.handleAcquire} */
  async handleAcquire(
    caller: PeerInfo,
    input: AcquireSlotInput,
  ): Promise<AcquireSlotAnswer> {
    const owner = this.getOwner(input.pool);
    if (!owner) return createRefusal(RefusalReason.NOT_OWNER);
    return owner.acquire(caller, input);
  }

  /** {@inheritDoc RoutingEndpoint.handleRelease} */
  handleRelease(caller: PeerInfo, input: ReleaseSlotsInput): void {
    const byPool = new Map<string, SlotRelease[]>();
    for (const release of input.releases) {
      const releases = byPool.get(release.pool);
      if (releases) releases.push(release);
      else byPool.set(release.pool, [release]);
    }
    for (const [pool, releases] of byPool) {
      this.owners.get(pool)?.release(releases);
    }
  }

  /** {@inheritDoc RoutingEndpoint.handleRevoke} */
  handleRevoke(caller: PeerInfo, input: RevokeSlotsInput): void {
    for (const grantId of input.grantIds) this.heldGrants.revoke(grantId);
  }

  /** {@inheritDoc RoutingEndpoint.handleRegister} */
  handleRegister(
    caller: PeerInfo,
    input: RegisterSlotsInput,
  ): RegisterSlotsAnswer {
    if (input.zone === this.parts.view.self.zone)
      this.recordOwnHints(input.pool);
    return this.heldGrants.register(caller, input.pool, input.zone);
  }

  /** {@inheritDoc RoutingEndpoint.handleSuspect} */
  handleSuspect(caller: PeerInfo, input: SuspectInput): void {
    for (const fingerprint of input.fingerprints) {
      this.suspicionHandlers[input.kind](fingerprint, input.serverId);
    }
  }

  /** {@inheritDoc RoutingEndpoint.handleConvict} */
  handleConvict(caller: PeerInfo, input: QuarantineRecord): void {
    this.coordinator.quarantine.add(input);
    this.coordinator.tracker.clearSuspect(input.fingerprint);
  }

  /** Gets the status for operators. */
  getStatus(): RoutingStatus {
    return {
      pools: [...this.owners.values()].map((owner) => owner.getStatus()),
      heldPlaces: this.heldGrants.count(),
      suspects: this.coordinator.tracker.count(),
      quarantined: this.coordinator.quarantine.count(),
      counters: {...this.context.counters},
    };
  }

  /** Runs one period of the maintenance of all owners. */
  runMaintenance(): void {
    this.addOwners();
    for (const owner of this.owners.values()) owner.runMaintenance();
  }

  private async runMaintenanceLoop(): Promise<void> {
    const {clock} = this.parts;
    while (!this.stopping.signal.aborted) {
      this.runMaintenance();
      await clock.sleep(
        this.settings.maintenancePeriodMs,
        this.stopping.signal,
      );
    }
  }

  private applyEnvironment(): void {
    for (const owner of this.owners.values()) owner.applyEnvironment();
  }

  /** Adds owners for pools of which this host has a delegated share. */
  private addOwners(): void {
    const {environment, view} = this.parts;
    const index = environment.getCurrent();
    for (const pool of index?.document.pools ?? []) {
      if (this.owners.has(pool.name)) continue;
      const share = view.getDelegatedShare(createPoolKey(pool.name));
      if (share.slots > 0) this.getOwner(pool.name);
    }
  }

  /**
   * Gets the owner of a pool, creating it if needed; undefined for an unknown
   * pool.
   */
  private getOwner(pool: string): PoolOwner | undefined {
    const known = this.owners.get(pool);
    if (known) return known;
    const index = this.parts.environment.getCurrent();
    if (!index?.findPool(pool)) return undefined;
    const owner = new PoolOwner(pool, this.context);
    this.owners.set(pool, owner);
    return owner;
  }

  /**
   * Records the warm-up hints of this host's owner of a pool, so that the owner
   * that asks gets them.
   */
  private recordOwnHints(pool: string): void {
    for (const server of this.owners.get(pool)?.listServers() ?? []) {
      if (server.loadReport === undefined) continue;
      this.heldGrants.recordWarmUpHint(
        server.server,
        server.createWarmUpHint(),
      );
    }
  }
}

/**
 * Makes the routing of one daemon.
 *
 * @param parts - dependencies and settings
 */
export function createRoutingNode(parts: RoutingParts): RoutingNode {
  return new RoutingNode(parts);
}
