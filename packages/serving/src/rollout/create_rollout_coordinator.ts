/** Creates the coordinator of rollouts from the components of a serving node. */
import type {Clock, EventLog} from '@savoryspur/common';
import type {PeerInfo} from '@savoryspur/schema';
import type {EnvironmentView} from '../environment.js';
import type {OwnerDirectory} from '../peers/owner_directory.js';
import type {ServiceRegistry} from '../service_registry.js';
import {POOL_KEY_PREFIX} from '../slots/slot_client.js';
import type {RelayedStore} from '../store/relayed_store.js';
import {RolloutCoordinator} from './rollout_coordinator.js';
import type {EncodeRolloutStatus, RolloutBounds} from './rollout_types.js';

/** Components that the coordinator is created from. */
export interface RolloutComponents {
  self: PeerInfo;
  clock: Clock;
  log: EventLog;
  store: RelayedStore;
  registry: ServiceRegistry<EnvironmentView>;
  directory: OwnerDirectory;
  bounds: RolloutBounds;
  encodeRolloutStatus: EncodeRolloutStatus;
}

/** Creates the coordinator. */
export function createRolloutCoordinator(
  components: RolloutComponents,
): RolloutCoordinator {
  const {self, clock, log, store, registry, directory, bounds} = components;
  return new RolloutCoordinator({
    writer: self.incarnation,
    store,
    clock,
    log,
    bounds,
    encodeStatus: components.encodeRolloutStatus,
    services: {
      listServices: () =>
        registry.getEnvironment()?.document.services.map(({name}) => name),
      listVersions: (service) =>
        registry
          .listVersions()
          .filter((listed) => listed.service === service)
          .map(({softwareVersion}) => softwareVersion),
      listServerVersions: (service) =>
        registry
          .listServers(service)
          .map(({softwareVersion}) => softwareVersion),
      isOwner: (service) => {
        const owner = directory.find(`${POOL_KEY_PREFIX}${service}`);
        return owner !== undefined && directory.isSelf(owner);
      },
    },
  });
}
