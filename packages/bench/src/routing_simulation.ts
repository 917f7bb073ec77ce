/**
 * Simulates a few engines and two daemons in one process, to measure routing: the
 * CPU time of each grant, and the effect of batch work on online requests.
 */
import {
  type Clock,
  EnvironmentIndex,
  type EnvironmentSource,
  LatencyHistogram,
  MemoryEventLog,
} from '@savoryspur/common';
import type {DelegatedShare, MembershipView} from '@savoryspur/fleet';
import {
  createRoutingNode,
  type SlotGrant,
  SlotUsageEnd,
  type RoutingNode,
  type RoutingPeers,
  type RoutingSettings,
} from '@savoryspur/routing';
import {
  type Environment,
  type PeerInfo,
  type Pool,
  TrafficClass,
  ZoneState,
} from '@savoryspur/schema';
import {okAsync} from 'neverthrow';

/** Availability zone of the simulated daemons and engines. */
const ZONE = 'z1';

/** Duration of one decoding step of an engine without running requests, milliseconds. */
const BASE_STEP_MS = 5;

/** Time that each running request adds to a decoding step, milliseconds. */
const STEP_PER_REQUEST_MS = 0.5;

/** Steps in which an engine processes the prompt; the last one gives the first token. */
const PREFILL_STEPS = 3;

/** One request in a simulated engine. */
interface EngineRequest {
  stepsLeft: number;
  /** Monotonic times at which its steps ended, milliseconds. */
  stepEndsMs: number[];
  /** Cancels the request. */
  signal: AbortSignal;
  /** Resolves with the times of the tokens, or undefined when cancelled. */
  finish: (tokenTimesMs: number[] | undefined) => void;
}

/**
 * A simulated engine with continuous batching: at each step it admits waiting
 * requests in order of arrival, without priorities, and gives each running
 * request one token.
 */
export class SimulatedEngine {
  private running: EngineRequest[] = [];
  private waiting: EngineRequest[] = [];

  /**
   * @param clock - clock that the steps follow
   * @param maxRunning - maximum number of requests that run at the same time; others
   *   wait in order of arrival
   */
  constructor(
    private readonly clock: Clock,
    private readonly maxRunning: number,
  ) {}

  /**
   * Runs one request.
   *
   * @param tokens - number of tokens in its answer
   * @param signal - cancels the request
   * @returns monotonic times of the tokens, milliseconds; undefined when cancelled
   */
  run(tokens: number, signal: AbortSignal): Promise<number[] | undefined> {
    return new Promise((finish) => {
      const stepsLeft = tokens + PREFILL_STEPS - 1;
      this.waiting.push({stepsLeft, stepEndsMs: [], signal, finish});
    });
  }

  /** Runs steps until the signal aborts. */
  async runSteps(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.dropCancelled();
      while (this.running.length < this.maxRunning && this.waiting.length > 0) {
        this.running.push(...this.waiting.splice(0, 1));
      }
      const stepMs = BASE_STEP_MS + STEP_PER_REQUEST_MS * this.running.length;
      const started = this.running.map((request) => request.stepsLeft);
      await this.clock.sleep(stepMs, signal);
      this.advance(started.length);
    }
  }

  private advance(count: number): void {
    for (const request of this.running.slice(0, count)) {
      request.stepsLeft -= 1;
      request.stepEndsMs.push(this.clock.now());
    }
    const ended = this.running.filter((request) => request.stepsLeft <= 0);
    this.running = this.running.filter((request) => request.stepsLeft > 0);
    for (const request of ended)
      request.finish(request.stepEndsMs.slice(PREFILL_STEPS - 1));
  }

  private dropCancelled(): void {
    const all = [...this.running, ...this.waiting];
    this.running = this.running.filter((request) => !request.signal.aborted);
    this.waiting = this.waiting.filter((request) => !request.signal.aborted);
    for (const request of all)
      if (request.signal.aborted) request.finish(undefined);
  }
}

/** Options of a simulation. */
export interface SimulationOptions {
  clock: Clock;
  /** Pool of all engines. */
  pool: Pool;
  /** Number of engines. */
  servers: number;
  /** Whether the engines run requests; true by default. */
  hasEngines?: boolean;
  /** Routing settings of the daemons that differ from the defaults. */
  settings?: Partial<RoutingSettings>;
}

/** Two simulated daemons and their engines. */
export interface SimulatedFleet {
  /** Daemon that owns the pool. */
  owner: RoutingNode;
  ownerInfo: PeerInfo;
  /** Daemon that uses the slots. */
  holder: RoutingNode;
  holderInfo: PeerInfo;
  /** Engines by the id of their server. */
  engines: Map<string, SimulatedEngine>;
  stop(): Promise<void>;
}

/** Creates the description of a daemon. */
function createPeer(host: string): PeerInfo {
  return {
    host,
    zone: ZONE,
    region: 'r1',
    address: '127.0.0.1',
    peerPort: 1,
    incarnation: `${host}-1`,
  };
}

/** Creates the environment of the simulation. */
function createEnvironment(options: SimulationOptions): EnvironmentSource {
  const document: Environment = {
    name: 'model',
    zones: [{name: ZONE, region: 'r1', state: ZoneState.IN, slots: 2}],
    pools: [options.pool],
    servers: Array.from({length: options.servers}, (unused, i) => ({
      id: `s${i}`,
      pool: options.pool.name,
      zone: ZONE,
      url: `http://s${i}`,
    })),
    models: [],
    workspaces: [],
    keys: [],
    routes: [],
  };
  const index = new EnvironmentIndex(1, 'digest', document);
  return {getCurrent: () => index, subscribe: () => () => undefined};
}

