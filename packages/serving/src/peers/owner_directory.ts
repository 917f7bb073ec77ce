/** Finds the daemon that owns a key, among those that are alive and reachable from this daemon. */
import {
  type Clock,
  computeBackoffMs,
  computeRendezvousRanking,
} from '@savoryspur/common';
import type {PeerInfo} from '@savoryspur/schema';
import {formatHostIncarnation} from './incarnation.js';
import type {Membership} from './membership.js';

/** Time for which a daemon is suspected after its first failure to answer, milliseconds; doubles with each further failure. A suspected daemon is not chosen as an owner. */
const INITIAL_SUSPECT_MS = 1000;

/** Maximum time for which a daemon is suspected after a failure, milliseconds. */
const MAX_SUSPECT_MS = 4000;

/** Number of suspected daemons of another zone at or above which no daemon of that zone is chosen. */
const MIN_SUSPECTS_TO_SKIP_ZONE = 2;

/** Time for which an ended incarnation is remembered at least, milliseconds: a pool that was handed over to it is taken back without a call to it, also when the membership has already learnt of its end. */
const MIN_ENDED_MS = 60_000;

/** Incarnation that is known to have ended. */
interface EndedIncarnation {
  incarnation: string;
  /** When its end became known, monotonic milliseconds. */
  endedMs: number;
}

/** Daemon that failed to answer. */
interface Suspect {
  /** Incarnation that failed; the one that follows it is not suspected. */
  incarnation: string;
  zone: string;
  /** Number of failures since its last answer; failures while it is suspected are not counted. */
  failures: number;
  /** When the suspicion expires, monotonic milliseconds. */
  untilMs: number;
}

/** Cache of the rankings of a set of daemons by key; cleared when the set changes. */
class OwnerRankings {
  private readonly rankings = new Map<string, PeerInfo[]>();
  /** Daemons that the cached rankings contain. */
  private ranked: readonly PeerInfo[] = [];

  /**
   * Gets the ranking of daemons for a key, the preferred owner first.
   *
   * @param key - the key
   * @param owners - the daemons; a new array when they change. Their incarnations
   *     are ranked, not their hosts, so that a daemon that restarts does not take
   *     back keys that another one has taken over meanwhile
   */
  get(key: string, owners: readonly PeerInfo[]): readonly PeerInfo[] {
    if (owners !== this.ranked) {
      this.rankings.clear();
      this.ranked = owners;
    }
    let ranking = this.rankings.get(key);
    if (!ranking) {
      ranking = computeRanking(key, owners);
      this.rankings.set(key, ranking);
    }
    return ranking;
  }
}

function computeRanking(key: string, owners: readonly PeerInfo[]): PeerInfo[] {
  const byIncarnation = new Map(
    owners.map((peer) => [formatHostIncarnation(peer), peer]),
  );
  const ranking: PeerInfo[] = [];
  for (const name of computeRendezvousRanking(key, [...byIncarnation.keys()])) {
    const peer = byIncarnation.get(name);
    if (peer) ranking.push(peer);
  }
  return ranking;
}

/** Part of the membership that the directory uses. */
export type OwnerCandidates = Pick<
  Membership,
  | 'self'
  | 'listOwnerCandidates'
  | 'listRecentlyStarted'
  | 'isListed'
  | 'readSoon'
  | 'recordContact'
>;

/** Finds the owners of keys by rendezvous hashing. */
export class OwnerDirectory {
  private readonly suspects = new Map<string, Suspect>();
  /** Latest incarnations that are known to have ended, by host. */
  private readonly endedIncarnations = new Map<string, EndedIncarnation>();
  private readonly highCapacityRankings = new OwnerRankings();
  private readonly lowCapacityRankings = new OwnerRankings();
  private readonly recentRankings = new OwnerRankings();

  /**
   * @param members - membership of the fleet
   * @param clock - source of time
   */
  constructor(
    private readonly members: OwnerCandidates,
    private readonly clock: Clock,
  ) {}

