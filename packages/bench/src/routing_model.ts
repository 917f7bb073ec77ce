/**
 * A model of a few engines and two daemons in one process, to measure routing:
 * processor time for each grant, and what batch work does to online requests.
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

/** Availability zone of the model. */
const ZONE = 'z1';

/** Time of one step of an engine with nothing else running, milliseconds. */
const STEP_MS = 5;

/** Time that each running request adds to a step, milliseconds. */
const STEP_PER_REQUEST_MS = 0.5;

/** Steps before the first token. */
const PREFILL_STEPS = 3;

/** One request in a model engine. */
interface EngineJob {
  stepsLeft: number;
  tokensMs: number[];
  signal: AbortSignal;
  finish: (tokensMs: number[] | undefined) => void;
}

/** An engine that admits what arrives, knows no priorities and steps on. */
export class ModelEngine {
  private running: EngineJob[] = [];
  private waiting: EngineJob[] = [];

  /**
   * @param clock - source of time
   * @param slots - requests that step together; the others wait in order
   */
  constructor(
    private readonly clock: Clock,
    private readonly slots: number,
  ) {}

  /**
   * Runs one request.
   *
   * @param tokens - tokens of its answer
   * @param signal - cancels it
   * @returns monotonic times of the tokens; undefined when cancelled
   */
  run(tokens: number, signal: AbortSignal): Promise<number[] | undefined> {
    return new Promise((finish) => {
      const stepsLeft = tokens + PREFILL_STEPS - 1;
      this.waiting.push({stepsLeft, tokensMs: [], signal, finish});
    });
  }

  /** Steps until stopped. */
  async runSteps(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.dropCancelled();
      while (this.running.length < this.slots && this.waiting.length > 0) {
        this.running.push(...this.waiting.splice(0, 1));
      }
      const stepMs = STEP_MS + STEP_PER_REQUEST_MS * this.running.length;
      const tokens = this.running.map((job) => job.stepsLeft);
      await this.clock.sleep(stepMs, signal);
      this.advance(tokens.length);
    }
  }

  private advance(count: number): void {
    for (const job of this.running.slice(0, count)) {
      job.stepsLeft -= 1;
      job.tokensMs.push(this.clock.now());
    }
    const ended = this.running.filter((job) => job.stepsLeft <= 0);
    this.running = this.running.filter((job) => job.stepsLeft > 0);
    for (const job of ended) job.finish(job.tokensMs.slice(PREFILL_STEPS - 1));
  }

  private dropCancelled(): void {
    const all = [...this.running, ...this.waiting];
    this.running = this.running.filter((job) => !job.signal.aborted);
    this.waiting = this.waiting.filter((job) => !job.signal.aborted);
    for (const job of all) if (job.signal.aborted) job.finish(undefined);
  }
}

/** What a model fleet is made of. */
export interface ModelOptions {
  clock: Clock;
  pool: Pool;
  servers: number;
  /** Whether the engines run; they do unless said otherwise. */
  hasEngines?: boolean;
  settings?: Partial<RoutingSettings>;
}

/** Two daemons and their engines. */
export interface ModelFleet {
  owner: RoutingNode;
  ownerInfo: PeerInfo;
  holder: RoutingNode;
  holderInfo: PeerInfo;
  engines: Map<string, ModelEngine>;
  stop(): Promise<void>;
}

/** Makes the description of a host. */
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

/** Makes the environment of the model. */
function createEnvironment(options: ModelOptions): EnvironmentSource {
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

/** Makes the view of one host; the first host owns all pools. */
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

/** Makes calls that reach the other node in the same process. */
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

/** Starts a model fleet. */
export function startModel(options: ModelOptions): ModelFleet {
  const {clock, pool, settings} = options;
  const infos = [createPeer('h1'), createPeer('h2')] as const;
  const environment = createEnvironment(options);
  const nodes = new Map<string, RoutingNode>();
  const getNode = (host: string): RoutingNode => {
    const node = nodes.get(host);
    if (!node) throw new Error(`no host ${host}`);
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
  const engines = new Map<string, ModelEngine>();
  for (const server of environment.getCurrent()?.document.servers ?? []) {
    const engine = new ModelEngine(clock, pool.warmCapacity);
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

/** What online requests saw in one run. */
export class OnlineStats {
  readonly firstToken = LatencyHistogram.create();
  readonly betweenTokens = LatencyHistogram.create();
  refused = 0;
  batchTokens = 0;
  revokedItems = 0;
}

/** Runs one request through a fleet and its engine. */
export async function runRequest(
  fleet: ModelFleet,
  clock: Clock,
  request: {trafficClass: TrafficClass; tokens: number; name: string},
  stats: OnlineStats,
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
  const placement: SlotGrant = result.value;
  const engine = fleet.engines.get(placement.server.id);
  const tokensMs = await engine?.run(
    request.tokens,
    placement.preemptionSignal,
  );
  if (!tokensMs) {
    stats.revokedItems += 1;
    fleet.holder.release(placement, {end: SlotUsageEnd.CANCELLED});
    return;
  }
  const firstMs = tokensMs[0] ?? startMs;
  const lastMs = tokensMs.at(-1) ?? firstMs;
  const firstTokenMs = firstMs - startMs;
  const betweenTokensMs = (lastMs - firstMs) / Math.max(tokensMs.length - 1, 1);
  fleet.holder.release(placement, {
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
