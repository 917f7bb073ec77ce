/** Fleet of daemons over a simulated network and platform. */
import {ErrorCode, MemoryEventLog, SavoryspurError} from '@savoryspur/common';
import {
  createPeerRouter,
  FleetCore,
  type FleetRootRouter,
  type PeerCaller,
} from '@savoryspur/fleet';
import {
  createEnvironment,
  createSettings,
  ReplaceableEnvironment,
  MemoryHostList,
  MemoryTable,
} from '@savoryspur/fleet/testing';
import {type PeerInfo, TrafficClass, type Workspace} from '@savoryspur/schema';
import type {TRPCClient} from '@trpc/client';
import {ResultAsync} from 'neverthrow';
import {
  createRateLimiter,
  type FleetRateLimiter,
  formatRateKey,
  type LimitsRootRouter,
} from '../src/index.js';
import {HostClock, type SimulatedTime} from './simulated_time.js';
import {WindowChecker} from './window_checker.js';

/** Lease settings of the simulated daemons. */
export const LEASES = {
  heartbeatMs: 200,
  delegationMs: 800,
  slotTakeoverMs: 3000,
  hostListPollMs: 300,
  heartbeatBytes: 1_000_000,
};

/** Time limit of calls, milliseconds. */
const CALL_TIMEOUT_MS = 300;

/** One simulated daemon. */
export interface SimulatedHost {
  peer: PeerInfo;
  clock: HostClock;
  core: FleetCore;
  limiter: FleetRateLimiter;
  environment: ReplaceableEnvironment;
}

/** Current behaviour of the simulated network. */
export interface Network {
  /** Zones that are cut off from all other zones and from the platform. */
  cutZones: Set<string>;
  /** Delay of a message in one direction, milliseconds. */
  delayMs: (from: PeerInfo, to: PeerInfo) => number;
  /** Whether an answer is lost after the call took effect. */
  isAnswerLost: () => boolean;
}

type Client = TRPCClient<FleetRootRouter> & TRPCClient<LimitsRootRouter>;

/** Simulated daemons with their platform. */
export class SimulatedFleet {
  readonly hosts = new Map<string, SimulatedHost>();
  readonly table = new MemoryTable();
  readonly hostList = new MemoryHostList();
  readonly network: Network = {
    cutZones: new Set(),
    delayMs: () => 1,
    isAnswerLost: () => false,
  };
  readonly checker = new WindowChecker();
  refused = 0;
  private startCount = 0;

  constructor(
    private readonly time: SimulatedTime,
    private readonly zones: Record<string, number>,
    public workspace: Workspace,
  ) {}

  /** Adds a host to the host list before its daemon starts. */
  list(host: string, zone: string): void {
    const address = '127.0.0.1';
    const location = {zone, region: 'region-1', address, peerPort: 1};
    this.hostList.add({host, ...location, incarnation: ''});
  }

  /** Starts a daemon, which the host list contains at once. */
  async start(host: string, zone: string): Promise<void> {
    this.startCount += 1;
    const clock = new HostClock(this.time, 1000 * this.startCount);
    const environment = new ReplaceableEnvironment(
      createEnvironment(this.zones, [this.workspace]),
    );
    const settings = createSettings(host, zone, LEASES);
    let core: FleetCore | undefined = undefined;
    const caller = this.createCaller(() => core!.self);
    core = new FleetCore({
      settings,
      incarnation: `run-${this.startCount}`,
      clock,
      log: new MemoryEventLog(),
      hostList: this.createPlatform(zone, this.hostList),
      table: this.createPlatform(zone, this.table),
      environment,
      caller,
    });
    const limiter = createRateLimiter({
      clock,
      environment,
      view: core,
      caller,
      callTimeoutMs: CALL_TIMEOUT_MS,
    });
    core.registerTokenHandover(limiter.tokenHandover);
    this.hosts.set(host, {peer: core.self, clock, core, limiter, environment});
    this.hostList.add({...core.self, peerPort: 1});
    await Promise.race([core.start(1), this.time.waitForTasks()]);
  }

  /** Stops a daemon abruptly. */
  stop(host: string): void {
    const found = this.hosts.get(host);
    if (found === undefined) return;
    found.clock.isDead = true;
    found.core.stop();
    this.hosts.delete(host);
  }

  /** Sends one request to a host and records whether it is admitted. */
  sendRequest(host: string, maxWaitMs: number): void {
    const found = this.hosts.get(host);
    if (found === undefined || found.clock.isFrozen) return;
    void found.limiter
      .acquire({
        workspace: this.workspace.name,
        trafficClass: TrafficClass.ONLINE,
        count: 1,
        maxWaitMs,
      })
      .then((result) => {
        if (found.clock.isDead) return;
        if (result.isOk()) this.checker.record(this.time.nowMs, 1);
        else this.refused += 1;
      });
  }

