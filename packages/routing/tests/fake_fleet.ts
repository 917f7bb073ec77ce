/** A small fleet in one process: nodes of routing joined by direct calls. */
import {
  EnvironmentIndex,
  type EnvironmentSource,
  ErrorCode,
  ManualClock,
  MemoryEventLog,
  SavoryspurError,
} from '@savoryspur/common';
import type {DelegatedShare, MembershipView} from '@savoryspur/fleet';
import {
  createRoutingNode,
  type SlotGrant,
  type SlotRequest,
  type RoutingEndpoint,
  type RoutingNode,
  type RoutingPeers,
  type RoutingSettings,
} from '@savoryspur/routing';
import {
  type EngineLoad,
  type Environment,
  type PeerInfo,
  type Pool,
  PoolKind,
  type QuarantineRecord,
  TrafficClass,
  ZoneState,
} from '@savoryspur/schema';
import {errAsync, okAsync, ResultAsync} from 'neverthrow';

/** Pool of the tests unless a test says otherwise. */
export const TEST_POOL: Pool = {
  name: 'assistant',
  kind: PoolKind.ENGINE,
  warmCapacity: 4,
  coldCapacity: 1,
  warmupRequests: 2,
  headroom: 1,
  checksFencing: true,
  firstTokenMs: 500,
  betweenTokensMs: 50,
};

/** Pool whose servers are warm from the start. */
export const WARM_POOL: Pool = {...TEST_POOL, coldCapacity: 4};

/** What a fake engine reports; undefined means that nothing listens. */
export type FakeEngine = EngineLoad | undefined;

/** One host of the fake fleet. */
export interface FakeHost {
  info: PeerInfo;
  node: RoutingNode;
  isAlive: boolean;
}

/** Lets all pending promises run. */
export async function waitUntilIdle(): Promise<void> {
  for (let i = 0; i < 60; i++) await new Promise((r) => setImmediate(r));
}

/** A fleet whose clock, shares and engines are set by the test. */
export class FakeFleet {
  readonly clock = new ManualClock();
  readonly log = new MemoryEventLog();
  readonly hosts = new Map<string, FakeHost>();
  readonly engines = new Map<string, FakeEngine>();
  readonly stored: QuarantineRecord[] = [];
  /** Owner of every pool by zone. */
  readonly owners = new Map<string, string>();
  /** Share of each host; the owner of a zone has the whole unless set. */
  readonly shares = new Map<string, DelegatedShare>();
  /** Steps that are lost on the way, such as `release`. */
  readonly lostCalls = new Set<string>();
  /** Steps that take effect, but whose answers are lost. */
  readonly lostAnswers = new Set<string>();
  /** Steps whose answers come only when the promise resolves. */
  readonly delayedAnswers = new Map<string, Promise<void>>();
  /** Calls made, by step. */
  readonly calls = new Map<string, number>();
  /** Hosts that answer nothing, though they are believed alive. */
  readonly silentHosts = new Set<string>();
  environment: EnvironmentIndex;
  private readonly listeners = new Set<(index: EnvironmentIndex) => void>();
  private version = 1;

  constructor(
    readonly pool: Pool = TEST_POOL,
    private readonly settings: Partial<RoutingSettings> = {},
  ) {
    this.environment = this.createIndex({
      name: 'test',
      zones: [],
      pools: [pool],
      servers: [],
      models: [],
      workspaces: [],
      keys: [],
      routes: [],
    });
  }

  /** Adds a zone with servers, whose engines run. */
  addZone(zone: string, serverIds: string[]): void {
    const document = structuredClone(this.environment.document);
    const state = ZoneState.IN;
    document.zones.push({name: zone, region: 'r1', state, slots: 4});
    for (const id of serverIds) {
      const url = `http://${id}`;
      document.servers.push({id, pool: this.pool.name, zone, url});
      this.engines.set(url, {running: 0, queued: 0, boot: 'b1'});
    }
    this.setDocument(document);
  }

