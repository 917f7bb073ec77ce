/**
 * The platform in one process: table service, object store, host list and
 * weight store.
 */
import type {Clock} from '@savoryspur/common';
import {
  type ListedHost,
  type PlatformStats,
  validateHostListAnswer,
  validateHostListView,
  validatePlatformFaults,
  validateTableScanRequest,
  validateTableReadRequest,
  validateTransaction,
} from '@savoryspur/schema';
import {
  createJsonAnswer,
  HttpStandIn,
  LOOPBACK,
  parseBody,
  type StandInAnswer,
  type StandInHandler,
  type StandInRequest,
  type StandInRoute,
} from '../http_stand_in.js';
import type {StartedStandIn} from '../stand_in.js';
import {FaultyService} from './faulty_service.js';
import {LaggingHostList} from './lagging_host_list.js';
import {ObjectService} from './object_service.js';
import {TableStore} from './table_store.js';
import {WeightService} from './weight_service.js';

/** Options of the platform process. */
export interface PlatformOptions {
  /** Port to listen on; 0 lets the system choose. */
  port: number;
  /** Seed of random faults. */
  seed: number;
  /** Delay until a change of the host list is visible, milliseconds. */
  hostLagMs: number;
  /** Reads per second that the weight store serves; more are refused. */
  weightsPerSecond: number;
}

/** Services of the platform, each of which has its own faults. */
enum PlatformService {
  TABLE = 'table',
  OBJECTS = 'objects',
  HOSTS = 'hosts',
  WEIGHTS = 'weights',
}

/** All services of the platform and their control API, on one port. */
export class PlatformStandIn {
  private readonly table = new TableStore();
  private readonly objects = new ObjectService();
  private readonly hosts: LaggingHostList;
  private readonly weights: WeightService;
  private readonly services: Record<PlatformService, FaultyService>;
  private readonly callsByKind: Record<string, number> = {};
  private readonly servers: HttpStandIn[] = [];

  /**
   * @param options - port, seed, delay and rate
   * @param clock - clock of delays, rates and counters
   */
  constructor(
    private readonly options: PlatformOptions,
    clock: Clock,
  ) {
    this.hosts = new LaggingHostList(clock);
    this.hosts.setLag(options.hostLagMs);
    this.weights = new WeightService(clock, options.weightsPerSecond);
    const {seed} = options;
    this.services = {
      [PlatformService.TABLE]: new FaultyService(clock, seed),
      [PlatformService.OBJECTS]: new FaultyService(clock, seed + 1),
      [PlatformService.HOSTS]: new FaultyService(clock, seed + 2),
      [PlatformService.WEIGHTS]: new FaultyService(clock, seed + 3),
    };
  }

  /** Starts listening. */
  async start(): Promise<StartedStandIn> {
    const port = await this.startServer(this.options.port, {});
    const close = async (): Promise<void> => {
      await Promise.all(this.servers.map((server) => server.close()));
    };
    return {port, close};
  }

  /**
   * Starts a server with all services.
   *
   * @param port - port to listen on; 0 lets the system choose
   * @param peerPorts - ports on loopback, by host, that the host list of this
   *     server shows in place of the addresses and ports of the daemons
   */
  private async startServer(
    port: number,
    peerPorts: Record<string, number>,
  ): Promise<number> {
    const server = new HttpStandIn([
      ...this.listTableRoutes(),
      ...this.objects.listRoutes((kind, isWrite, handle) =>
        this.createHandler(PlatformService.OBJECTS, kind, isWrite, handle),
      ),
      ...this.listHostRoutes(peerPorts),
      ...this.listWeightRoutes(),
      ...this.listControlRoutes(),
    ]);
    this.servers.push(server);
    return server.start(port);
  }

