/** Chooses the daemons through which calls to unreachable backend servers are forwarded. */
import {type Clock, computeBackoffMs} from '@savoryspur/common';
import type {PeerInfo} from '@savoryspur/schema';
import type {BackendServer} from '../service_registry.js';
import type {ForwardPeer, Membership} from '../peers/membership.js';

/** Time for which a daemon that failed to make a call is not chosen again for the same server or zone, milliseconds; doubles with each further failure. */
const INITIAL_BACKOFF_MS = 500;

/** Maximum backoff of a daemon, milliseconds. */
const MAX_BACKOFF_MS = 4000;

/** Number of daemons of a zone in backoff at or above which daemons of other zones are preferred. */
const MIN_BACKOFFS_TO_LEAVE_ZONE = 2;

/** Age up to which a success shows that a daemon reaches the servers of a zone, milliseconds. */
const MAX_SUCCESS_AGE_MS = 2000;

/** Calls in progress by which a daemon without a recent success counts as busier: it may be cut off too. */
const UNPROVEN_PENALTY_CALLS = 4;

/** Calls in progress by which a daemon of another zone counts as busier. */
const OTHER_ZONE_PENALTY_CALLS = 2;

/** Number of servers of a zone that a daemon must have failed to call, with no success there since, for it to reach none of the zone. */
const FAILING_SERVERS_PER_ZONE = 2;

/** Ranks of the properties that matter more than the calls in progress; a lower sum is better. */
enum Rank {
  CUT_OFF = 2,
  FAILING_ZONE = 1,
}

/** Server that is called. */
type CalledServer = Pick<BackendServer, 'id' | 'zone'>;

/** Failures of a daemon to call one server or the servers of one zone. */
interface Failures {
  peerZone: string;
  count: number;
  /** End of the backoff, monotonic milliseconds. */
  untilMs: number;
}

/** Components that the choice of daemons uses. */
export interface ForwardPeersOptions {
  members: Pick<Membership, 'self' | 'listForwardPeers'>;
  /** Whether a daemon has answered the latest calls of this one. */
  isPeerReachable: (peer: PeerInfo) => boolean;
  clock: Clock;
  /** Returns a random number in [0, 1). */
  random: () => number;
}

/** Daemons through which calls can be forwarded, as their earlier answers show. */
export class ForwardPeers {
  /** Failures by daemon, and by server or zone. */
  private readonly failures = new Map<string, Failures>();
  /** Servers that a daemon has failed to call since its last success in their zone, by daemon and zone. */
  private readonly failingServers = new Map<string, Set<string>>();
  /** Latest successes by daemon and zone of the called server, monotonic milliseconds. */
  private readonly successes = new Map<string, number>();
  /** Calls in progress by daemon. */
  private readonly activeCalls = new Map<string, number>();

  /**
   * @param options - membership of the fleet, and what is known of its daemons
   */
  constructor(private readonly options: ForwardPeersOptions) {}

  /** Checks whether there is a daemon that may reach the servers of a zone. */
  isAnyAvailable(serverZone: string): boolean {
    const nowMs = this.options.clock.now();
    return this.options.members
      .listForwardPeers()
      .some((candidate) => this.isCandidate(candidate, serverZone, nowMs));
  }

  /** Checks whether a daemon has lately reached the servers of a zone. */
  isAnyProven(serverZone: string): boolean {
    const nowMs = this.options.clock.now();
    return this.options.members
      .listForwardPeers()
      .some(
        (candidate) =>
          this.isProven(candidate.peer, serverZone, nowMs) &&
          this.isCandidate(candidate, serverZone, nowMs),
      );
  }

  /**
   * Chooses a daemon that is not cut off: the one with the fewest calls of this
   * daemon in progress, with a preference for this zone and for those that have
   * succeeded lately.
   *
   * @param server - the server to call
   * @param triedHosts - hosts that are not chosen
   * @returns undefined when no daemon is left
   */
  choose(
    server: CalledServer,
    triedHosts: ReadonlySet<string>,
  ): PeerInfo | undefined {
    const {clock, random} = this.options;
    const nowMs = clock.now();
    const failingZones = this.listFailingZones(server.zone, nowMs);
    let best: PeerInfo | undefined;
    let bestScore: readonly number[] = [];
    for (const candidate of this.options.members.listForwardPeers()) {
      const {peer} = candidate;
      if (triedHosts.has(peer.host)) continue;
      if (!this.isCandidate(candidate, server.zone, nowMs)) continue;
      if (this.isBackingOff(formatServerKey(peer, server.id), nowMs)) continue;
      const score = [
        this.computeRank(candidate, failingZones),
        this.computeLoad(peer, server.zone, nowMs),
        random(),
      ];
      if (best && !isLower(score, bestScore)) continue;
      best = peer;
      bestScore = score;
    }
    return best;
  }

  /** Records that a call through a daemon begins. */
  beginCall({host}: PeerInfo): void {
    this.activeCalls.set(host, (this.activeCalls.get(host) ?? 0) + 1);
  }

  /** Records that a call through a daemon has ended. */
  finishCall({host}: PeerInfo): void {
    const active = (this.activeCalls.get(host) ?? 0) - 1;
    if (active > 0) this.activeCalls.set(host, active);
    else this.activeCalls.delete(host);
  }

