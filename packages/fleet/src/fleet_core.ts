/** Membership, slots and delegation leases of one daemon, over any transport. */
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

/** What a fleet needs. */
export interface FleetOptions {
  settings: Settings;
  /** Identity of this run of the daemon, unique over all runs. */
  incarnation: string;
  clock: Clock;
  log: EventLog;
  hostList: HostList;
  table: TableService;
  environment: EnvironmentSource;
}

/** What the core needs beside the options of the fleet. */
export interface FleetCoreOptions extends FleetOptions {
  /** Calls the other daemons. */
  caller: PeerCaller<TRPCClient<FleetRootRouter>>;
}

/** Slots and leases of one daemon, for operators. */
export interface SlotStatus {
  /** Slots that the table names for this daemon. */
  heldSlots: number;
  /** Slots that this daemon delegates now. */
  usableSlots: number;
  /** Time between heartbeats and term of a delegation, milliseconds. */
  timing: HeartbeatTiming;
}

/** Parts of the takeover time after which the event loop is checked. */
const TICKS_PER_TAKEOVER = 20;

/** Calls in flight when telling all daemons that this one leaves. */
const LEAVE_CONCURRENCY = 32;

/** One daemon's part in the fleet, without its connections. */
export class FleetCore implements MembershipView, ShareHistorySource {
  /** Procedures for the others; mount as `fleet` in the daemon's router. */
  readonly router: FleetRouter;
  /** Which daemons are believed alive. */
  readonly membership: Membership;
  private readonly directory: HostDirectory;
  private readonly slots: QuotaSlotClaimer;
  private readonly giver: DelegationGrantor;
  private readonly holder: DelegationHolder;
  private readonly heartbeats: Heartbeats;
  private readonly stopped = new AbortController();
  private stopWatching: () => void = () => undefined;
  private readonly startedMs: number;
  private info: PeerInfo;
  private keeper: TokenHandover | undefined;
  private isStopping = false;
  private isReleased = false;

