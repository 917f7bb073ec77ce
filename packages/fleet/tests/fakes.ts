/** In-memory platform services and settings for tests of the fleet. */
import {
  EnvironmentIndex,
  type EnvironmentSource,
  ErrorCode,
  SavoryspurError,
} from '@savoryspur/common';
import type {HostList, TableService} from '@savoryspur/storage';
import {
  type Environment,
  type ListedHost,
  ListedHostState,
  type PeerInfo,
  type Row,
  type Settings,
  type Transaction,
  type TransactionAnswer,
  validateSettings,
  ZoneState,
} from '@savoryspur/schema';
import {errAsync, okAsync, type ResultAsync} from 'neverthrow';

/** Table service in memory that can be made unavailable. */
export class MemoryTable implements TableService {
  readonly rows = new Map<string, Row>();
  isUnavailable = false;
  private version = 0;

  read(keys: readonly string[]): ResultAsync<Row[], SavoryspurError> {
    if (this.isUnavailable) return errAsync(createUnavailableError('table'));
    const rows = keys.map((key) => this.rows.get(key));
    return okAsync(structuredClone(rows.filter((row) => row !== undefined)));
  }

  scan(): ResultAsync<Row[], SavoryspurError> {
    return okAsync([...this.rows.values()]);
  }

  transact(
    transaction: Transaction,
  ): ResultAsync<TransactionAnswer, SavoryspurError> {
    if (this.isUnavailable) return errAsync(createUnavailableError('table'));
    for (const {key, version} of transaction.conditions) {
      if ((this.rows.get(key)?.version ?? 0) === version) continue;
      return okAsync({committed: false, version: 0, conflictKey: key});
    }
    this.version += 1;
    for (const {key, value} of transaction.writes) {
      this.rows.set(
        key,
        structuredClone({key, version: this.version, value: value ?? {}}),
      );
    }
    return okAsync({committed: true, version: this.version});
  }
}

/** Host list in memory that can be made unavailable. */
export class MemoryHostList implements HostList {
  readonly hosts = new Map<string, ListedHost>();
  isUnavailable = false;

  list(): ResultAsync<ListedHost[], SavoryspurError> {
    if (this.isUnavailable) return errAsync(createUnavailableError('hosts'));
    return okAsync([...this.hosts.values()]);
  }

  add(peer: PeerInfo): void {
    const {host, zone, region, address, peerPort} = peer;
    const state = ListedHostState.LIVE;
    this.hosts.set(host, {host, zone, region, address, peerPort, state});
  }
}

/** Environment that a test can replace. */
export class ReplaceableEnvironment implements EnvironmentSource {
  constructor(private current: EnvironmentIndex) {}

  getCurrent(): EnvironmentIndex {
    return this.current;
  }

  subscribe(): () => void {
    return () => undefined;
  }

  replace(index: EnvironmentIndex): void {
    this.current = index;
  }
}

export function createEnvironment(
  zones: Record<string, number>,
  workspaces: Environment['workspaces'] = [],
): EnvironmentIndex {
  return new EnvironmentIndex(1, 'digest', {
    name: 'test',
    zones: Object.entries(zones).map(([name, slots]) => ({
      name,
      region: 'region-1',
      state: ZoneState.IN,
      slots,
    })),
    pools: [],
    servers: [],
    models: [],
    workspaces,
    keys: [],
    routes: [],
  });
}

/** Creates settings with short times. */
export function createSettings(
  host: string,
  zone: string,
  leases: Partial<Settings['leases']> = {},
): Settings {
  const url = 'http://127.0.0.1:9';
  return validateSettings({
    host: {id: host, zone, region: 'region-1'},
    listen: {callerPort: 0, peerPort: 0, opsPort: 0},
    platform: {tableUrl: url, objectUrl: url, hostListUrl: url, weightUrl: url},
    secrets: {
      peer: 'a secret of the daemons',
      operator: 'a secret of the operators',
    },
    timeouts: {connectMs: 300, peerCallMs: 300},
    leases: {
      heartbeatMs: 50,
      heartbeatBytes: 1_000_000,
      delegationMs: 250,
      slotTakeoverMs: 1000,
      hostListPollMs: 50,
      ...leases,
    },
  })._unsafeUnwrap();
}

function createUnavailableError(peer: string): SavoryspurError {
  return new SavoryspurError(
    ErrorCode.UNAVAILABLE,
    {step: 'fake', peer},
    'unavailable',
  );
}

/**
 * Creates the identity of a daemon in the first zone.
 *
 * @param host - host of the daemon
 * @param incarnation - incarnation of the daemon
 */
export function createPeer(host: string, incarnation = '1'): PeerInfo {
  return {
    host,
    zone: 'zone-a',
    region: 'region-1',
    address: '127.0.0.1',
    peerPort: 1,
    incarnation,
  };
}
