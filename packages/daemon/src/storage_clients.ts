/** Clients of the table service, the object store and the host list. */
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

/** Storage clients, shared by the components of a daemon. */
export interface StorageClients {
  table: TableService;
  objects: ObjectStore;
  hostList: HostList;
  /** Closes the connections of all three clients. */
  close: () => Promise<void>;
}

/** Creates the clients for the URLs and timeouts in the settings. */
export function createStorageClients(settings: Settings): StorageClients {
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
