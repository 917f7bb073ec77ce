/** Platform, view and documents in memory for measurements in one process. */
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

/** Zone of all fakes. */
export const FAKE_ZONE = 'zone-1';

/** Region of all fakes. */
export const FAKE_REGION = 'region-1';

/** Pools of a document: one for each model in steady use. */
const POOLS = 15;

/** Zones of a document. */
const ZONES = 11;

/** Slots of each zone of a document. */
const ZONE_SLOTS = 37;

/** Term for which the fake ledger backs its share, milliseconds. */
const BACKED_MS = 3000;

/** Table service in memory. */
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

/** Host list in memory. */
export class MemoryHostList implements HostList {
  readonly hosts: ListedHost[] = [];

  /** Adds a live daemon. */
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

/** Makes a source of one environment that never changes. */
export function createSource(document: Environment): EnvironmentSource {
  const index = new EnvironmentIndex(1, 'digest', document);
  return {getCurrent: () => index, subscribe: () => () => undefined};
}

/** Makes a document of some size, lists in order. */
export function createDocument(
  workspaces: number,
  servers: number,
): Environment {
  const pad = (index: number): string => String(index).padStart(5, '0');
  const list = <T>(count: number, make: (index: number) => T): T[] =>
    Array.from({length: count}, (unused, index) => make(index));
  return {
    name: 'capacity',
    zones: list(ZONES, (i) => ({
      name: `zone-${pad(i)}`,
      region: FAKE_REGION,
      state: ZoneState.IN,
      slots: ZONE_SLOTS,
    })),
    pools: list(POOLS, (i) => ({
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
    servers: list(servers, (i) => ({
      id: `server-${pad(i)}`,
      pool: `pool-${pad(i % POOLS)}`,
      zone: `zone-${pad(i % ZONES)}`,
      url: `http://10.0.${i >> 8}.${i & 255}:8000`,
    })),
    models: list(POOLS, (i) => ({
      name: `model-${pad(i)}`,
      pool: `pool-${pad(i)}`,
      version: '1',
    })),
    workspaces: list(workspaces, (i) => ({
      name: `workspace-${pad(i)}`,
      rate: 1e6,
      burst: 1e6,
      weight: 1,
      batchShare: 0.5,
      objective: 0.95,
    })),
    keys: list(workspaces, (i) => ({
      id: `key-${pad(i)}`,
      workspace: `workspace-${pad(i)}`,
      hash: pad(i).padStart(64, 'a'),
      state: KeyState.ACTIVE,
    })),
    routes: [],
  };
}

/** Makes the description of a daemon. */
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

/** View in which one daemon owns every key and holds every slot. */
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

  /** {@inheritDoc FleetView.listAlive} */
  listAlive(): PeerInfo[] {
    return [this.owner];
  }

  /** {@inheritDoc FleetView.listZones} */
  listZones(): string[] {
    return [FAKE_ZONE];
  }

  /** {@inheritDoc FleetView.computeOwner} */
  computeOwner(): PeerInfo {
    return this.owner;
  }

  /** {@inheritDoc FleetView.listOwners} */
  listOwners(): PeerInfo[] {
    return [this.owner];
  }

  /** {@inheritDoc FleetView.getDelegatedShare} */
  getDelegatedShare(): DelegatedShare {
    const slots = ZONES * ZONE_SLOTS;
    return {
      slots,
      zoneSlots: slots,
      fleetSlots: slots,
      delegators: new Map([[this.owner.host, slots]]),
    };
  }

  /** {@inheritDoc ShareLedger.listDelegators} */
  listDelegators(): ReadonlyMap<string, number> {
    return this.getDelegatedShare().delegators;
  }

  /** {@inheritDoc ShareLedger.getShareHistory} */
  getShareHistory(key: string, sinceMs: number | undefined): ShareHistory {
    const toMs = this.now();
    const fromMs = sinceMs ?? 0;
    const slots = ZONES * ZONE_SLOTS;
    return {
      completeSinceMs: 0,
      segments: [{fromMs, toMs, slots}],
      leasedUntilMs: toMs + BACKED_MS,
    };
  }
}
