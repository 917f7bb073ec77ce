/** The two hosts of a forwarded call: the one that is cut off, and the one in between. */
import {
  ErrorCode,
  LineEventLog,
  SavoryspurError,
  SystemClock,
} from '@savoryspur/common';
import {PeerServer} from '@savoryspur/fleet';
import {HttpServerCaller} from '@savoryspur/platform';
import {CallOutcome, type MemberRow, type PeerInfo} from '@savoryspur/schema';
import {
  type BackendServer,
  type CallFailure,
  CallForwarding,
  type EnvironmentView,
  Membership,
  ReachabilityMonitor,
  RequestQuarantine,
  type RowStore,
  type ServerCall,
  type ServerCaller,
  ServerReadOutcome,
  type ServiceRegistry,
  type TableRow,
} from '@savoryspur/serving';
import {errAsync, okAsync} from 'neverthrow';
import {REQUEST_BYTES, SERVER_ID} from './forwarding_server.js';

/** Secret of the daemons. */
export const PEER_SECRET = 'a secret of the daemons';

/** Time limit of connecting to a daemon, milliseconds. */
export const CONNECT_TIMEOUT_MS = 1000;

/** Idle time limit of connections between daemons other than those of forwarded calls, milliseconds. */
const IDLE_TIMEOUT_MS = 60_000;

/** Time limits of a call, milliseconds. */
const FIRST_BYTE_TIMEOUT_MS = 10_000;
const DEADLINE_MS = 60_000;

/** Maximum number of connections to the server: more than calls in progress. */
const MAX_CONNECTIONS = 1024;

/** Headers of a caller's request. */
const REQUEST_HEADERS = [
  ...['Content-Type', 'application/json'],
  ...['Accept', '*/*'],
  ...['User-Agent', 'caller/1.0'],
  ...['X-Model', 'model-01'],
];

const REQUEST_BODY = Buffer.alloc(REQUEST_BYTES, 'r');

/** Ids of servers that no call reaches; their failures make a host cut off. */
const DARK_SERVER_IDS = ['server-0002', 'server-0003'];

const clock = new SystemClock();

/** Event log of the default level, without the writing of lines. */
const log = new LineEventLog('host', clock, {
  write: () => true,
  writableLength: 0,
});

/** Creates the identity of a daemon. */
export function createPeer(
  index: number,
  zone: string,
  peerPort: number,
): PeerInfo {
  return {
    host: `entry-host-${index}`,
    zone,
    region: 'region-0',
    address: '127.0.0.1',
    peerPort,
    incarnation: `incarnation-${index}`,
  };
}

/** Creates the heartbeat row of a daemon. */
export function createMemberRow(peer: PeerInfo, isCutOff = false): MemberRow {
  return {
    ...peer,
    cores: 4,
    isLeaving: false,
    isCutOff,
    beat: 1000,
    crashes: [],
  };
}

/** Creates the entry of a server. */
export function createServer(id: string, port: number): BackendServer {
  return {
    id,
    service: 'model-01',
    address: `127.0.0.1:${port}`,
    zone: 'zone-0',
    softwareVersion: 'v1',
    slots: 8,
    isDraining: false,
    coldUntilMs: 0,
  };
}

/** Creates one call of a request to a server. */
export function createCall(
  server: BackendServer,
  requestId: string,
  target: string,
): ServerCall {
  return {
    server,
    requestId,
    method: 'POST',
    host: 'serving.example',
    target,
    headers: REQUEST_HEADERS,
    body: REQUEST_BODY,
    workspace: 'workspace-00001',
    deadlineInMs: DEADLINE_MS,
    firstByteTimeoutMs: FIRST_BYTE_TIMEOUT_MS,
    maxConnections: MAX_CONNECTIONS,
    signal: new AbortController().signal,
  };
}

/** Creates the membership of a daemon that has read the heartbeats of others once. */
export async function createMembership(
  self: PeerInfo,
  others: readonly PeerInfo[],
): Promise<Membership> {
  const members = new Membership({
    self,
    cores: 4,
    store: createStore(others),
    clock,
    log,
    quarantine: new RequestQuarantine(clock),
    isCutOff: () => false,
  });
  const stop = new AbortController();
  const running = members.run(stop.signal);
  while (members.listPeers().length < others.length) await clock.sleep(1);
  stop.abort();
  await running;
  return members;
}

