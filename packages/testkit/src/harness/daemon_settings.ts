/** Settings of the daemons in a test fleet. */
import type {
  BatchSettings,
  HostSettings,
  LeaseSettings,
  LimitSettings,
  ListedHost,
  ListedHostState,
  ListenSettings,
  PlatformSettings,
  SecretSettings,
  TimeoutSettings,
} from '@savoryspur/schema';

/** Operator token of a test fleet. */
export const OPERATOR_TOKEN = 'operator-token-of-the-test-fleet';

/** Secret by which the daemons of a test fleet authenticate to each other. */
const PEER_SECRET = 'peer-secret-of-the-test-fleet';

/** Settings that a test can change; those left out keep their defaults. */
export interface SettingsOverrides {
  timeouts?: Partial<TimeoutSettings>;
  leases?: Partial<LeaseSettings>;
  limits?: Partial<LimitSettings>;
  batch?: Partial<BatchSettings>;
}

/** Settings of one daemon before defaults are filled in. */
export interface DaemonSettings extends SettingsOverrides {
  host: HostSettings;
  listen: ListenSettings;
  platform: PlatformSettings;
  secrets: SecretSettings;
}

/** Host of one daemon, and the address and ports that it listens on. */
export interface HostEndpoints {
  host: HostSettings;
  listen: ListenSettings;
}

/** Settings that differ between the daemons of a fleet. */
export interface DaemonEndpoints extends HostEndpoints {
  /** Base URL at which the daemon reaches the platform. */
  platformUrl: string;
}

/**
 * Creates the settings of one daemon.
 *
 * @param endpoints - host, ports and platform
 * @param overrides - settings that differ from the defaults
 */
export function createDaemonSettings(
  endpoints: DaemonEndpoints,
  overrides: SettingsOverrides,
): DaemonSettings {
  const {platformUrl} = endpoints;
  return {
    host: endpoints.host,
    listen: endpoints.listen,
    platform: {
      tableUrl: platformUrl,
      objectUrl: platformUrl,
      hostListUrl: platformUrl,
      weightUrl: platformUrl,
    },
    secrets: {peer: PEER_SECRET, operator: OPERATOR_TOKEN},
    ...overrides,
  };
}

/**
 * Creates the entry of a host in the host list.
 *
 * @param endpoints - host and ports
 * @param state - whether the host is live or leaving
 */
export function describeHost(
  endpoints: HostEndpoints,
  state: ListedHostState,
): ListedHost {
  const {id, zone, region} = endpoints.host;
  const {address, peerPort} = endpoints.listen;
  return {host: id, zone, region, address, peerPort, state};
}
