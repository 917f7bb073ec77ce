/**
 * Membership, quota slots and delegation leases of one daemon, independent of
 * the transport.
 */
import {
  type Clock,
  type EnvironmentSource,
  type EventLog,
  FleetEvent,
} from '@savoryspur/common';
import type {HostList, TableService} from '@savoryspur/storage';
import {
  ListedHostState,
  type KeyTokens,
  type PeerInfo,
  type ReleaseRequest,
  type Settings,
} from '@savoryspur/schema';
import type {TRPCClient} from '@trpc/client';
import type {
  DelegatedShare,
  MembershipView,
  PeerCaller,
  ShareHistory,
  ShareHistorySource,
  TokenHandover,
} from './contract.js';
import {DelegationGrantor} from './delegation_grantor.js';
import {DelegationHolder} from './delegation_holder.js';
import {
  createFleetRouter,
  type FleetRootRouter,
  type FleetRouter,
} from './fleet_router.js';
import {
  computeHeartbeatTiming,
  type HeartbeatTiming,
} from './heartbeat_timing.js';
import {formatHostIncarnation, Heartbeats} from './heartbeats.js';
import {HostDirectory} from './host_directory.js';
import {Membership} from './membership.js';
import {QuotaSlotClaimer} from './quota_slot_claimer.js';

/** Dependencies and settings of {@link FleetCore} and `Fleet`. */
export interface FleetOptions {
  settings: Settings;
  /** Unique identifier of this process lifetime of the daemon. */
  incarnation: string;
  clock: Clock;
  log: EventLog;
  hostList: HostList;
  table: TableService;
  environment: EnvironmentSource;
}

/** Dependencies of {@link FleetCore}. */
export interface FleetCoreOptions extends FleetOptions {
  /** Calls the other daemons. */
  caller: PeerCaller<TRPCClient<FleetRootRouter>>;
}

/** Quota slots and lease timing of one daemon, shown to operators. */
export interface SlotStatus {
  /** Quota slots that the table assigns to this daemon. */
  heldSlots: number;
  /** Quota slots that this daemon delegates now. */
  usableSlots: number;
  /** Heartbeat period, delegation term and takeover time. */
  timing: HeartbeatTiming;
}

/** Number of checks for event-loop pauses within one takeover time. */
const PAUSE_CHECKS_PER_TAKEOVER = 20;

/** Maximum number of `leave` calls in flight when this daemon stops. */
const MAX_CONCURRENT_LEAVE_CALLS = 32;

/** One daemon's membership and quota slots, without its connections. */
export class FleetCore implements MembershipView, ShareHistorySource {
  /** Procedures for other daemons; mount as `fleet` in the daemon's router. */
  readonly router: FleetRouter;
  /** Daemons of all zones and whether they are considered alive. */
  readonly membership: Membership;
  private readonly directory: HostDirectory;
  private readonly slotClaimer: QuotaSlotClaimer;
  private readonly grantor: DelegationGrantor;
  private readonly holder: DelegationHolder;
  private readonly heartbeats: Heartbeats;
  private readonly stopped = new AbortController();
  private cancelEnvironmentSubscription: () => void = () => undefined;
  private readonly startedMs: number;
  private selfInfo: PeerInfo;
  private tokenHandover: TokenHandover | undefined;
  private isHandingOver = false;
  private hasReleased = false;

