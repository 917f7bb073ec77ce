/** One daemon's part in the fleet: connections, membership, slots, leases. */
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

/** State for operators. */
export interface FleetStatus extends SlotStatus {
  self: PeerInfo;
  /** Daemons believed alive, by zone. */
  alive: Record<string, string[]>;
  /** Open connections to other daemons. */
  connections: number;
}

/** Silence after which an incoming connection is closed, in terms. */
const SILENT_TERMS = 4;

/** Membership and ownership over connections to the other daemons. */
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
      getIdleReuseMs: () => this.getIdleReuseMs(),
      onPeer: (peer) => this.core.membership.recordPeerSeen(peer),
      onFailure: (peer) => this.core.membership.recordPeerFailure(peer),
    });
    this.server = new PeerServer({
      ...connection,
      address: listen.address,
      port: listen.peerPort,
      getSilenceMs: () => SILENT_TERMS * this.core.getTiming().termMs,
      onCaller: (caller) => this.core.handleCaller(caller),
    });
    this.core = new FleetCore({...options, caller: this.pool});
  }

  /** This daemon as the others see it. */
  get self(): PeerInfo {
    return this.core.self;
  }

  /** Procedures for the others; mount as `fleet` in the daemon's router. */
  get router(): FleetRouter {
    return this.core.router;
  }

  /**
   * Listens, finds the other daemons and takes slots.
   *
   * @param router - the daemon's whole router, with `fleet` in it
   * @returns the port that was bound
   */
  async start(router: AnyRouter): Promise<number> {
    const peerPort = await this.server.start(router);
    await this.core.start(peerPort);
    return peerPort;
  }

  /** Gets a caller of the procedures of a router, over the same connections. */
  getCaller<TRouter extends AnyRouter>(): PeerCaller<TRPCClient<TRouter>> {
    return this.pool as unknown as PeerCaller<TRPCClient<TRouter>>;
  }

  /** {@inheritDoc FleetView.listAlive} */
  listAlive(zone: string): PeerInfo[] {
    return this.core.listAlive(zone);
  }

  /** {@inheritDoc FleetView.listZones} */
  listZones(): string[] {
    return this.core.listZones();
  }

  /** {@inheritDoc FleetView.listOwners} */
  listOwners(key: string, zone: string): PeerInfo[] {
    return this.core.listOwners(key, zone);
  }

  /** {@inheritDoc FleetView.computeOwner} */
  computeOwner(key: string, zone: string): PeerInfo | undefined {
    return this.core.computeOwner(key, zone);
  }

  /** {@inheritDoc FleetView.getDelegatedShare} */
  getDelegatedShare(key: string): DelegatedShare {
    return this.core.getDelegatedShare(key);
  }

  /** {@inheritDoc ShareLedger.getShareHistory} */
  getShareHistory(key: string, sinceMs: number | undefined): ShareHistory {
    return this.core.getShareHistory(key, sinceMs);
  }

  /** {@inheritDoc ShareLedger.listDelegators} */
  listDelegators(key: string): ReadonlyMap<string, number> {
    return this.core.listDelegators(key);
  }

  /** Sets who keeps the tokens that move with delegated slots. */
  registerTokenHandover(keeper: TokenHandover): void {
    this.core.registerTokenHandover(keeper);
  }

  /** Notes that a call of a daemon found no answer. */
  recordPeerFailure(peer: PeerInfo): void {
    this.core.membership.recordPeerFailure(peer);
  }

  /** Gets the state for operators. */
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
   * Gives the delegations of this daemon back with their unused tokens, takes
   * it out of every view and releases its slots. Calls of other daemons go on.
   */
  async leave(): Promise<void> {
    await this.core.leave();
  }

  /** Ends all tasks and connections. */
  async stop(): Promise<void> {
    this.core.stop();
    this.pool.stop();
    await this.server.stop();
  }

  /** Heartbeats keep the connections of the zone in use. */
  private getIdleReuseMs(): number {
    const {idleReuseMs} = this.options.settings.timeouts;
    return Math.max(idleReuseMs, 2 * this.core.getTiming().periodMs);
  }
}

/**
 * Makes one daemon's part in the fleet.
 *
 * @param options - settings, clock and platform
 */
export function createFleet(options: FleetOptions): Fleet {
  return new Fleet(options);
}