  /** Puts a new version of the configuration in force. */
  setDocument(document: Environment): void {
    this.environment = this.createIndex(document);
    for (const listener of this.listeners) listener(this.environment);
  }

  /** Adds and starts a host. */
  addHost(host: string, zone: string): FakeHost {
    const info: PeerInfo = {
      host,
      zone,
      region: 'r1',
      address: '127.0.0.1',
      peerPort: 1,
      incarnation: `${host}-1`,
    };
    const node = createRoutingNode({
      view: this.createView(info),
      peers: this.createPeers(info),
      environment: this.createSource(),
      loadReader: {read: (url) => this.readLoad(url)},
      quarantineStore: {
        store: (record) => {
          this.stored.push(record);
          return okAsync(undefined);
        },
        list: () => okAsync([...this.stored]),
        delete: (fingerprint) => {
          const isOther = (r: QuarantineRecord): boolean =>
            r.fingerprint !== fingerprint;
          this.stored.splice(0, Infinity, ...this.stored.filter(isOther));
          return okAsync(undefined);
        },
      },
      clock: this.clock,
      log: this.log,
      settings: this.settings,
    });
    const entry = {info, node, isAlive: true};
    this.hosts.set(host, entry);
    if (!this.owners.has(zone)) this.owners.set(zone, host);
    node.start();
    return entry;
  }

  /** Holds the answers of a step back until the given function is called. */
  suspendAnswers(step: string): () => void {
    let resume: () => void = () => undefined;
    const resumed = new Promise<void>((resolve) => {
      resume = resolve;
    });
    this.delayedAnswers.set(step, resumed);
    return () => {
      this.delayedAnswers.delete(step);
      resume();
    };
  }

  /** Sets what an engine reports; undefined when nothing listens. */
  setEngine(serverId: string, load: Partial<EngineLoad> | undefined): void {
    const url = `http://${serverId}`;
    const before = this.engines.get(url) ?? {running: 0, queued: 0, boot: 'b1'};
    this.engines.set(url, load && {...before, ...load});
  }

  /** Takes a zone out or back in. */
  setZone(zone: string, state: ZoneState): void {
    const document = structuredClone(this.environment.document);
    for (const entry of document.zones) {
      if (entry.name === zone) entry.state = state;
    }
    this.setDocument(document);
  }

  /** Makes a host the owner of all pools in its zone. */
  setOwner(host: FakeHost): void {
    this.owners.set(host.info.zone, host.info.host);
  }

  /** Moves time forward in steps and lets all tasks run. */
  async advance(ms: number, stepMs = 100): Promise<void> {
    for (let passed = 0; passed < ms; passed += stepMs) {
      this.clock.advance(Math.min(stepMs, ms - passed));
      await waitUntilIdle();
    }
  }

  /** Stops all hosts. */
  async stop(): Promise<void> {
    const stops = [...this.hosts.values()].map((host) => host.node.stop());
    for (let i = 0; i < 10; i++) {
      this.clock.advance(200);
      await waitUntilIdle();
    }
    await Promise.all(stops);
  }

  private createIndex(document: Environment): EnvironmentIndex {
    this.version += 1;
    return new EnvironmentIndex(this.version, `d${this.version}`, document);
  }

  private createSource(): EnvironmentSource {
    return {
      getCurrent: () => this.environment,
      subscribe: (listener) => {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
      },
    };
  }

  private listAlive(zone: string): PeerInfo[] {
    return [...this.hosts.values()]
      .filter((host) => host.isAlive && host.info.zone === zone)
      .map((host) => host.info);
  }

