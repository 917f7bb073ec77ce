/** Failure detector for the daemons of all zones. */
import {type Clock, type EventLog, FleetEvent} from '@savoryspur/common';
import {
  type ListedHost,
  ListedHostState,
  type PeerInfo,
} from '@savoryspur/schema';
import type {HostDirectory} from './host_directory.js';
import {RankingCache} from './ranking_cache.js';

/** Dependencies and settings of {@link Membership}. */
export interface MembershipOptions {
  clock: Clock;
  log: EventLog;
  directory: HostDirectory;
  /** Gets the identity and address of this daemon. */
  getSelf: () => PeerInfo;
  /**
   * Gets the time without a heartbeat after which a daemon of this zone is
   * suspected, milliseconds.
   */
  getSuspectTimeoutMs: () => number;
  /**
   * Time for which a daemon of another zone is suspected, and so not considered
   * alive, after a failed call, milliseconds.
   */
  suspectAfterFailureMs: number;
}

/** What the calls from and to one daemon have shown about it. */
interface PeerRecord {
  incarnation: string;
  lastSeenMs: number;
  lastFailureMs: number;
  /** Whether the last logged event reported the daemon as alive. */
  isAlive: boolean;
  /** Incarnation that announced its planned stop. */
  leftIncarnation: string | undefined;
  /** When the planned stop was announced, monotonic milliseconds. */
  leftAtMs: number;
}

/**
 * Determines which daemons are alive. Daemons of this zone must have been heard
 * from recently; daemons of other zones count as alive unless a call has
 * failed.
 */
export class Membership {
  private readonly records = new Map<string, PeerRecord>();
  private readonly rankings = new RankingCache();
  private isLeaving = false;

  /**
   * @param options - clock, host directory and timeouts
   */
  constructor(private readonly options: MembershipOptions) {}

  /** Lists the daemons of a zone that are considered alive, sorted by name. */
  listAlive(zone: string): PeerInfo[] {
    const self = this.options.getSelf();
    const sinceMs = this.getAliveSinceMs();
    const alive: PeerInfo[] = [];
    for (const host of this.options.directory.listZone(zone)) {
      if (host.host === self.host) continue;
      if (this.isAlive(host, sinceMs)) alive.push(this.toPeerInfo(host));
    }
    if (zone === self.zone && !this.isLeaving) addSortedByName(alive, self);
    return alive;
  }

  /** Lists the zones with daemons that are considered alive, sorted by name. */
  listZones(): string[] {
    const own = this.options.getSelf().zone;
    const {directory} = this.options;
    const zones = directory.listZones().filter((zone) => {
      if (zone === own) return false;
      const hosts = directory.listZone(zone);
      return hosts.some((host) => this.isAlive(host, 0));
    });
    return [...zones, own].sort();
  }

  /** Gets the identity and address of this daemon. */
  getSelf(): PeerInfo {
    return this.options.getSelf();
  }

  /** Counts the other daemons of this zone, alive or not. */
  countZonePeers(): number {
    const {host, zone} = this.options.getSelf();
    const hosts = this.options.directory.listZone(zone);
    const hasSelf = hosts.some((listed) => listed.host === host);
    return hosts.length - (hasSelf ? 1 : 0);
  }

  /** Lists the other daemons of this zone, alive or not. */
  listZonePeers(): PeerInfo[] {
    const self = this.options.getSelf();
    return this.options.directory
      .listZone(self.zone)
      .filter((host) => host.host !== self.host)
      .map((host) => this.toPeerInfo(host));
  }

  /** Lists the other daemons of all zones that are considered alive. */
  listAllAlive(): PeerInfo[] {
    const self = this.options.getSelf();
    const sinceMs = this.getAliveSinceMs();
    return this.options.directory
      .listHosts()
      .filter((host) => host.host !== self.host && this.isAlive(host, sinceMs))
      .map((host) => this.toPeerInfo(host));
  }

  /**
   * Lists the daemons of a zone in the order of their rank for a key. A
   * stopping daemon that owned the key comes second as long as its leases may
   * be valid.
   *
   * @param key - quota key or another key that has an owner
   * @param zone - availability zone
   */
  listOwners(key: string, zone: string): PeerInfo[] {
    const owners = this.listRanked(key, this.listAlive(zone));
    const leaving = this.listLeaving(zone);
    if (leaving.length === 0 || owners[0] === undefined) return owners;
    const leavingOwner = this.listRanked(key, [owners[0], ...leaving])[0];
    if (leavingOwner !== undefined && leavingOwner !== owners[0]) {
      owners.splice(1, 0, leavingOwner);
    }
    return owners;
  }