  /**
   * Finds the owner of a key: the first reachable daemon in the ranking of the
   * high-capacity daemons, then of the low-capacity ones, then of those that have
   * started together with most of the fleet.
   *
   * @returns undefined when no candidate is reachable: after all daemons were
   *     killed, each of them would take itself for the owner otherwise
   */
  find(key: string): PeerInfo | undefined {
    const [highCapacity, lowCapacity] = this.members.listOwnerCandidates();
    const recent = this.members.listRecentlyStarted();
    this.clearReplacedSuspects([highCapacity, lowCapacity, recent]);
    this.dropUnlistedEnds();
    return (
      this.findAmong(highCapacity, this.highCapacityRankings, key) ??
      this.findAmong(lowCapacity, this.lowCapacityRankings, key) ??
      this.findAmong(recent, this.recentRankings, key)
    );
  }

  /** Whether a daemon is this one. */
  isSelf(peer: PeerInfo): boolean {
    return peer.host === this.members.self.host;
  }

  /** Records that a daemon did not answer, so that it is suspected for some time. */
  recordFailure(peer: PeerInfo): void {
    const known = this.suspects.get(peer.host);
    const nowMs = this.clock.now();
    const isSame = known?.incarnation === peer.incarnation;
    if (isSame && known.untilMs > nowMs) return;
    const failures = (isSame ? known.failures : 0) + 1;
    const untilMs =
      nowMs + computeBackoffMs(INITIAL_SUSPECT_MS, MAX_SUSPECT_MS, failures);
    const {incarnation, zone} = peer;
    this.suspects.set(peer.host, {incarnation, zone, failures, untilMs});
  }

  /** Records that another incarnation answered in place of a daemon, which has ended. */
  recordEnd({host, incarnation}: PeerInfo): void {
    const endedMs = this.clock.now();
    this.endedIncarnations.set(host, {incarnation, endedMs});
    void this.members.readSoon();
    if (this.suspects.get(host)?.incarnation === incarnation)
      this.suspects.delete(host);
  }

  /** Records that a daemon answered, so that it is not suspected any more. */
  recordAnswer(peer: PeerInfo): void {
    this.suspects.delete(peer.host);
    this.members.recordContact(peer.host);
  }

  /** Drops the suspicions of incarnations that others have followed, which would count against their zones. */
  private clearReplacedSuspects(lists: Array<readonly PeerInfo[]>): void {
    if (this.suspects.size === 0) return;
    for (const {host, incarnation} of lists.flat()) {
      const suspect = this.suspects.get(host);
      if (suspect && suspect.incarnation !== incarnation)
        this.suspects.delete(host);
    }
  }

  /** Drops the ended incarnations that the membership no longer lists, some time after their end: hosts that come and go would add up. */
  private dropUnlistedEnds(): void {
    const latestMs = this.clock.now() - MIN_ENDED_MS;
    for (const [host, {incarnation, endedMs}] of this.endedIncarnations) {
      if (endedMs > latestMs) continue;
      if (this.members.isListed({host, incarnation})) continue;
      this.endedIncarnations.delete(host);
    }
  }

  private findAmong(
    owners: readonly PeerInfo[],
    rankings: OwnerRankings,
    key: string,
  ): PeerInfo | undefined {
    for (const peer of rankings.get(key, owners)) {
      if (this.isReachable(peer)) return peer;
    }
    return undefined;
  }

  /** Whether neither a daemon nor, if it is in another zone, its whole zone is suspected. */
  isReachable(peer: PeerInfo): boolean {
    if (this.isSelf(peer)) return true;
    const nowMs = this.clock.now();
    if (this.endedIncarnations.get(peer.host)?.incarnation === peer.incarnation)
      return false;
    const suspect = this.suspects.get(peer.host);
    if (suspect && suspect.untilMs > nowMs) return false;
    if (peer.zone === this.members.self.zone) return true;
    let suspectsInZone = 0;
    for (const {zone, untilMs} of this.suspects.values()) {
      if (zone === peer.zone && untilMs > nowMs) suspectsInZone += 1;
    }
    return suspectsInZone < MIN_SUSPECTS_TO_SKIP_ZONE;
  }
}