  /** Sums the shares and tokens of all owners, frozen hosts included. */
  sumShares(): {
    delegatedShare: number;
    effectiveShare: number;
    tokens: number;
  } {
    const sum = {delegatedShare: 0, effectiveShare: 0, tokens: 0};
    const key = formatRateKey(this.workspace.name);
    for (const {core, limiter} of this.hosts.values()) {
      const {slots, fleetSlots} = core.getDelegatedShare(key);
      sum.delegatedShare += slots / fleetSlots;
      const status = limiter.getWorkspaceStatus(this.workspace.name);
      sum.effectiveShare += status?.effectiveShare ?? 0;
      sum.tokens += status?.tokens ?? 0;
    }
    return sum;
  }

  /** Applies a new version of the workspace on one host. */
  applyWorkspace(host: string, workspace: Workspace): void {
    const environment = createEnvironment(this.zones, [workspace]);
    this.hosts.get(host)?.environment.replace(environment);
  }

  private isCut(zone: string): boolean {
    return this.network.cutZones.has(zone);
  }

  /**
   * Creates the view of a platform service from a zone; it is unavailable while
   * the zone is cut off.
   */
  private createPlatform<T extends object>(zone: string, service: T): T {
    const answerUnavailable = (): unknown =>
      ResultAsync.fromPromise(Promise.reject(new Error('cut')), () =>
        createFailure('platform', ErrorCode.UNAVAILABLE),
      );
    return new Proxy(service, {
      get: (target, name, receiver) => {
        if (name !== 'isUnavailable' && this.isCut(zone))
          return answerUnavailable;
        return Reflect.get(target, name, receiver) as unknown;
      },
    });
  }

  private createCaller(getSelf: () => PeerInfo): PeerCaller<Client> {
    return {
      request: (peer, step, run, timeoutMs = CALL_TIMEOUT_MS) =>
        ResultAsync.fromPromise(
          this.runCall(getSelf(), peer, run, timeoutMs),
          (thrown) =>
            thrown instanceof SavoryspurError
              ? thrown
              : createFailure(step, ErrorCode.INTERNAL, thrown),
        ),
    };
  }

  private async runCall<T>(
    from: PeerInfo,
    to: PeerInfo,
    run: (client: Client, signal: AbortSignal) => Promise<T>,
    timeoutMs: number,
  ): Promise<T> {
    const caller = this.hosts.get(from.host);
    const called = this.hosts.get(to.host);
    if (caller === undefined) return new Promise<never>(() => undefined);
    if (called === undefined || this.isDisconnected(from, to)) {
      await caller.clock.sleep(this.isDisconnected(from, to) ? timeoutMs : 1);
      throw createFailure(to.host, ErrorCode.UNAVAILABLE);
    }
    const {incarnation} = called.core.self;
    caller.core.membership.recordPeerSeen(called.core.self);
    if (to.incarnation !== '' && to.incarnation !== incarnation) {
      throw createFailure(to.host, ErrorCode.CONFLICT);
    }
    const client = this.createClient(from, caller, called);
    const timeout = caller.clock.sleep(timeoutMs).then(() => {
      throw createFailure(to.host, ErrorCode.TIMEOUT);
    });
    const answer = run(client, new AbortController().signal);
    return Promise.race([answer, timeout]);
  }

  private isDisconnected(a: PeerInfo, b: PeerInfo): boolean {
    return a.zone !== b.zone && (this.isCut(a.zone) || this.isCut(b.zone));
  }

  private createClient(
    from: PeerInfo,
    caller: SimulatedHost,
    called: SimulatedHost,
  ): Client {
    const router = createPeerRouter({
      fleet: called.core.router,
      limits: called.limiter.router,
    });
    const procedures = router.createCaller({caller: from});
    const to = called.core.self;
    const createProcedure =
      <I, O>(handle: (input: I) => Promise<O>) =>
      async (input: I): Promise<O> => {
        await called.clock.sleep(this.network.delayMs(from, to));
        await called.clock.waitUntilRunning();
        called.core.handleCaller(from);
        const answer = await handle(structuredClone(input));
        await caller.clock.sleep(this.network.delayMs(to, from));
        const isLost =
          this.isDisconnected(from, to) || this.network.isAnswerLost();
        if (isLost) await new Promise<never>(() => undefined);
        return answer;
      };
    return {
      fleet: {
        heartbeat: {mutate: createProcedure(procedures.fleet.heartbeat)},
        release: {mutate: createProcedure(procedures.fleet.release)},
        leave: {mutate: createProcedure(() => procedures.fleet.leave())},
        slotsReleased: {
          mutate: createProcedure(() => procedures.fleet.slotsReleased()),
        },
      },
      limits: {
        acquire: {mutate: createProcedure(procedures.limits.acquire)},
        borrow: {mutate: createProcedure(procedures.limits.borrow)},
      },
    } as unknown as Client;
  }
}

function createFailure(
  peer: string,
  code: ErrorCode,
  cause?: unknown,
): SavoryspurError {
  return new SavoryspurError(code, {step: 'simulated', peer}, 'failed', {
    cause,
  });
}