/** Creates a store that holds the heartbeats of daemons. */
function createStore(peers: readonly PeerInfo[]): RowStore {
  const rows = peers.map((peer): TableRow => ({
    table: 'members',
    part: '',
    key: peer.host,
    value: Buffer.from(JSON.stringify(createMemberRow(peer))),
    version: 1,
  }));
  return {
    transact: () => okAsync({isCommitted: true, conflicts: []}),
    read: () => okAsync({rows, hasMore: false, version: 1}),
    listParts: () => okAsync(['']),
    watch: () => okAsync({rows: [], version: 1}),
    now: () => undefined,
  };
}

/** Creates a registry that lists one server. */
function createRegistry(
  server: BackendServer,
): ServiceRegistry<EnvironmentView> {
  return {
    getEnvironment: () => undefined,
    listServers: () => [server],
    listLeaving: () => [],
    recordAnswer: () => undefined,
    listVersions: () => [],
    readVersions: () => Promise.resolve(ServerReadOutcome.UNCHANGED),
    findServer: (id) => (id === server.id ? server : undefined),
  };
}

/** Creates the forwarded calls of a daemon over its direct calls. */
function createForwarding(
  members: Membership,
  direct: ReachabilityMonitor,
  server: BackendServer,
): CallForwarding {
  return new CallForwarding({
    self: members.self,
    secret: PEER_SECRET,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    clock,
    log,
    members,
    isPeerReachable: () => true,
    registry: createRegistry(server),
    direct,
    probeThroughPeer: () =>
      errAsync(
        new SavoryspurError(
          ErrorCode.UNAVAILABLE,
          {step: 'probe', peer: 'host'},
          'no probes in this measurement',
        ),
      ),
    random: Math.random,
  });
}

/**
 * Starts the host in between.
 *
 * @param serverPort - port of the server
 * @returns the port for calls of other daemons
 */
export async function startHostBetween(serverPort: number): Promise<number> {
  const members = await createMembership(createPeer(1, 'zone-1', 0), []);
  const direct = new ReachabilityMonitor(new HttpServerCaller(), clock, log);
  const server = createServer(SERVER_ID, serverPort);
  const forwarding = createForwarding(members, direct, server);
  const peerServer = new PeerServer({
    address: '127.0.0.1',
    port: 0,
    secret: PEER_SECRET,
    getIdleTimeoutMs: () => IDLE_TIMEOUT_MS,
    clock,
    getSelf: () => members.self,
  });
  return peerServer.start(new Map(), forwarding.createStreams());
}

/** Servers none of which is reached until the measurement ends. */
class DarkServers implements ServerCaller {
  private isDark = true;

  /** Fails. */
  call(): Promise<CallFailure> {
    return Promise.resolve({
      kind: 'failure',
      outcome: CallOutcome.UNREACHABLE,
      reason: 'cut off',
    });
  }

  /** Checks whether the measurement has ended. */
  probe(): Promise<boolean> {
    return Promise.resolve(!this.isDark);
  }

  /** Does nothing: there are no connections. */
  replaceConnections(): void {}

  /** Lets probes succeed, which ends them. */
  stop(): void {
    this.isDark = false;
  }
}

/** Host of a caller, with direct calls to the server and with forwarded ones. */
export interface OriginHost {
  server: BackendServer;
  self: PeerInfo;
  /** The host in between. */
  peer: PeerInfo;
  direct: ServerCaller;
  forwarded: ServerCaller;
  /** Closes the connections and ends the probes. */
  stop(): Promise<void>;
}

/**
 * Creates the host of a caller. Its forwarded calls take it for cut off.
 *
 * @param serverPort - port of the server
 * @param peerPort - port of the host in between
 */
export async function createOriginHost(
  serverPort: number,
  peerPort: number,
): Promise<OriginHost> {
  const peer = createPeer(1, 'zone-1', peerPort);
  const self = createPeer(0, 'zone-0', 0);
  const members = await createMembership(self, [peer]);
  const server = createServer(SERVER_ID, serverPort);
  const dark = new DarkServers();
  const cutOff = new ReachabilityMonitor(dark, clock, log);
  for (const id of DARK_SERVER_IDS) {
    await cutOff.call(createCall(createServer(id, 1), id, '/'));
  }
  if (!cutOff.isCutOff()) throw new Error('the host is not cut off');
  const forwarding = createForwarding(members, cutOff, server);
  const http = new HttpServerCaller();
  return {
    server,
    self,
    peer,
    direct: new ReachabilityMonitor(http, clock, log),
    forwarded: forwarding.servers,
    stop: async () => {
      dark.stop();
      http.closeUnused(() => false);
      await forwarding.stop();
    },
  };
}
