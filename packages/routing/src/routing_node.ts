/** Routing of one daemon: its owners, its places, and the calls between. */
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

/** What the daemon gives to routing. */
export interface RoutingParts {
  view: MembershipView;
  /** Calls other daemons. */
  peers: RoutingPeers;
  environment: EnvironmentSource;
  loadReader: LoadReader;
  quarantineStore: QuarantineStore;
  clock: Clock;
  log: EventLog;
  /** Terms and bounds that differ from the defaults. */
  settings?: Partial<RoutingSettings>;
}

/** Routing of one daemon. */
export class RoutingNode implements SlotAllocator, RoutingEndpoint {
  private readonly settings: RoutingSettings;
  private readonly holdings: HeldGrants;
  private readonly crashes: QuarantineCoordinator;
  private readonly context: OwnerContext;
  private readonly sender: ReleaseSender;
  private readonly placer: SlotClient;
  private readonly owners = new Map<string, PoolOwner>();
  private readonly stopping = new AbortController();
  private readonly suspicionHandlers: Record<
    SuspicionKind,
    (fingerprint: string, serverId: string) => void
  > = {
    [SuspicionKind.SUSPECTED]: (fingerprint, serverId) =>
      this.crashes.tracker.addSuspect(fingerprint, serverId),
    [SuspicionKind.HELD]: (fingerprint) =>
      this.crashes.tracker.addHeld(fingerprint, this.settings.verdictMs),
    [SuspicionKind.CLEARED]: (fingerprint) =>
      this.crashes.tracker.clearSuspect(fingerprint),
  };
  private stopWatching: () => void = () => undefined;

  /**
   * @param parts - what the daemon gives to routing
   */
  constructor(private readonly parts: RoutingParts) {
    const {view, environment, clock, log} = parts;
    this.settings = {...DEFAULT_ROUTING_SETTINGS, ...parts.settings};
    const settings = this.settings;
    const peers = createLoopbackPeers(view.self, parts.peers, () => this);
    this.holdings = new HeldGrants(clock);
    this.sender = new ReleaseSender(peers, clock);
    this.crashes = new QuarantineCoordinator({
      ...parts,
      peers,
      settings,
      store: parts.quarantineStore,
      tracker: new CrashTracker(clock, settings.suspectMs),
      quarantine: new Quarantine(clock, log, settings.quarantineMs),
    });
    this.context = {
      ...parts,
      peers,
      settings,
      crashes: this.crashes,
      counters: createRoutingCounters(),
    };
    this.placer = new SlotClient({
      ...this.context,
      zones: new ZoneOrder(environment, view.self),
      holdings: this.holdings,
      sender: this.sender,
    });
  }

  /** Starts the work that no message triggers. */
  start(): void {
    this.stopWatching = this.parts.environment.subscribe(() =>
      this.applyEnvironment(),
    );
    void this.run();
    void this.crashes.runUpdates(this.stopping.signal);
  }

  /** Stops all tasks; releases that are under way are still sent. */
  async stop(): Promise<void> {
    this.stopping.abort();
    this.stopWatching();
    for (const owner of this.owners.values()) owner.stop();
    await this.sender.drain();
  }

  /** {@inheritDoc Placer.acquire} */
  acquire(request: SlotRequest): ResultAsync<SlotGrant, SavoryspurError> {
    return this.placer.acquire(request);
  }

  /** {@inheritDoc Placer.release} */
  release(placement: SlotGrant, report: SlotUsageReport): void {
    this.placer.release(placement, report);
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
    for (const grantId of input.grantIds) this.holdings.revoke(grantId);
  }

  /** {@inheritDoc RoutingEndpoint.handleRegister} */
  handleRegister(
    caller: PeerInfo,
    input: RegisterSlotsInput,
  ): RegisterSlotsAnswer {
    if (input.zone === this.parts.view.self.zone) this.recordOwn(input.pool);
    return this.holdings.register(caller, input.pool, input.zone);
  }

  /** {@inheritDoc RoutingEndpoint.handleSuspect} */
  handleSuspect(caller: PeerInfo, input: SuspectInput): void {
    for (const fingerprint of input.fingerprints) {
      this.suspicionHandlers[input.kind](fingerprint, input.serverId);
    }
  }

  /** {@inheritDoc RoutingEndpoint.handleConvict} */
  handleConvict(caller: PeerInfo, input: QuarantineRecord): void {
    this.crashes.quarantine.add(input);
    this.crashes.tracker.clearSuspect(input.fingerprint);
  }

  /** Gets the status for operators. */
  getStatus(): RoutingStatus {
    return {
      pools: [...this.owners.values()].map((owner) => owner.getStatus()),
      heldPlaces: this.holdings.count(),
      suspects: this.crashes.tracker.count(),
      quarantined: this.crashes.quarantine.count(),
      counters: {...this.context.counters},
    };
  }

  /** Runs one period of the work that no message triggers. */
  runPeriod(): void {
    this.addOwners();
    for (const owner of this.owners.values()) owner.runPeriod();
  }

  private async run(): Promise<void> {
    const {clock} = this.parts;
    while (!this.stopping.signal.aborted) {
      this.runPeriod();
      await clock.sleep(this.settings.tickMs, this.stopping.signal);
    }
  }

  private applyEnvironment(): void {
    for (const owner of this.owners.values()) owner.applyEnvironment();
  }

  /** Adds owners of pools that were delegated to this host. */
  private addOwners(): void {
    const {environment, view} = this.parts;
    const index = environment.getCurrent();
    for (const pool of index?.document.pools ?? []) {
      if (this.owners.has(pool.name)) continue;
      const share = view.getDelegatedShare(createPoolKey(pool.name));
      if (share.slots > 0) this.getOwner(pool.name);
    }
  }

  private getOwner(pool: string): PoolOwner | undefined {
    const known = this.owners.get(pool);
    if (known) return known;
    const index = this.parts.environment.getCurrent();
    if (!index?.findPool(pool)) return undefined;
    const owner = new PoolOwner(pool, this.context);
    this.owners.set(pool, owner);
    return owner;
  }

  /** Keeps what this host's owner knows, for the owner that asks. */
  private recordOwn(pool: string): void {
    for (const server of this.owners.get(pool)?.listServers() ?? []) {
      if (server.reported === undefined) continue;
      this.holdings.recordKnowledge(server.server, server.createKnowledge());
    }
  }
}

/**
 * Makes the routing of one daemon.
 *
 * @param parts - what the daemon gives to routing
 */
export function createRoutingNode(parts: RoutingParts): RoutingNode {
  return new RoutingNode(parts);
}
