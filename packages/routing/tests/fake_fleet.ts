/**
 * A small fleet in one process: routing nodes that call each other directly.
 */
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

/** Default pool of the tests. */
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

/** Pool whose servers need no warm-up. */
export const WARM_POOL: Pool = {...TEST_POOL, coldCapacity: 4};

/**
 * Load report of a fake engine; undefined if the engine refuses connections.
 */
export type FakeEngine = EngineLoad | undefined;

/** One host of the fake fleet. */
export interface FakeHost {
  info: PeerInfo;
  node: RoutingNode;
  isAlive: boolean;
}

/** Lets pending promises run, for many turns of the event loop. */
export async function waitUntilIdle(): Promise<void> {
  for (let i = 0; i < 60; i++) await new Promise((r) => setImmediate(r));
}

/**
 * A fleet whose clock, delegated shares and engines are controlled by the test.
 */
export class FakeFleet {
  readonly clock = new ManualClock();
  readonly log = new MemoryEventLog();
  readonly hosts = new Map<string, FakeHost>();
  readonly engines = new Map<string, FakeEngine>();
  readonly stored: QuarantineRecord[] = [];
  /** Host that owns all pools, by zone. */
  readonly owners = new Map<string, string>();
  /**
   * Delegated share by host; unless set, the owner of a zone has all quota
   * slots.
   */
  readonly shares = new Map<string, DelegatedShare>();
  /**
   * Names of calls that are lost before they reach the peer, such as `release`.
   */
  readonly lostCalls = new Set<string>();
  /** Names of calls that take effect, but whose answers are lost. */
  readonly lostAnswers = new Set<string>();
  /** Names of calls whose answers are delayed until the promise resolves. */
  readonly delayedAnswers = new Map<string, Promise<void>>();
  /** Number of calls made, by name. */
  readonly calls = new Map<string, number>();
  /**
   * Hosts that answer no calls, although the membership view lists them as
   * alive.
   */
  readonly unresponsiveHosts = new Set<string>();
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

  /** Adds a zone with servers and running engines. */
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

  /** Applies a new version of the configuration. */
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

  /** Delays the answers of a call until the returned function is called. */
  suspendAnswers(name: string): () => void {
    let resume: () => void = () => undefined;
    const resumed = new Promise<void>((resolve) => {
      resume = resolve;
    });
    this.delayedAnswers.set(name, resumed);
    return () => {
      this.delayedAnswers.delete(name);
      resume();
    };
  }

  /**
   * Changes the load report of an engine; undefined makes the engine refuse
   * connections.
   */
  setEngine(serverId: string, load: Partial<EngineLoad> | undefined): void {
    const url = `http://${serverId}`;
    const before = this.engines.get(url) ?? {running: 0, queued: 0, boot: 'b1'};
    this.engines.set(url, load && {...before, ...load});
  }

  /** Sets whether a zone is in service. */
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

  /**
   * Advances the clock in steps, and waits for pending promises after each
   * step.
   */
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
      name: string,
      run: (endpoint: RoutingEndpoint) => T | Promise<T>,
    ): ResultAsync<T, SavoryspurError> => {
      const target = this.hosts.get(peer.host);
      this.calls.set(name, (this.calls.get(name) ?? 0) + 1);
      const isLost =
        this.lostCalls.has(name) || this.unresponsiveHosts.has(peer.host);
      if (isLost || !target?.isAlive || !this.hosts.get(self.host)?.isAlive) {
        return errAsync(createLostError(name, peer));
      }
      const answer = Promise.resolve().then(async () => {
        const value = await run(target.node);
        await this.delayedAnswers.get(name);
        return value;
      });
      if (this.lostAnswers.has(name)) {
        return ResultAsync.fromSafePromise(answer).andThen(() =>
          errAsync(createLostError(name, peer)),
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

/** Makes the error of a call whose answer was lost. */
function createLostError(name: string, peer: PeerInfo): SavoryspurError {
  return new SavoryspurError(
    ErrorCode.UNAVAILABLE,
    {step: name, peer: peer.host},
    'lost',
  );
}

let requestCount = 0;

/** Makes a request for a slot. */
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

/** Requests a slot; returns the grant or the error code. */
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

/** Acquires a slot that must be granted; throws if the request is refused. */
export async function acquireSlot(
  host: FakeHost,
  fields: Partial<SlotRequest> = {},
): Promise<SlotGrant> {
  const outcome = await acquire(host, fields);
  if (typeof outcome === 'string')
    throw new Error(`slot request refused: ${outcome}`);
  return outcome;
}