  private listHostRoutes(peerPorts: Record<string, number>): StandInRoute[] {
    const handle: StandInHandler = () => {
      const hosts = this.hosts.list().map((host) => {
        const peerPort = peerPorts[host.host];
        if (peerPort === undefined) return host;
        return {...host, address: LOOPBACK, peerPort};
      });
      return createJsonAnswer({hosts});
    };
    return [
      {
        method: 'GET',
        path: /^\/v1\/hosts$/,
        handle: this.createHandler(
          PlatformService.HOSTS,
          'list',
          false,
          handle,
        ),
      },
    ];
  }

  private listWeightRoutes(): StandInRoute[] {
    return [
      {
        method: 'GET',
        path: /^\/v1\/weights\/([^/]+)\/([^/]+)$/,
        handle: this.createHandler(
          PlatformService.WEIGHTS,
          'get',
          false,
          (request) => this.weights.get(request),
        ),
      },
    ];
  }

  private listTableRoutes(): StandInRoute[] {
    const createTableRoute = (
      kind: string,
      isWrite: boolean,
      handle: StandInHandler,
    ) => ({
      method: 'POST',
      path: new RegExp(`^/v1/table/${kind}$`),
      handle: this.createHandler(PlatformService.TABLE, kind, isWrite, handle),
    });
    return [
      createTableRoute('read', false, ({body}) => {
        const {keys} = parseBody(body, validateTableReadRequest);
        return createJsonAnswer({rows: this.table.read(keys)});
      }),
      createTableRoute('scan', false, ({body}) => {
        const range = parseBody(body, validateTableScanRequest);
        return createJsonAnswer({rows: this.table.scan(range)});
      }),
      createTableRoute('transact', true, ({body}) => {
        const transaction = parseBody(body, validateTransaction);
        return createJsonAnswer(this.table.transact(transaction));
      }),
    ];
  }

  private listControlRoutes(): StandInRoute[] {
    return [
      {
        method: 'POST',
        path: /^\/control\/faults$/,
        handle: (request) => this.setFaults(request),
      },
      {
        method: 'POST',
        path: /^\/control\/hosts$/,
        handle: (request) => this.setHosts(request),
      },
      {
        method: 'POST',
        path: /^\/control\/views$/,
        handle: async ({body}) => {
          const {peerPorts} = parseBody(body, validateHostListView);
          return createJsonAnswer({port: await this.startServer(0, peerPorts)});
        },
      },
      {
        method: 'GET',
        path: /^\/control\/stats$/,
        handle: () => createJsonAnswer(this.report()),
      },
    ];
  }

  private createHandler(
    service: PlatformService,
    kind: string,
    isWrite: boolean,
    handle: StandInHandler,
  ): StandInHandler {
    const name = `${service}.${kind}`;
    return this.services[service].createHandler(isWrite, (request) => {
      this.callsByKind[name] = (this.callsByKind[name] ?? 0) + 1;
      return handle(request);
    });
  }

  private setFaults(request: StandInRequest): StandInAnswer {
    const faults = parseBody(request.body, validatePlatformFaults);
    for (const name of Object.values(PlatformService)) {
      this.services[name].setFault(faults[name], faults.seed);
    }
    return createJsonAnswer({});
  }

  private setHosts(request: StandInRequest): StandInAnswer {
    const lagMs = request.url.searchParams.get('lagMs');
    if (lagMs !== null) this.hosts.setLag(Number(lagMs));
    const hosts: ListedHost[] = parseBody(
      request.body,
      validateHostListAnswer,
    ).hosts;
    this.hosts.set(hosts);
    return createJsonAnswer({});
  }

  private report(): PlatformStats {
    return {
      table: this.services[PlatformService.TABLE].report(),
      objects: this.services[PlatformService.OBJECTS].report(),
      hosts: this.services[PlatformService.HOSTS].report(),
      weights: this.services[PlatformService.WEIGHTS].report(),
      byKind: this.callsByKind,
      rows: this.table.count(),
      objectCount: this.objects.count(),
    };
  }
}