  /** Records that a message of a daemon was received. */
  recordPeerSeen(peer: PeerInfo): void {
    const record = this.getRecord(peer.host);
    record.incarnation = peer.incarnation;
    record.lastSeenMs = this.options.clock.now();
    record.lastFailureMs = Number.NEGATIVE_INFINITY;
  }

  /** Records that a call to a daemon was not answered. */
  recordPeerFailure(peer: PeerInfo): void {
    this.getRecord(peer.host).lastFailureMs = this.options.clock.now();
  }

  /** Records the planned stop of one incarnation of a daemon. */
  recordPeerLeft(peer: PeerInfo): void {
    const record = this.getRecord(peer.host);
    record.leftIncarnation = peer.incarnation;
    record.leftAtMs = this.options.clock.now();
  }

  /** Removes this daemon from its own membership view. */
  markLeaving(): void {
    this.isLeaving = true;
  }

  /** Logs an event for each daemon of this zone whose liveness has changed. */
  reportChanges(): void {
    const {log, directory} = this.options;
    const sinceMs = this.getAliveSinceMs();
    for (const peer of this.listZonePeers()) {
      const record = this.getRecord(peer.host);
      const host = directory.findHost(peer.host);
      const isAlive = host !== undefined && this.isAlive(host, sinceMs);
      if (isAlive === record.isAlive) continue;
      record.isAlive = isAlive;
      const event = isAlive ? FleetEvent.PEER_ALIVE : FleetEvent.PEER_SUSPECTED;
      log.record(event, {step: 'fleet.heartbeat', peer: peer.host});
    }
  }

  private listRanked(key: string, peers: PeerInfo[]): PeerInfo[] {
    const byHost = new Map(peers.map((peer) => [peer.host, peer]));
    const ranking = this.rankings.getRanking(key, [...byHost.keys()]);
    return ranking.map((host) => byHost.get(host) as PeerInfo);
  }

  /** Lists the daemons of a zone that announced a stop less than a term ago. */
  private listLeaving(zone: string): PeerInfo[] {
    const sinceMs = this.getAliveSinceMs();
    const leaving: PeerInfo[] = [];
    for (const host of this.options.directory.listZone(zone)) {
      const record = this.records.get(host.host);
      if (record === undefined || record.leftAtMs <= sinceMs) continue;
      if (record.leftIncarnation !== record.incarnation) continue;
      leaving.push(this.toPeerInfo(host));
    }
    return leaving;
  }

  /**
   * Computes the monotonic time after which a daemon of this zone must have been
   * heard from to be considered alive.
   */
  private getAliveSinceMs(): number {
    return this.options.clock.now() - this.options.getSuspectTimeoutMs();
  }

  private isAlive(host: ListedHost, aliveSinceMs: number): boolean {
    const {clock, getSelf, suspectAfterFailureMs} = this.options;
    if (host.state !== ListedHostState.LIVE) return false;
    const record = this.records.get(host.host);
    if (record !== undefined && record.leftIncarnation !== undefined) {
      if (record.leftIncarnation === record.incarnation) return false;
    }
    if (host.zone === getSelf().zone) {
      return record !== undefined && record.lastSeenMs > aliveSinceMs;
    }
    const failureMs = record?.lastFailureMs ?? Number.NEGATIVE_INFINITY;
    return failureMs <= clock.now() - suspectAfterFailureMs;
  }

  private toPeerInfo(host: ListedHost): PeerInfo {
    return {
      host: host.host,
      zone: host.zone,
      region: host.region,
      address: host.address,
      peerPort: host.peerPort,
      incarnation: this.records.get(host.host)?.incarnation ?? '',
    };
  }

  private getRecord(host: string): PeerRecord {
    let record = this.records.get(host);
    if (record === undefined) {
      record = {
        incarnation: '',
        lastSeenMs: Number.NEGATIVE_INFINITY,
        lastFailureMs: Number.NEGATIVE_INFINITY,
        isAlive: false,
        leftIncarnation: undefined,
        leftAtMs: Number.NEGATIVE_INFINITY,
      };
      this.records.set(host, record);
    }
    return record;
  }
}

/** Inserts a daemon into a list that is sorted by name. */
function addSortedByName(peers: PeerInfo[], peer: PeerInfo): void {
  const index = peers.findIndex((other) => other.host > peer.host);
  peers.splice(index < 0 ? peers.length : index, 0, peer);
}