  /**
   * @param options - settings, clock, platform and caller
   */
  constructor(private readonly options: FleetCoreOptions) {
    const {settings, clock, log} = options;
    const {leases, host} = settings;
    this.selfInfo = createSelfInfo(settings, options.incarnation);
    this.startedMs = clock.now();
    this.directory = new HostDirectory(
      options.hostList,
      clock,
      leases.slotTakeoverMs,
    );
    this.membership = new Membership({
      clock,
      log,
      directory: this.directory,
      getSelf: () => this.selfInfo,
      getSuspectTimeoutMs: () => this.getTiming().termMs,
      suspectAfterFailureMs: 2 * leases.heartbeatMs,
    });
    this.holder = new DelegationHolder(host.id, clock);
    this.slotClaimer = this.createSlotClaimer();
    this.grantor = this.createGrantor();
    this.heartbeats = new Heartbeats({
      clock,
      membership: this.membership,
      grantor: this.grantor,
      holder: this.holder,
      caller: options.caller,
      onReleasedTokens: (released) => this.tokenHandover?.addTokens(released),
      getPeriodMs: () => this.getTiming().periodMs,
    });
    this.router = createFleetRouter({
      answerHeartbeat: (caller, request) => {
        this.handleCaller(caller);
        this.membership.recordPeerSeen(caller);
        return this.grantor.answerHeartbeat(caller, request);
      },
      handleLeave: (caller) => this.handleLeave(caller),
      handleRelease: (caller, request) => {
        this.membership.recordPeerLeft(caller);
        this.grantor.endDelegations(caller, request);
      },
      handleSlotsReleased: () => void this.slotClaimer.update(),
    });
  }

  /** Identity and address of this daemon. */
  get self(): PeerInfo {
    return this.selfInfo;
  }

  /**
   * Finds the other daemons, claims quota slots and starts the periodic tasks.
   *
   * @param peerPort - port on which other daemons reach this one
   */
  async start(peerPort: number): Promise<void> {
    this.selfInfo = {...this.selfInfo, peerPort};
    await this.directory.update();
    await Promise.all([this.heartbeats.update(), this.slotClaimer.update()]);
    this.heartbeats.renewOwnDelegation();
    this.startTasks();
  }

  /** {@inheritDoc MembershipView.listAlive} */
  listAlive(zone: string): PeerInfo[] {
    return this.membership.listAlive(zone);
  }

  /** {@inheritDoc MembershipView.listZones} */
  listZones(): string[] {
    return this.membership.listZones();
  }

  /** {@inheritDoc MembershipView.listOwners} */
  listOwners(key: string, zone: string): PeerInfo[] {
    return this.membership.listOwners(key, zone);
  }

  /** {@inheritDoc MembershipView.computeOwner} */
  computeOwner(key: string, zone: string): PeerInfo | undefined {
    return this.membership.listOwners(key, zone)[0];
  }

  /** {@inheritDoc MembershipView.getDelegatedShare} */
  getDelegatedShare(key: string): DelegatedShare {
    const delegators = this.isHandingOver
      ? new Map<string, number>()
      : this.holder.listDelegators(key);
    const zones = this.options.environment.getCurrent()?.document.zones ?? [];
    let slots = 0;
    for (const count of delegators.values()) slots += count;
    let zoneSlots = 0;
    let fleetSlots = 0;
    for (const zone of zones) {
      fleetSlots += zone.slots;
      if (zone.name === this.selfInfo.zone) zoneSlots = zone.slots;
    }
    return {slots, zoneSlots, fleetSlots, delegators};
  }

  /** {@inheritDoc ShareHistorySource.getShareHistory} */
  getShareHistory(key: string, sinceMs: number | undefined): ShareHistory {
    return this.holder.getShareHistory(key, sinceMs);
  }

  /** {@inheritDoc ShareHistorySource.listDelegators} */
  listDelegators(key: string): ReadonlyMap<string, number> {
    return this.holder.listDelegators(key);
  }

  /** Adds a daemon that connected to this one before the host list shows it. */
  handleCaller(caller: PeerInfo): void {
    if (!this.directory.addCaller(caller)) return;
    if (caller.zone === this.selfInfo.zone) void this.heartbeats.update();
  }

  /** Computes the lease timing for the present size of the zone. */
  getTiming(): HeartbeatTiming {
    const peers = this.membership.countZonePeers();
    return computeHeartbeatTiming(this.options.settings.leases, peers);
  }

  /** Gets quota slots and lease timing for operators. */
  getSlotStatus(): SlotStatus {
    return {
      heldSlots: this.slotClaimer.countHeld(),
      usableSlots: this.slotClaimer.countUsable(),
      timing: this.getTiming(),
    };
  }

