/** Connections, membership, quota slots and leases of one daemon. */
import type {PeerInfo} from '@savoryspur/schema';
import type {TRPCClient} from '@trpc/client';
import type {AnyRouter} from '@trpc/server';
import type {
  DelegatedShare,
  MembershipView,
  PeerCaller,
  ShareHistory,
  ShareHistorySource,
  TokenHandover,
} from './contract.js';
import {FleetCore, type FleetOptions, type SlotStatus} from './fleet_core.js';
import type {FleetRootRouter, FleetRouter} from './fleet_router.js';
import {PeerPool} from './peer_pool.js';
import {PeerServer} from './peer_server.js';

/** State of the fleet as this daemon sees it, shown to operators. */
export interface FleetStatus extends SlotStatus {
  self: PeerInfo;
  /** Hosts whose daemons are considered alive, by zone. */
  alive: Record<string, string[]>;
  /** Open connections to other daemons. */
  connections: number;
}

/**
 * Time without a message after which an incoming connection is closed, in
 * delegation terms.
 */
const IDLE_TIMEOUT_TERMS = 4;

/** Membership and key ownership over connections to the other daemons. */
export class Fleet implements MembershipView, ShareHistorySource {
  private readonly pool: PeerPool<FleetRootRouter>;
  private readonly server: PeerServer;
  private readonly core: FleetCore;

  /**
   * @param options - settings, clock and platform
   */
  constructor(private readonly options: FleetOptions) {
    const {settings, clock} = options;
    const {timeouts, listen, secrets} = settings;
    const connection = {
      secret: secrets.peer,
      clock,
      getSelf: () => this.core.self,
    };
    this.pool = new PeerPool({
      ...connection,
      connectTimeoutMs: timeouts.connectMs,
      callTimeoutMs: timeouts.peerCallMs,
      getMaxIdleMs: () => this.getIdleReuseMs(),
      onPeer: (peer) => this.core.membership.recordPeerSeen(peer),
      onFailure: (peer) => this.core.membership.recordPeerFailure(peer),
    });
    this.server = new PeerServer({
      ...connection,
      address: listen.address,
      port: listen.peerPort,
      getIdleTimeoutMs: () => IDLE_TIMEOUT_TERMS * this.core.getTiming().termMs,
      onCaller: (caller) => this.core.handleCaller(caller),
    });
    this.core = new FleetCore({...options, caller: this.pool});
  }

  /** Identity and address of this daemon. */
  get self(): PeerInfo {
    return this.core.self;
  }

  /** Procedures for other daemons; mount as `fleet` in the daemon's router. */
  get router(): FleetRouter {
    return this.core.router;
  }

  /**
   * Listens, finds the other daemons and claims quota slots.
   *
   * @param router - the daemon's whole router, with `fleet` mounted in it
   * @returns the port that was bound
   */
  async start(router: AnyRouter): Promise<number> {
    const peerPort = await this.server.start(router);
    await this.core.start(peerPort);
    return peerPort;
  }

  /** Gets a caller for the procedures of a router over the same connections. */
  getCaller<TRouter extends AnyRouter>(): PeerCaller<TRPCClient<TRouter>> {
    return this.pool as unknown as PeerCaller<TRPCClient<TRouter>>;
  }

  /** {@inheritDoc MembershipView.listAlive} */
  listAlive(zone: string): PeerInfo[] {
    return this.core.listAlive(zone);
  }

  /** {@inheritDoc MembershipView.listZones} */
  listZones(): string[] {
    return this.core.listZones();
  }

  /** {@inheritDoc MembershipView.listOwners} */
  listOwners(key: string, zone: string): PeerInfo[] {
    return this.core.listOwners(key, zone);
  }

  /** {@inheritDoc MembershipView.computeOwner} */
  computeOwner(key: string, zone: string): PeerInfo | undefined {
    return this.core.computeOwner(key, zone);
  }

  /** {@inheritDoc MembershipView.getDelegatedShare} */
  getDelegatedShare(key: string): DelegatedShare {
    return this.core.getDelegatedShare(key);
  }

  /** {@inheritDoc ShareHistorySource.getShareHistory} */
  getShareHistory(key: string, sinceMs: number | undefined): ShareHistory {
    return this.core.getShareHistory(key, sinceMs);
  }

  /** {@inheritDoc ShareHistorySource.listDelegators} */
  listDelegators(key: string): ReadonlyMap<string, number> {
    return this.core.listDelegators(key);
  }

  /**
   * Registers the handover of the tokens that go with delegated quota slots.
   */
  registerTokenHandover(tokenHandover: TokenHandover): void {
    this.core.registerTokenHandover(tokenHandover);
  }

  /** Records that a call to a daemon was not answered. */
  recordPeerFailure(peer: PeerInfo): void {
    this.core.membership.recordPeerFailure(peer);
  }

  /** Gets the state that is shown to operators. */
  getStatus(): FleetStatus {
    const alive: Record<string, string[]> = {};
    for (const zone of this.listZones()) {
      alive[zone] = this.listAlive(zone).map((peer) => peer.host);
    }
    return {
      self: this.self,
      alive,
      ...this.core.getSlotStatus(),
      connections: this.pool.countConnections(),
    };
  }

  /**
   * Performs a planned stop: releases the delegations to this daemon with their
   * unused tokens, removes it from every membership view and releases its quota
   * slots. Calls of other daemons are still answered.
   */
  async leave(): Promise<void> {
    await this.core.leave();
  }

  /** Stops all tasks and closes all connections. */
  async stop(): Promise<void> {
    this.core.stop();
    this.pool.stop();
    await this.server.stop();
  }

  /**
   * Gets the longest idle time after which a connection is reused: at least two
   * heartbeat periods, so that heartbeats keep the connections of the zone
   * open.
   */
  private getIdleReuseMs(): number {
    const {idleReuseMs} = this.options.settings.timeouts;
    return Math.max(idleReuseMs, 2 * this.core.getTiming().periodMs);
  }
}

/**
 * Creates the connections, membership and quota slots of one daemon.
 *
 * @param options - settings, clock and platform
 */
export function createFleet(options: FleetOptions): Fleet {
  return new Fleet(options);
}
