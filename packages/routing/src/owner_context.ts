/** Dependencies of pool owners. */
import type {Clock, EnvironmentSource, EventLog} from '@savoryspur/common';
import type {MembershipView} from '@savoryspur/fleet';
import type {LoadReader} from '@savoryspur/backends';
import type {QuarantineCoordinator} from './quarantine_coordinator.js';
import type {RoutingPeers} from './routing_peers.js';
import type {RoutingSettings} from './settings.js';
import type {RoutingCounters} from './status.js';

/** Dependencies that the owners of all pools on a host share. */
export interface OwnerContext {
  view: MembershipView;
  environment: EnvironmentSource;
  peers: RoutingPeers;
  loadReader: LoadReader;
  clock: Clock;
  log: EventLog;
  settings: RoutingSettings;
  coordinator: QuarantineCoordinator;
  counters: RoutingCounters;
}