  /**
   * Registers the handover of the tokens that go with delegated quota slots.
   */
  registerTokenHandover(tokenHandover: TokenHandover): void {
    this.tokenHandover = tokenHandover;
  }

  /**
   * Performs a planned stop: releases the delegations to this daemon with their
   * unused tokens, removes it from every membership view and releases its quota
   * slots. Calls of other daemons are still answered.
   */
  async leave(): Promise<void> {
    await this.releaseDelegations();
    await this.notifyLeaving();
    await this.slotClaimer.leave();
  }

  /**
   * Stops granting tokens, waits until all grants and loans have expired, and
   * releases the delegations to their grantors.
   */
  private async releaseDelegations(): Promise<void> {
    const {clock, caller} = this.options;
    this.heartbeats.stop();
    const lastExpiryMs = this.tokenHandover?.getLastExpiryMs() ?? clock.now();
    this.isHandingOver = true;
    this.holder.setGrantDeadline(lastExpiryMs);
    await clock.sleep(Math.max(0, lastExpiryMs - clock.now()) + 1);
    const tokens =
      this.tokenHandover?.takeTokens() ?? new Map<string, KeyTokens[]>();
    this.hasReleased = true;
    this.holder.release();
    this.membership.markLeaving();
    const createReleaseRequest = (grantor: PeerInfo): ReleaseRequest => {
      const name = formatHostIncarnation(grantor);
      const sequence = this.holder.getLastSequence(name);
      return {sequence, tokens: tokens.get(name) ?? []};
    };
    this.grantor.endDelegations(
      this.selfInfo,
      createReleaseRequest(this.selfInfo),
    );
    this.tokenHandover?.refuseWaiters();
    const grantors = this.membership.listAlive(this.selfInfo.zone);
    await Promise.all(
      grantors.map((grantor) =>
        caller.request(grantor, 'fleet.release', (client, signal) =>
          client.fleet.release.mutate(createReleaseRequest(grantor), {signal}),
        ),
      ),
    );
  }

  /**
   * Removes a stopping daemon from the membership view. When the call returns,
   * this daemon has renewed its delegations, so it holds leases for those keys
   * of the stopping daemon that it owns next.
   */
  private async handleLeave(caller: PeerInfo): Promise<void> {
    this.membership.recordPeerLeft(caller);
    if (caller.zone === this.selfInfo.zone && !this.hasReleased) {
      await this.heartbeats.renewAllDelegations();
    }
  }

  private async notifyLeaving(): Promise<void> {
    const peers = this.membership.listAllAlive();
    const isInOwnZone = (peer: PeerInfo): boolean =>
      peer.zone === this.selfInfo.zone;
    peers.sort((a, b) => Number(isInOwnZone(a)) - Number(isInOwnZone(b)));
    const callNext = async (): Promise<void> => {
      for (let peer = peers.pop(); peer !== undefined; peer = peers.pop()) {
        await this.options.caller.request(
          peer,
          'fleet.leave',
          (client, signal) => client.fleet.leave.mutate(undefined, {signal}),
        );
      }
    };
    const callers = Array.from({length: MAX_CONCURRENT_LEAVE_CALLS}, callNext);
    await Promise.all(callers);
  }

  /** Stops all tasks. */
  stop(): void {
    this.stopped.abort();
    this.cancelEnvironmentSubscription();
    this.heartbeats.stop();
  }

  private createSlotClaimer(): QuotaSlotClaimer {
    const {settings, incarnation, clock, log, table, environment} =
      this.options;
    return new QuotaSlotClaimer({
      clock,
      log,
      table,
      environment,
      directory: this.directory,
      host: settings.host.id,
      incarnation,
      zone: settings.host.zone,
      getTakeoverMs: () => this.getTiming().takeoverMs,
      getPeriodMs: () => this.getTiming().periodMs,
      getTermMs: () => this.getTiming().termMs,
      listLiveHosts: () => this.listSlotHosts(),
      onSlotsReleased: () => this.notifySlotsReleased(),
      getLastExpiryMs: () => this.grantor.getLastExpiryMs(),
    });
  }