  private createView(self: PeerInfo): MembershipView {
    return {
      self,
      listAlive: (zone) => this.listAlive(zone),
      listZones: () => [
        ...new Set([...this.hosts.values()].map((host) => host.info.zone)),
      ],
      computeOwner: (key, zone) =>
        this.hosts.get(this.owners.get(zone) ?? '')?.info,
      listOwners: (key, zone) => {
        const owner = this.owners.get(zone);
        const hosts = this.listAlive(zone);
        return [
          ...hosts.filter((host) => host.host === owner),
          ...hosts.filter((host) => host.host !== owner),
        ];
      },
      getDelegatedShare: () => {
        const set = this.shares.get(self.host);
        if (set) return set;
        const slots = this.owners.get(self.zone) === self.host ? 4 : 0;
        const delegators = new Map(slots > 0 ? [['d-1', 4]] : []);
        return {slots, zoneSlots: 4, fleetSlots: 4, delegators};
      },
    };
  }

  private readLoad(url: string): ResultAsync<EngineLoad, SavoryspurError> {
    const engine = this.engines.get(url);
    if (engine) return okAsync({...engine});
    return errAsync(
      new SavoryspurError(
        ErrorCode.UNAVAILABLE,
        {step: 'engine.load', peer: url},
        'refused',
        {cause: Object.assign(new Error('refused'), {code: 'ECONNREFUSED'})},
      ),
    );
  }

  private createPeers(self: PeerInfo): RoutingPeers {
    const call = <T>(
      peer: PeerInfo,
      step: string,
      run: (endpoint: RoutingEndpoint) => T | Promise<T>,
    ): ResultAsync<T, SavoryspurError> => {
      const target = this.hosts.get(peer.host);
      this.calls.set(step, (this.calls.get(step) ?? 0) + 1);
      const isLost =
        this.lostCalls.has(step) || this.silentHosts.has(peer.host);
      if (isLost || !target?.isAlive || !this.hosts.get(self.host)?.isAlive) {
        return errAsync(createLostError(step, peer));
      }
      const answer = Promise.resolve().then(async () => {
        const value = await run(target.node);
        await this.delayedAnswers.get(step);
        return value;
      });
      if (this.lostAnswers.has(step)) {
        return ResultAsync.fromSafePromise(answer).andThen(() =>
          errAsync(createLostError(step, peer)),
        );
      }
      return ResultAsync.fromSafePromise(answer);
    };
    return {
      acquire: (p, i) => call(p, 'acquire', (e) => e.handleAcquire(self, i)),
      release: (p, i) => call(p, 'release', (e) => e.handleRelease(self, i)),
      revoke: (p, i) => call(p, 'revoke', (e) => e.handleRevoke(self, i)),
      register: (p, i) => call(p, 'register', (e) => e.handleRegister(self, i)),
      suspect: (p, i) => call(p, 'suspect', (e) => e.handleSuspect(self, i)),
      convict: (p, i) => call(p, 'convict', (e) => e.handleConvict(self, i)),
    };
  }
}

/** Makes the error of a call whose answer did not come. */
function createLostError(step: string, peer: PeerInfo): SavoryspurError {
  return new SavoryspurError(
    ErrorCode.UNAVAILABLE,
    {step, peer: peer.host},
    'lost',
  );
}

let requestCount = 0;

/** Makes a wish for a place. */
export function createRequest(fields: Partial<SlotRequest> = {}): SlotRequest {
  requestCount += 1;
  return {
    requestId: `r${requestCount}`,
    pool: TEST_POOL.name,
    workspace: 'w1',
    trafficClass: TrafficClass.ONLINE,
    prefixHash: '',
    fingerprint: `f${requestCount}`,
    maxWaitMs: 0,
    excludedServers: [],
    ...fields,
  };
}

/** Outcome of a wish: the server, or the error code. */
export async function acquire(
  host: FakeHost,
  fields: Partial<SlotRequest> = {},
): Promise<SlotGrant | ErrorCode> {
  const result = await host.node.acquire(createRequest(fields));
  return result.match(
    (grant): SlotGrant | ErrorCode => grant,
    (error) => error.code,
  );
}

/** Acquires a place that must be granted. */
export async function acquireSlot(
  host: FakeHost,
  fields: Partial<SlotRequest> = {},
): Promise<SlotGrant> {
  const outcome = await acquire(host, fields);
  if (typeof outcome === 'string') throw new Error(`refused: ${outcome}`);
  return outcome;
}
