/** Which daemon owns a key, among those that are alive and reachable from here. */
import {type Clock, computeBackoff, computeRanking} from '@savoryspur/common';
import type {PeerInfo} from '@savoryspur/schema';
import {formatHostIncarnation, type Membership} from './membership.js';

/** First time for which a daemon that did not answer is passed over, milliseconds; doubles. */
const FIRST_SUSPECT_MS = 1000;

/** Longest time for which a daemon is passed over, milliseconds. */
const MAX_SUSPECT_MS = 4000;

/** Daemons of a zone out of reach from which the whole zone is passed over. */
const SUSPECTS_FOR_ZONE = 2;

/** A daemon that did not answer. */
interface Suspect {
  zone: string;
  failures: number;
  untilMs: number;
}

/** Rankings of the same daemons by key, until the daemons change. */
class OwnerRankings {
  private readonly rankings = new Map<string, string[]>();
  private rankedView = '';

  /**
   * Gets the ranking of some daemons for a key.
   *
   * @param key - the key
   * @param runs - runs, not hosts: a daemon that starts again does not take back
   *     what another one has taken over meanwhile
   */
  get(key: string, runs: readonly string[]): string[] {
    const view = runs.join(' ');
    if (view !== this.rankedView) {
      this.rankings.clear();
      this.rankedView = view;
    }
    const ranking = this.rankings.get(key) ?? computeRanking(key, runs);
    this.rankings.set(key, ranking);
    return ranking;
  }
}

/** What the directory asks of the membership. */
export type OwnerCandidates = Pick<
  Membership,
  'self' | 'listOwnerCandidates' | 'recordContact'
>;

/** Finds the owners of keys by rendezvous hashing. */
export class OwnerDirectory {
  private readonly suspects = new Map<string, Suspect>();
  private readonly strongRankings = new OwnerRankings();
  private readonly weakRankings = new OwnerRankings();

  /**
   * @param members - membership of the fleet
   * @param clock - source of time
   */
  constructor(
    private readonly members: OwnerCandidates,
    private readonly clock: Clock,
  ) {}

  /** Finds the owner of a key; this daemon when it reaches no other. */
  find(key: string): PeerInfo {
    const [strong, weak] = this.members.listOwnerCandidates();
    return (
      this.findAmong(strong, this.strongRankings, key) ??
      this.findAmong(weak, this.weakRankings, key) ??
      this.members.self
    );
  }

  /** Whether a daemon is this one. */
  isSelf(peer: PeerInfo): boolean {
    return peer.host === this.members.self.host;
  }

  /** Notes that a daemon did not answer. */
  recordFailure(peer: PeerInfo): void {
    const known = this.suspects.get(peer.host);
    const nowMs = this.clock.now();
    if (known && known.untilMs > nowMs) return;
    const failures = (known?.failures ?? 0) + 1;
    const untilMs =
      nowMs + computeBackoff(FIRST_SUSPECT_MS, MAX_SUSPECT_MS, failures);
    this.suspects.set(peer.host, {zone: peer.zone, failures, untilMs});
  }

  /** Notes that a daemon answered. */
  recordAnswer(peer: PeerInfo): void {
    this.suspects.delete(peer.host);
    this.members.recordContact(peer.host);
  }

  private findAmong(
    owners: readonly PeerInfo[],
    rankings: OwnerRankings,
    key: string,
  ): PeerInfo | undefined {
    const byRun = new Map(
      owners.map((peer) => [formatHostIncarnation(peer), peer]),
    );
    for (const run of rankings.get(key, [...byRun.keys()])) {
      const peer = byRun.get(run);
      if (peer && this.isReachable(peer)) return peer;
    }
    return undefined;
  }

  private isReachable(peer: PeerInfo): boolean {
    if (this.isSelf(peer)) return true;
    const nowMs = this.clock.now();
    const suspect = this.suspects.get(peer.host);
    if (suspect && suspect.untilMs > nowMs) return false;
    if (peer.zone === this.members.self.zone) return true;
    let inZone = 0;
    for (const {zone, untilMs} of this.suspects.values()) {
      if (zone === peer.zone && untilMs > nowMs) inZone += 1;
    }
    return inZone < SUSPECTS_FOR_ZONE;
  }
}