  /** Notifies the daemons of the zone that there are free quota slots. */
  private notifySlotsReleased(): void {
    for (const peer of this.membership.listAlive(this.selfInfo.zone)) {
      if (peer.host === this.selfInfo.host) continue;
      void this.options.caller.request(
        peer,
        'fleet.slotsReleased',
        (client, signal) =>
          client.fleet.slotsReleased.mutate(undefined, {signal}),
      );
    }
  }

  private createGrantor(): DelegationGrantor {
    const zone = this.options.settings.host.zone;
    return new DelegationGrantor({
      clock: this.options.clock,
      getTermMs: () => this.getTiming().termMs,
      countUsableSlots: () => this.slotClaimer.countUsable(),
      areSlotsFresh: () => this.slotClaimer.isFresh(),
      listMembers: () => this.membership.listAlive(zone).map((p) => p.host),
    });
  }

  /**
   * Lists the hosts among which the quota slots of the zone are divided. While
   * this daemon starts, all listed hosts count, so that it leaves slots for
   * daemons that are not known to be alive yet.
   */
  private listSlotHosts(): string[] {
    const {clock, settings} = this.options;
    const isStarting =
      clock.now() - this.startedMs < settings.leases.slotTakeoverMs;
    const alive = this.membership.listAlive(this.selfInfo.zone);
    const hosts = new Set(alive.map((peer) => peer.host));
    if (!isStarting) return [...hosts];
    for (const host of this.directory.listHosts()) {
      const isLive = host.state === ListedHostState.LIVE;
      if (host.zone === this.selfInfo.zone && isLive) hosts.add(host.host);
    }
    return [...hosts];
  }

  private startTasks(): void {
    const {hostListPollMs} = this.options.settings.leases;
    const getTakeoverMs = (): number => this.getTiming().takeoverMs;
    this.runEvery(
      () => getTakeoverMs() / PAUSE_CHECKS_PER_TAKEOVER,
      async () => this.slotClaimer.checkPause(),
    );
    this.runEvery(
      () => this.getTiming().periodMs,
      async () => {
        if (!this.hasReleased) this.heartbeats.renewOwnDelegation();
        this.membership.reportChanges();
      },
    );
    this.runEvery(
      () => hostListPollMs,
      async () => {
        await this.directory.update();
        await this.heartbeats.update();
      },
    );
    this.runEvery(
      () => this.getSlotUpdatePeriodMs(),
      () => this.slotClaimer.update(),
    );
    this.cancelEnvironmentSubscription = this.options.environment.subscribe(
      () => void this.slotClaimer.update(),
    );
  }

  /**
   * Gets the time between updates of the quota slots, milliseconds. It is
   * shorter while this daemon holds none.
   */
  private getSlotUpdatePeriodMs(): number {
    if (this.slotClaimer.countHeld() > 0)
      return this.getTiming().takeoverMs / 2;
    return this.options.settings.leases.heartbeatMs / 2;
  }

  private runEvery(getPeriodMs: () => number, run: () => Promise<void>): void {
    const {clock, log} = this.options;
    const signal = this.stopped.signal;
    const runTask = async (): Promise<void> => {
      while (!signal.aborted) {
        await clock.sleep(getPeriodMs(), signal);
        if (signal.aborted) return;
        try {
          await run();
        } catch (thrown) {
          log.record(FleetEvent.TASK_FAILED, {reason: String(thrown)});
        }
      }
    };
    void runTask();
  }
}

function createSelfInfo(settings: Settings, incarnation: string): PeerInfo {
  return {
    host: settings.host.id,
    zone: settings.host.zone,
    region: settings.host.region,
    address: settings.listen.address,
    peerPort: settings.listen.peerPort,
    incarnation,
  };
}
