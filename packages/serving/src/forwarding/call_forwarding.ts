/** Assembles the two sides of forwarded calls of one daemon: the calls that it has others make, and those that it makes for others. */
import type {Clock, EventLog, SavoryspurError} from '@savoryspur/common';
import {PeerStreamClient, type StreamTable} from '@savoryspur/fleet';
import type {PeerInfo, ProbeAnswer} from '@savoryspur/schema';
import type {ResultAsync} from 'neverthrow';
import type {EnvironmentView} from '../environment.js';
import type {ReachabilityMonitor} from '../online/reachability_monitor.js';
import type {Membership} from '../peers/membership.js';
import type {ServiceRegistry} from '../service_registry.js';
import {ForwardedCallHandler} from './forwarded_call_handler.js';
import {
  FORWARD_CALL_NAME,
  ForwardingServerCaller,
} from './forwarding_server_caller.js';
import {ForwardPeers} from './forward_peers.js';

/** Components that forwarded calls use. */
export interface CallForwardingOptions {
  self: PeerInfo;
  /** Secret by which the daemons of the fleet authenticate to each other. */
  secret: string;
  /** Time limit of connecting to a peer, milliseconds. */
  connectTimeoutMs: number;
  clock: Clock;
  log: EventLog;
  members: Membership;
  /** Whether a peer has answered the latest calls of this daemon. */
  isPeerReachable: (peer: PeerInfo) => boolean;
  registry: ServiceRegistry<EnvironmentView>;
  /** Calls servers directly. */
  direct: ReachabilityMonitor;
  /** Asks a peer whether a server accepts connections. */
  probeThroughPeer: (
    peer: PeerInfo,
    serverId: string,
    timeoutMs: number,
  ) => ResultAsync<ProbeAnswer, SavoryspurError>;
  /** Returns a random number in [0, 1). */
  random: () => number;
}

/** Forwarded calls of one daemon. */
export class CallForwarding {
  /** Calls servers directly or through a peer. */
  readonly servers: ForwardingServerCaller;
  /** Calls servers for peers. */
  readonly handler: ForwardedCallHandler;
  private readonly streams: PeerStreamClient;

  /**
   * @param options - identity of this daemon and the components to use
   */
  constructor(options: CallForwardingOptions) {
    const {self, secret, connectTimeoutMs, clock, log, direct} = options;
    const {registry, random} = options;
    this.streams = new PeerStreamClient({
      secret,
      connectTimeoutMs,
      getSelf: () => self,
    });
    this.handler = new ForwardedCallHandler({
      direct,
      registry,
      clock,
      log,
      random,
    });
    this.servers = new ForwardingServerCaller({
      direct,
      peers: new ForwardPeers({
        members: options.members,
        isPeerReachable: options.isPeerReachable,
        clock,
        random,
      }),
      streams: this.streams,
      probeThroughPeer: options.probeThroughPeer,
      registry,
      clock,
      log,
      random,
    });
  }

  /** Creates the handlers of the streamed calls that peers make. */
  createStreams(): StreamTable {
    return new Map([
      [FORWARD_CALL_NAME, (call, writer) => this.handler.serve(call, writer)],
    ]);
  }

  /** Closes the connections to peers. */
  async stop(): Promise<void> {
    await this.streams.stop();
  }
}