  /**
   * @param options - settings, clock, platform and caller
   */
  constructor(private readonly options: FleetCoreOptions) {
    const {settings, clock, log} = options;
    const {leases, host} = settings;
    this.info = createSelf(settings, options.incarnation);
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
      getSelf: () => this.info,
      getSuspectMs: () => this.getTiming().termMs,
      avoidMs: 2 * leases.heartbeatMs,
    });
    this.holder = new DelegationHolder(host.id, clock);
    this.slots = this.createSlots();
    this.giver = this.createGiver();
    this.heartbeats = new Heartbeats({
      clock,
      membership: this.membership,
      giver: this.giver,
      holder: this.holder,
      caller: options.caller,
      onTokens: (released) => this.keeper?.addTokens(released),
      getPeriodMs: () => this.getTiming().periodMs,
    });
    this.router = createFleetRouter({
      answerHeartbeat: (caller, request) => {
        this.handleCaller(caller);
        this.membership.recordPeerSeen(caller);
        return this.giver.answerHeartbeat(caller, request);
      },
      handleLeave: (caller) => this.handleLeave(caller),
      handleRelease: (caller, request) => {
        this.membership.recordPeerLeft(caller);
        this.giver.releaseReceiver(caller, request);
      },
      handleSlotsReleased: () => void this.slots.update(),
    });
  }

  /** This daemon as the others see it. */
  get self(): PeerInfo {
    return this.info;
  }

  /**
   * Finds the other daemons, takes slots and starts the periodic tasks.
   *
   * @param peerPort - port on which the others reach this daemon
   */
  async start(peerPort: number): Promise<void> {
    this.info = {...this.info, peerPort};
    await this.directory.update();
    await Promise.all([this.heartbeats.update(), this.slots.update()]);
    this.heartbeats.renewOwn();
    this.startTasks();
  }

  /** {@inheritDoc FleetView.listAlive} */
  listAlive(zone: string): PeerInfo[] {
    return this.membership.listAlive(zone);
  }

  /** {@inheritDoc FleetView.listZones} */
  listZones(): string[] {
    return this.membership.listZones();
  }

  /** {@inheritDoc FleetView.listOwners} */
  listOwners(key: string, zone: string): PeerInfo[] {
    return this.membership.listOwners(key, zone);
  }

  /** {@inheritDoc FleetView.computeOwner} */
  computeOwner(key: string, zone: string): PeerInfo | undefined {
    return this.membership.listOwners(key, zone)[0];
  }

  /** {@inheritDoc FleetView.getDelegatedShare} */
  getDelegatedShare(key: string): DelegatedShare {
    const delegators = this.isStopping
      ? new Map<string, number>()
      : this.holder.listDelegators(key);
    const zones = this.options.environment.getCurrent()?.document.zones ?? [];
    let slots = 0;
    for (const count of delegators.values()) slots += count;
    let zoneSlots = 0;
    let fleetSlots = 0;
    for (const zone of zones) {
      fleetSlots += zone.slots;
      if (zone.name === this.info.zone) zoneSlots = zone.slots;
    }
    return {slots, zoneSlots, fleetSlots, delegators};
  }

  /** {@inheritDoc ShareLedger.getShareHistory} */
  getShareHistory(key: string, sinceMs: number | undefined): ShareHistory {
    return this.holder.getShareHistory(key, sinceMs);
  }

  /** {@inheritDoc ShareLedger.listDelegators} */
  listDelegators(key: string): ReadonlyMap<string, number> {
    return this.holder.listDelegators(key);
  }

  /** Notes that a daemon connected to this one. */
  handleCaller(caller: PeerInfo): void {
    if (!this.directory.addCaller(caller)) return;
    if (caller.zone === this.info.zone) void this.heartbeats.update();
  }

  /** Gets period and term of heartbeats. */
  getTiming(): HeartbeatTiming {
    const peers = this.membership.countZonePeers();
    return computeHeartbeatTiming(this.options.settings.leases, peers);
  }

  /** Gets slots and leases for operators. */
  getSlotStatus(): SlotStatus {
    return {
      heldSlots: this.slots.countHeld(),
      usableSlots: this.slots.countUsable(),
      timing: this.getTiming(),
    };
  }

  /** Sets who keeps the tokens that move with delegated slots. */
  registerTokenHandover(keeper: TokenHandover): void {
    this.keeper = keeper;
  }

  /**
   * Gives the delegations of this daemon back with their unused tokens, takes
   * it out of every view and releases its slots. Calls of other daemons go on.
   */
  async leave(): Promise<void> {
    await this.releaseDelegations();
    await this.reportLeaving();
    await this.slots.leave();
  }

  /**
   * Stops giving out tokens, waits until none that were given out can be used,
   * and returns the delegations to their givers.
   */
  private async releaseDelegations(): Promise<void> {
    const {clock, caller} = this.options;
    this.heartbeats.stop();
    const stopAtMs = this.keeper?.getLastExpiryMs() ?? clock.now();
    this.isStopping = true;
    this.holder.setStop(stopAtMs);
    await clock.sleep(Math.max(0, stopAtMs - clock.now()) + 1);
    const tokens = this.keeper?.takeTokens() ?? new Map<string, KeyTokens[]>();
    this.isReleased = true;
    this.holder.release();
    this.membership.markLeaving();
    const createRelease = (giver: PeerInfo): ReleaseRequest => {
      const name = formatHostIncarnation(giver);
      const sequence = this.holder.getLastSequence(name);
      return {sequence, tokens: tokens.get(name) ?? []};
    };
    this.giver.releaseReceiver(this.info, createRelease(this.info));
    this.keeper?.refuseWaiters();
    const givers = this.membership.listAlive(this.info.zone);
    await Promise.all(
      givers.map((giver) =>
        caller.request(giver, 'fleet.release', (client, signal) =>
          client.fleet.release.mutate(createRelease(giver), {signal}),
        ),
      ),
    );
  }

  /** The owners of its keys renew their leases before this call returns. */
  private async handleLeave(caller: PeerInfo): Promise<void> {
    this.membership.recordPeerLeft(caller);
    if (caller.zone === this.info.zone && !this.isReleased) {
      await this.heartbeats.renewAll();
    }
  }

  private async reportLeaving(): Promise<void> {
    const peers = this.membership.listAllAlive();
    const isNear = (peer: PeerInfo): boolean => peer.zone === this.info.zone;
    peers.sort((a, b) => Number(isNear(a)) - Number(isNear(b)));
    const callNext = async (): Promise<void> => {
      for (let peer = peers.pop(); peer !== undefined; peer = peers.pop()) {
        await this.options.caller.request(
          peer,
          'fleet.leave',
          (client, signal) => client.fleet.leave.mutate(undefined, {signal}),
        );
      }
    };
    const callers = Array.from({length: LEAVE_CONCURRENCY}, callNext);
    await Promise.all(callers);
  }

  /** Ends all tasks. */
  stop(): void {
    this.stopped.abort();
    this.stopWatching();
    this.heartbeats.stop();
  }

  private createSlots(): QuotaSlotClaimer {
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
      onReleased: () => this.reportReleased(),
      getLastLapseMs: () => this.giver.getLastLapseMs(),
    });
  }

  /** Tells the zone that there are free slots. */
  private reportReleased(): void {
    for (const peer of this.membership.listAlive(this.info.zone)) {
      if (peer.host === this.info.host) continue;
      void this.options.caller.request(
        peer,
        'fleet.slotsReleased',
        (client, signal) =>
          client.fleet.slotsReleased.mutate(undefined, {signal}),
      );
    }
  }

  private createGiver(): DelegationGrantor {
    const zone = this.options.settings.host.zone;
    return new DelegationGrantor({
      clock: this.options.clock,
      getTermMs: () => this.getTiming().termMs,
      countSlots: () => this.slots.countUsable(),
      areSlotsFresh: () => this.slots.isFresh(),
      listMembers: () => this.membership.listAlive(zone).map((p) => p.host),
    });
  }

  /** A starting daemon leaves slots for all listed hosts of its zone. */
  private listSlotHosts(): string[] {
    const {clock, settings} = this.options;
    const isStarting =
      clock.now() - this.startedMs < settings.leases.slotTakeoverMs;
    const alive = this.membership.listAlive(this.info.zone);
    const hosts = new Set(alive.map((peer) => peer.host));
    if (!isStarting) return [...hosts];
    for (const host of this.directory.listHosts()) {
      const isLive = host.state === ListedHostState.LIVE;
      if (host.zone === this.info.zone && isLive) hosts.add(host.host);
    }
    return [...hosts];
  }

  private startTasks(): void {
    const {hostListPollMs} = this.options.settings.leases;
    const getTakeoverMs = (): number => this.getTiming().takeoverMs;
    this.runEvery(
      () => getTakeoverMs() / TICKS_PER_TAKEOVER,
      async () => this.slots.checkPause(),
    );
    this.runEvery(
      () => this.getTiming().periodMs,
      async () => {
        if (!this.isReleased) this.heartbeats.renewOwn();
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
      () => this.getSlotPeriodMs(),
      () => this.slots.update(),
    );
    this.stopWatching = this.options.environment.subscribe(
      () => void this.slots.update(),
    );
  }

  /** A daemon without slots looks for one soon. */
  private getSlotPeriodMs(): number {
    if (this.slots.countHeld() > 0) return this.getTiming().takeoverMs / 2;
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

function createSelf(settings: Settings, incarnation: string): PeerInfo {
  return {
    host: settings.host.id,
    zone: settings.host.zone,
    region: settings.host.region,
    address: settings.listen.address,
    peerPort: settings.listen.peerPort,
    incarnation,
  };
}
