/** Clients of the platform, built from the settings. */
import {
  type HostList,
  HttpHostList,
  HttpObjectStore,
  HttpTableService,
  type ObjectStore,
  HttpCaller,
  type TableService,
} from '@savoryspur/storage';
import type {Settings} from '@savoryspur/schema';

/** All services of the platform that a daemon calls. */
export interface PlatformClients {
  table: TableService;
  objects: ObjectStore;
  hostList: HostList;
  /** Closes all connections. */
  close: () => Promise<void>;
}

/** Makes the clients of the platform. */
export function createPlatformClients(settings: Settings): PlatformClients {
  const {platform, timeouts} = settings;
  const options = {
    timeoutMs: timeouts.platformCallMs,
    connectTimeoutMs: timeouts.connectMs,
    maxIdleMs: timeouts.idleReuseMs,
  };
  const table = new HttpCaller(platform.tableUrl, options);
  const objects = new HttpCaller(platform.objectUrl, options);
  const hosts = new HttpCaller(platform.hostListUrl, options);
  return {
    table: new HttpTableService(table, platform.tableUrl),
    objects: new HttpObjectStore(objects, platform.objectUrl),
    hostList: new HttpHostList(hosts, platform.hostListUrl),
    close: async () => {
      await Promise.all([table.close(), objects.close(), hosts.close()]);
    },
  };
}