  /** Records that a daemon called a server for this one. */
  recordSuccess(peer: PeerInfo, {id, zone}: CalledServer): void {
    const zoneKey = formatZoneKey(peer, zone);
    this.failures.delete(zoneKey);
    this.failures.delete(formatServerKey(peer, id));
    this.failingServers.delete(zoneKey);
    this.successes.set(zoneKey, this.options.clock.now());
  }

  /**
   * Records that a daemon refused a call to a server, or did not reach it: it may
   * be only that server that fails.
   */
  recordFailure(peer: PeerInfo, {id, zone}: CalledServer): void {
    const zoneKey = formatZoneKey(peer, zone);
    const failing = this.failingServers.get(zoneKey) ?? new Set();
    this.failingServers.set(zoneKey, failing.add(id));
    this.suspend(peer, formatServerKey(peer, id));
    if (failing.size >= FAILING_SERVERS_PER_ZONE) this.recordLoss(peer, zone);
  }

  /** Records that a call to a server through a daemon got no response, and was given up: the server may be silent, or the daemon. */
  recordSilence(peer: PeerInfo, {id}: CalledServer): void {
    this.suspend(peer, formatServerKey(peer, id));
  }

  /** Records that a daemon was lost during a call, or reaches no server of a zone. */
  recordLoss(peer: PeerInfo, serverZone: string): void {
    const zoneKey = formatZoneKey(peer, serverZone);
    this.successes.delete(zoneKey);
    this.suspend(peer, zoneKey);
  }

  private suspend(peer: PeerInfo, key: string): void {
    const nowMs = this.options.clock.now();
    this.dropExpired(nowMs);
    const known = this.failures.get(key);
    if (known && known.untilMs > nowMs) return;
    const count = (known?.count ?? 0) + 1;
    const backoffMs = computeBackoffMs(
      INITIAL_BACKOFF_MS,
      MAX_BACKOFF_MS,
      count,
    );
    this.failures.set(key, {
      peerZone: peer.zone,
      count,
      untilMs: nowMs + backoffMs,
    });
  }

  private computeRank(
    {peer, isCutOff}: ForwardPeer,
    failingZones: ReadonlySet<string>,
  ): number {
    return (
      (isCutOff ? Rank.CUT_OFF : 0) +
      (failingZones.has(peer.zone) ? Rank.FAILING_ZONE : 0)
    );
  }

  private computeLoad(
    peer: PeerInfo,
    serverZone: string,
    nowMs: number,
  ): number {
    const isProven = this.isProven(peer, serverZone, nowMs);
    const isSameZone = peer.zone === this.options.members.self.zone;
    return (
      (this.activeCalls.get(peer.host) ?? 0) +
      (isProven ? 0 : UNPROVEN_PENALTY_CALLS) +
      (isSameZone ? 0 : OTHER_ZONE_PENALTY_CALLS)
    );
  }

  private isProven(peer: PeerInfo, serverZone: string, nowMs: number): boolean {
    const successMs = this.successes.get(formatZoneKey(peer, serverZone));
    return successMs !== undefined && nowMs - successMs <= MAX_SUCCESS_AGE_MS;
  }

  private isCandidate(
    {peer}: ForwardPeer,
    serverZone: string,
    nowMs: number,
  ): boolean {
    return (
      this.options.isPeerReachable(peer) &&
      !this.isBackingOff(formatZoneKey(peer, serverZone), nowMs)
    );
  }

  private listFailingZones(serverZone: string, nowMs: number): Set<string> {
    const counts = new Map<string, number>();
    for (const [key, {peerZone, untilMs}] of this.failures) {
      if (untilMs <= nowMs || !key.endsWith(` zone ${serverZone}`)) continue;
      counts.set(peerZone, (counts.get(peerZone) ?? 0) + 1);
    }
    const failing = new Set<string>();
    for (const [zone, count] of counts) {
      if (count >= MIN_BACKOFFS_TO_LEAVE_ZONE) failing.add(zone);
    }
    return failing;
  }

  private isBackingOff(key: string, nowMs: number): boolean {
    const known = this.failures.get(key);
    return known !== undefined && known.untilMs > nowMs;
  }

  /** Drops what is long over, so that removed daemons are forgotten and old failures lengthen no backoff. */
  private dropExpired(nowMs: number): void {
    for (const [key, successMs] of this.successes) {
      if (successMs + MAX_SUCCESS_AGE_MS < nowMs) this.successes.delete(key);
    }
    for (const [key, {untilMs}] of this.failures) {
      if (untilMs + MAX_BACKOFF_MS >= nowMs) continue;
      this.failures.delete(key);
      this.failingServers.delete(key);
    }
  }
}

function formatZoneKey(
  {host, incarnation}: PeerInfo,
  serverZone: string,
): string {
  return `${host}/${incarnation} zone ${serverZone}`;
}

function formatServerKey(
  {host, incarnation}: PeerInfo,
  serverId: string,
): string {
  return `${host}/${incarnation} server ${serverId}`;
}

/** Whether a list of numbers comes before another one in lexicographic order. */
function isLower(a: readonly number[], b: readonly number[]): boolean {
  for (const [index, value] of a.entries()) {
    const other = b[index] ?? 0;
    if (value !== other) return value < other;
  }
  return false;
}