/** Creates the membership view of one daemon; the first daemon owns all pools. */
function createView(self: PeerInfo, hosts: PeerInfo[]): MembershipView {
  const owner = hosts[0];
  const slots = self.host === owner?.host ? 2 : 0;
  const share: DelegatedShare = {
    slots,
    zoneSlots: 2,
    fleetSlots: 2,
    delegators: new Map(slots > 0 ? [['d-1', 2]] : []),
  };
  return {
    self,
    listAlive: () => hosts,
    listZones: () => [ZONE],
    computeOwner: () => owner,
    listOwners: () => hosts,
    getDelegatedShare: () => share,
  };
}

/** Creates peer calls that reach the other daemon in the same process. */
function createPeers(
  self: PeerInfo,
  getNode: (host: string) => RoutingNode,
): RoutingPeers {
  const call = <T>(peer: PeerInfo, run: (node: RoutingNode) => T) =>
    okAsync(undefined).map(() => run(getNode(peer.host)));
  return {
    acquire: (p, i) =>
      okAsync(undefined).map(() => getNode(p.host).handleAcquire(self, i)),
    release: (p, i) => call(p, (node) => node.handleRelease(self, i)),
    revoke: (p, i) => call(p, (node) => node.handleRevoke(self, i)),
    register: (p, i) => call(p, (node) => node.handleRegister(self, i)),
    suspect: (p, i) => call(p, (node) => node.handleSuspect(self, i)),
    convict: (p, i) => call(p, (node) => node.handleConvict(self, i)),
  };
}

/** Starts the daemons and engines of a simulation. */
export function startSimulation(options: SimulationOptions): SimulatedFleet {
  const {clock, pool, settings} = options;
  const infos = [createPeer('h1'), createPeer('h2')] as const;
  const environment = createEnvironment(options);
  const nodes = new Map<string, RoutingNode>();
  const getNode = (host: string): RoutingNode => {
    const node = nodes.get(host);
    if (!node) throw new Error(`unknown host ${host}`);
    return node;
  };
  for (const info of infos) {
    const node = createRoutingNode({
      view: createView(info, [...infos]),
      peers: createPeers(info, getNode),
      environment,
      loadReader: {
        read: () => okAsync({running: 0, queued: 0, boot: 'b1'}),
      },
      quarantineStore: {
        store: () => okAsync(undefined),
        list: () => okAsync([]),
        delete: () => okAsync(undefined),
      },
      clock,
      log: new MemoryEventLog(),
      settings,
    });
    nodes.set(info.host, node);
    node.start();
  }
  const stopping = new AbortController();
  const engines = new Map<string, SimulatedEngine>();
  for (const server of environment.getCurrent()?.document.servers ?? []) {
    const engine = new SimulatedEngine(clock, pool.warmCapacity);
    engines.set(server.id, engine);
    if (options.hasEngines ?? true) void engine.runSteps(stopping.signal);
  }
  return {
    owner: getNode('h1'),
    ownerInfo: infos[0],
    holder: getNode('h2'),
    holderInfo: infos[1],
    engines,
    stop: async () => {
      stopping.abort();
      await Promise.all([...nodes.values()].map((node) => node.stop()));
    },
  };
}

/** Figures of one simulation run: latencies of online requests and progress of batch work. */
export class RunStats {
  /** Times from the start of an online request to its first token. */
  readonly firstToken = LatencyHistogram.create();
  /** Mean times between the tokens of each online request. */
  readonly betweenTokens = LatencyHistogram.create();
  /** Online requests that got no slot. */
  refused = 0;
  /** Tokens of completed batch requests. */
  batchTokens = 0;
  /** Requests whose slot was revoked. */
  revokedItems = 0;
}

/**
 * Acquires a slot for one request, runs the request on the slot's engine and
 * records its figures.
 */
export async function runRequest(
  fleet: SimulatedFleet,
  clock: Clock,
  request: {trafficClass: TrafficClass; tokens: number; name: string},
  stats: RunStats,
): Promise<void> {
  const startMs = clock.now();
  const isOnline = request.trafficClass === TrafficClass.ONLINE;
  const result = await fleet.holder.acquire({
    requestId: request.name,
    pool: 'assistant',
    workspace: isOnline ? 'w-online' : 'w-batch',
    trafficClass: request.trafficClass,
    prefixHash: '',
    fingerprint: request.name,
    maxWaitMs: 5000,
    excludedServers: [],
  });
  if (result.isErr()) {
    if (isOnline) stats.refused += 1;
    return;
  }
  const grant: SlotGrant = result.value;
  const engine = fleet.engines.get(grant.server.id);
  const tokenTimesMs = await engine?.run(
    request.tokens,
    grant.preemptionSignal,
  );
  if (!tokenTimesMs) {
    stats.revokedItems += 1;
    fleet.holder.release(grant, {end: SlotUsageEnd.CANCELLED});
    return;
  }
  const firstMs = tokenTimesMs[0] ?? startMs;
  const lastMs = tokenTimesMs.at(-1) ?? firstMs;
  const firstTokenMs = firstMs - startMs;
  const betweenTokensMs =
    (lastMs - firstMs) / Math.max(tokenTimesMs.length - 1, 1);
  fleet.holder.release(grant, {
    end: SlotUsageEnd.COMPLETED,
    firstTokenMs,
    betweenTokensMs,
  });
  if (!isOnline) stats.batchTokens += request.tokens;
  else {
    stats.firstToken.record(firstTokenMs);
    stats.betweenTokens.record(betweenTokensMs);
  }
}
