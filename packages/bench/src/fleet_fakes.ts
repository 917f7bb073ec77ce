/**
 * In-memory table service and host list, a fixed membership view and environment
 * documents, for measurements in one process.
 */
import {EnvironmentIndex, type EnvironmentSource} from '@savoryspur/common';
import type {
  DelegatedShare,
  MembershipView,
  ShareHistorySource,
} from '@savoryspur/fleet';
import type {ShareHistory} from '@savoryspur/fleet';
import type {HostList, TableService} from '@savoryspur/storage';
import {
  type Environment,
  KeyState,
  type ListedHost,
  ListedHostState,
  type PeerInfo,
  PoolKind,
  type Row,
  type Transaction,
  type TransactionAnswer,
  ZoneState,
} from '@savoryspur/schema';
import type {SavoryspurError} from '@savoryspur/common';
import {okAsync, type ResultAsync} from 'neverthrow';

/** Availability zone of all fake daemons. */
export const FAKE_ZONE = 'zone-1';

/** Region of all fake daemons and zones. */
export const FAKE_REGION = 'region-1';

/** Number of pools in a document: one for each model in steady use. */
const POOL_COUNT = 15;

/** Number of zones in a document. */
const ZONE_COUNT = 11;

/** Quota slots of each zone in a document. */
const QUOTA_SLOTS_PER_ZONE = 37;

/** Remaining term of the leases behind the fake share, milliseconds. */
const SHARE_LEASE_TERM_MS = 3000;

/** In-memory table service. */
export class MemoryTable implements TableService {
  private readonly rows = new Map<string, Row>();
  private version = 0;

  /** {@inheritDoc TableService.read} */
  read(keys: readonly string[]): ResultAsync<Row[], SavoryspurError> {
    const found = keys.map((key) => this.rows.get(key));
    return okAsync(found.filter((row) => row !== undefined));
  }

  /** {@inheritDoc TableService.scan} */
  scan(): ResultAsync<Row[], SavoryspurError> {
    return okAsync([...this.rows.values()]);
  }

  /** {@inheritDoc TableService.transact} */
  transact(
    transaction: Transaction,
  ): ResultAsync<TransactionAnswer, SavoryspurError> {
    for (const {key, version} of transaction.conditions) {
      if ((this.rows.get(key)?.version ?? 0) === version) continue;
      return okAsync({committed: false, version: 0, conflictKey: key});
    }
    this.version += 1;
    const {version} = this;
    for (const {key, value} of transaction.writes) {
      this.rows.set(key, {key, version, value: value ?? {}});
    }
    return okAsync({committed: true, version});
  }
}

/** In-memory host list. */
export class MemoryHostList implements HostList {
  readonly hosts: ListedHost[] = [];

  /** Adds a daemon as a live host. */
  add(peer: PeerInfo): void {
    const {host, zone, region, address, peerPort} = peer;
    const state = ListedHostState.LIVE;
    this.hosts.push({host, zone, region, address, peerPort, state});
  }

  /** {@inheritDoc HostList.list} */
  list(): ResultAsync<ListedHost[], SavoryspurError> {
    return okAsync([...this.hosts]);
  }
}

/** Creates a source of one environment that never changes. */
export function createSource(document: Environment): EnvironmentSource {
  const index = new EnvironmentIndex(1, 'digest', document);
  return {getCurrent: () => index, subscribe: () => () => undefined};
}

/** Creates an environment document whose lists are sorted, with the given numbers of workspaces and servers. */
export function createDocument(
  workspaces: number,
  servers: number,
): Environment {
  const pad = (index: number): string => String(index).padStart(5, '0');
  const createList = <T>(count: number, create: (index: number) => T): T[] =>
    Array.from({length: count}, (unused, index) => create(index));
  return {
    name: 'capacity',
    zones: createList(ZONE_COUNT, (i) => ({
      name: `zone-${pad(i)}`,
      region: FAKE_REGION,
      state: ZoneState.IN,
      slots: QUOTA_SLOTS_PER_ZONE,
    })),
    pools: createList(POOL_COUNT, (i) => ({
      name: `pool-${pad(i)}`,
      kind: PoolKind.ENGINE,
      warmCapacity: 16,
      coldCapacity: 2,
      warmupRequests: 8,
      headroom: 2,
      checksFencing: true,
      firstTokenMs: 490,
      betweenTokensMs: 49,
    })),
    servers: createList(servers, (i) => ({
      id: `server-${pad(i)}`,
      pool: `pool-${pad(i % POOL_COUNT)}`,
      zone: `zone-${pad(i % ZONE_COUNT)}`,
      url: `http://10.0.${i >> 8}.${i & 255}:8000`,
    })),
    models: createList(POOL_COUNT, (i) => ({
      name: `model-${pad(i)}`,
      pool: `pool-${pad(i)}`,
      version: '1',
    })),
    workspaces: createList(workspaces, (i) => ({
      name: `workspace-${pad(i)}`,
      rate: 1e6,
      burst: 1e6,
      weight: 1,
      batchShare: 0.5,
      objective: 0.95,
    })),
    keys: createList(workspaces, (i) => ({
      id: `key-${pad(i)}`,
      workspace: `workspace-${pad(i)}`,
      hash: pad(i).padStart(64, 'a'),
      state: KeyState.ACTIVE,
    })),
    routes: [],
  };
}

/** Creates the description of a daemon. */
export function createPeer(host: string): PeerInfo {
  return {
    host,
    zone: FAKE_ZONE,
    region: FAKE_REGION,
    address: '127.0.0.1',
    peerPort: 1,
    incarnation: `${host}-1`,
  };
}

/** Membership view in which one daemon owns every key and holds every quota slot. */
export class SingleOwnerView implements MembershipView, ShareHistorySource {
  /**
   * @param self - this daemon
   * @param owner - the daemon that owns all keys
   * @param now - reads the monotonic clock, milliseconds
   */
  constructor(
    readonly self: PeerInfo,
    private readonly owner: PeerInfo,
    private readonly now: () => number,
  ) {}

  /** {@inheritDoc MembershipView.listAlive} */
  listAlive(): PeerInfo[] {
    return [this.owner];
  }

  /** {@inheritDoc MembershipView.listZones} */
  listZones(): string[] {
    return [FAKE_ZONE];
  }

  /** {@inheritDoc MembershipView.computeOwner} */
  computeOwner(): PeerInfo {
    return this.owner;
  }

  /** {@inheritDoc MembershipView.listOwners} */
  listOwners(): PeerInfo[] {
    return [this.owner];
  }

  /** {@inheritDoc MembershipView.getDelegatedShare} */
  getDelegatedShare(): DelegatedShare {
    const slots = ZONE_COUNT * QUOTA_SLOTS_PER_ZONE;
    return {
      slots,
      zoneSlots: slots,
      fleetSlots: slots,
      delegators: new Map([[this.owner.host, slots]]),
    };
  }

  /** {@inheritDoc ShareHistorySource.listDelegators} */
  listDelegators(): ReadonlyMap<string, number> {
    return this.getDelegatedShare().delegators;
  }

  /** {@inheritDoc ShareHistorySource.getShareHistory} */
  getShareHistory(key: string, sinceMs: number | undefined): ShareHistory {
    const toMs = this.now();
    const fromMs = sinceMs ?? 0;
    const slots = ZONE_COUNT * QUOTA_SLOTS_PER_ZONE;
    return {
      completeSinceMs: 0,
      segments: [{fromMs, toMs, slots}],
      leasedUntilMs: toMs + SHARE_LEASE_TERM_MS,
    };
  }
}
