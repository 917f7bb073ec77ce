/** Tracks which daemons are in the fleet by the heartbeats that they write to the store. */
import {type EventLog, parseDocument, ServingEvent} from '@savoryspur/common';
import {type PeerInfo, validateMemberRow} from '@savoryspur/schema';
import type {TableRow} from '../store/row_store.js';
import type {MembershipView} from './fleet_share.js';
import {
  computeHeartbeatIntervalMs,
  computeNextHeartbeatMs,
} from './heartbeat_interval.js';
import {formatHostIncarnation} from './incarnation.js';
import {computeAliveSinceMs, type Member, toPeerInfo} from './member.js';
import {MemberRows} from './member_rows.js';
import {OwnHeartbeats, type OwnHeartbeatsOptions} from './own_heartbeats.js';
import {
  chooseOwners,
  type OwnerCandidate,
  type OwnerCandidateLists,
  type OwnerChoice,
} from './owner_candidates.js';

/** Shortest time between two reads of the heartbeats, milliseconds. */
const MIN_READ_INTERVAL_MS = 80;

/** Number of missed heartbeat intervals after which a daemon is no longer alive. */
const MISSED_HEARTBEATS_TO_EXPIRE = 2.5;

/**
 * Number of missed heartbeat intervals after which a daemon is evicted: its row is
 * deleted, so that other daemons use its share of the fleet-wide limits. Longer
 * than most network partitions, since a daemon on the other side of a partition
 * continues to use its share.
 */
const MISSED_HEARTBEATS_TO_EVICT = 15;

/** Daemon that may call backend servers for this one. */
export interface ForwardPeer {
  peer: PeerInfo;
  /** Whether the daemon says that it reaches no server itself. */
  isCutOff: boolean;
}

/** Components that the membership uses. */
export interface MembershipOptions extends OwnHeartbeatsOptions {
  log: EventLog;
}

/** Membership of the fleet, as this daemon knows it. */
export class Membership {
  private readonly members = new Map<string, Member>();
  /** Latest owner candidates; undefined after a change of the membership. */
  private candidateCache: OwnerChoice | undefined;
  /** Latest list of the daemons that may call servers for this one; undefined after a change of the membership. */
  private forwardPeerCache: ForwardPeer[] | undefined;
  /** Whether the heartbeats are read outside of the interval. */
  private isReadingSoon = false;
  /** When the last read of the heartbeats that was answered was sent, monotonic milliseconds: the answer shows no heartbeats of the time that it took to arrive or be handled. */
  private lastReadMs: number | undefined;
  private readonly rows: MemberRows;
  private readonly ownHeartbeats: OwnHeartbeats;

  /**
   * @param options - this daemon and the components that the membership uses
   */
  constructor(private readonly options: MembershipOptions) {
    this.rows = new MemberRows(options.store, options.log);
    this.ownHeartbeats = new OwnHeartbeats(
      options,
      this.rows,
      () => this.getHeartbeatIntervalMs(),
      () => this.clearCaches(),
    );
  }

  /** Address and identity of this daemon. */
  get self(): PeerInfo {
    return this.options.self;
  }

  /** Lists the daemons that are alive, this one included. */
  listAlive(): PeerInfo[] {
    const peers: PeerInfo[] = [this.options.self];
    for (const {row, isAlive} of this.members.values()) {
      if (isAlive && row.host !== this.options.self.host) {
        peers.push(toPeerInfo(row));
      }
    }
    return peers;
  }

  /** Lists the other daemons that are alive. */
  listPeers(): PeerInfo[] {
    return this.listAlive().slice(1);
  }

  /** Lists the other daemons through which calls to the store are relayed: those that do not leave, or all while there are none such. */
  listRelayPeers(): PeerInfo[] {
    const peers = this.listPeers();
    const staying = peers.filter(
      ({host}) => !this.members.get(host)?.row.isLeaving,
    );
    return staying.length > 0 ? staying : peers;
  }

  /** Lists the daemons of this region that may call backend servers for this one. Bodies of requests do not leave the region. */
  listForwardPeers(): readonly ForwardPeer[] {
    this.forwardPeerCache ??= this.findForwardPeers();
    return this.forwardPeerCache;
  }

  private findForwardPeers(): ForwardPeer[] {
    const {host, region} = this.options.self;
    const peers: ForwardPeer[] = [];
    for (const {row, isAlive} of this.members.values()) {
      if (!isAlive || row.isLeaving || row.host === host) continue;
      if (row.region !== region) continue;
      peers.push({peer: toPeerInfo(row), isCutOff: row.isCutOff});
    }
    return peers;
  }

  /**
   * Lists the daemons that may own keys: those that have been alive for
   * some seconds, or all that are alive while there are none such.
   *
   * @returns the high-capacity daemons and the low-capacity daemons
   */
  listOwnerCandidates(): OwnerCandidateLists {
    return this.findCandidates().lists;
  }

  /**
   * Lists the daemons that own keys while no owner candidate is reachable: those
   * that have started recently, if they are most of the fleet. After all daemons
   * were killed, the rows of the former incarnations name candidates that have
   * ended.
   */
  listRecentlyStarted(): readonly PeerInfo[] {
    return this.findCandidates().recentlyStarted;
  }

  private findCandidates(): OwnerChoice {
    const nowMs = this.options.clock.now();
    const cached = this.candidateCache;
    if (cached && nowMs < cached.expiresMs) return cached;
    const fallback = this.lastReadMs === undefined ? [] : [this.self];
    this.candidateCache = chooseOwners(this.listCandidates(), fallback, nowMs);
    return this.candidateCache;
  }

  /**
   * Records that a daemon called or answered this one, so that it stays alive in
   * this daemon's view even if its heartbeats do not reach the store.
   */
  recordContact(host: string): void {
    const member = this.members.get(host);
    if (member?.isAlive) member.lastContactMs = this.options.clock.now();
  }

  /**
   * Reads the heartbeats soon, since a daemon has answered in place of one whose
   * row is still known: all daemons may have been killed and started again.
   */
  async readSoon(): Promise<void> {
    if (this.isReadingSoon) return;
    this.isReadingSoon = true;
    const {clock} = this.options;
    const readMs = this.lastReadMs ?? Number.NEGATIVE_INFINITY;
    const waitMs = Math.max(0, readMs + MIN_READ_INTERVAL_MS - clock.now());
    await clock.sleep(waitMs);
    if (await this.readHeartbeats()) this.updateLiveness();
    this.isReadingSoon = false;
  }

  private listCandidates(): OwnerCandidate[] {
    // Before the first read this daemon would take itself for the only one.
    if (this.lastReadMs === undefined) return [];
    const own = this.ownHeartbeats.getCandidate();
    const candidates: OwnerCandidate[] = own ? [own] : [];
    for (const {row, isAlive, aliveSinceMs} of this.members.values()) {
      if (!isAlive || row.isLeaving || row.host === this.self.host) continue;
      const peer = toPeerInfo(row);
      const {cores, isCutOff} = row;
      candidates.push({peer, aliveSinceMs, cores, isCutOff});
    }
    return candidates;
  }

  /** Whether a row names an incarnation of a daemon, be it alive or not. */
  isListed({
    host,
    incarnation,
  }: Pick<PeerInfo, 'host' | 'incarnation'>): boolean {
    return this.members.get(host)?.row.incarnation === incarnation;
  }

  /** Counts the daemons that are alive, this one included. */
  countAlive(): number {
    let count = 1;
    for (const {row, isAlive} of this.members.values()) {
      if (isAlive && row.host !== this.options.self.host) count += 1;
    }
    return count;
  }

  /**
   * Counts the daemons that may use a share of the fleet-wide limits: all that have
   * a row, this one included. A daemon without heartbeats may be on the other side
   * of a network partition and still serve its callers.
   *
   * @returns undefined before the first read of the rows
   */
  private countSharingDaemons(): number | undefined {
    if (this.lastReadMs === undefined) return undefined;
    const isListed = this.members.has(this.options.self.host);
    return this.members.size + (isListed ? 0 : 1);
  }

  /** Gets the time since the last answered read of the heartbeats was sent, milliseconds; infinity before the first one. */
  getSnapshotAgeMs(): number {
    const readMs = this.lastReadMs ?? Number.NEGATIVE_INFINITY;
    return this.options.clock.now() - readMs;
  }

  /** Gets the membership view by which the fleet-wide limits are divided. */
  getMembershipView(): MembershipView {
    return {
      daemons: this.countSharingDaemons(),
      isPossiblyEvicted: this.ownHeartbeats.isPossiblyEvicted(),
    };
  }

  /**
   * Whether an incarnation of a daemon reaches the store and is not leaving. Only
   * heartbeats count: a daemon that peers reach may still be unable to append
   * results to the store.
   *
   * @param hostIncarnation - host and incarnation, as formatted by
   *     {@link formatHostIncarnation}
   */
  isIncarnationAlive(hostIncarnation: string): boolean {
    if (hostIncarnation === formatHostIncarnation(this.options.self))
      return !this.ownHeartbeats.isLeaving();
    const host = hostIncarnation.slice(0, hostIncarnation.lastIndexOf('/'));
    const member = this.members.get(host);
    if (!member || formatHostIncarnation(member.row) !== hostIncarnation) {
      return false;
    }
    const {row, lastHeartbeatMs} = member;
    const heartbeatAgeMs =
      (this.lastReadMs ?? lastHeartbeatMs) - lastHeartbeatMs;
    return !row.isLeaving && heartbeatAgeMs <= this.getHeartbeatExpiryMs();
  }

  /** Publishes that this daemon is stopping, so that it owns no keys any more. */
  async leave(): Promise<void> {
    await this.ownHeartbeats.leave();
  }

  /** Deletes the row of this daemon, as the last step of a stop. */
  async remove(): Promise<void> {
    await this.ownHeartbeats.remove();
  }

  /**
   * Writes heartbeats and reads those of the other daemons until it is stopped.
   *
   * @param signal - ends the task
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const [isRead] = await Promise.all([
        this.readHeartbeats(),
        this.ownHeartbeats.write(),
      ]);
      if (isRead) this.updateLiveness();
      const intervalMs = computeNextHeartbeatMs(
        this.ownHeartbeats.count(),
        this.members.size,
      );
      await this.options.clock.sleep(intervalMs, signal);
    }
  }

  /** Computes the heartbeat interval for the current size of the fleet, milliseconds. */
  private getHeartbeatIntervalMs(): number {
    return computeHeartbeatIntervalMs(this.members.size);
  }

  /** Computes the time without a heartbeat after which a daemon is no longer alive, milliseconds. */
  private getHeartbeatExpiryMs(): number {
    return this.getHeartbeatIntervalMs() * MISSED_HEARTBEATS_TO_EXPIRE;
  }

  private async readHeartbeats(): Promise<boolean> {
    const {clock} = this.options;
    const sentMs = clock.now();
    const page = await this.rows.read();
    if (page.isErr()) return false;
    const nowMs = clock.now();
    if (this.lastReadMs === undefined) this.clearCaches();
    this.lastReadMs = sentMs;
    const hosts = new Set(page.value.rows.map((row) => row.key));
    for (const host of this.members.keys()) {
      if (!hosts.has(host)) this.dropMember(host);
    }
    for (const row of page.value.rows) this.applyRow(row, nowMs);
    return true;
  }

  /** Applies a row that was read; ignores it when its version is known. */
  private applyRow(row: TableRow, nowMs: number): void {
    const known = this.members.get(row.key);
    if (known?.version === row.version) return;
    const origin = {step: 'members.read', peer: row.key};
    const member = parseDocument(row.value, validateMemberRow, origin);
    if (member.isErr()) {
      this.options.log.record(ServingEvent.DOCUMENT_REJECTED, {
        ...origin,
        reason: member.error.message,
      });
      return;
    }
    const memberRow = member.value;
    this.options.quarantine.mergeReports(memberRow.crashes);
    const isSameIncarnation =
      known?.isAlive === true &&
      known.row.incarnation === memberRow.incarnation;
    const isChanged =
      !isSameIncarnation ||
      known.row.isLeaving !== memberRow.isLeaving ||
      known.row.isCutOff !== memberRow.isCutOff;
    const aliveSinceMs = computeAliveSinceMs(known, memberRow, {
      nowMs,
      storeMs: this.options.store.now(),
      daemons: this.members.size,
    });
    this.members.set(row.key, {
      row: memberRow,
      version: row.version,
      lastHeartbeatMs: nowMs,
      lastContactMs: nowMs,
      aliveSinceMs,
      isAlive: true,
    });
    if (isChanged || aliveSinceMs !== known.aliveSinceMs) this.clearCaches();
    if (!isChanged) return;
    this.options.log.record(ServingEvent.MEMBER_JOINED, {
      peer: row.key,
      incarnation: memberRow.incarnation,
      isLeaving: memberRow.isLeaving,
      isCutOff: memberRow.isCutOff,
    });
  }

  /** Marks daemons without recent heartbeats or contact as not alive, and evicts those without heartbeats for long. */
  private updateLiveness(): void {
    const nowMs = this.lastReadMs ?? this.options.clock.now();
    for (const [host, member] of this.members) {
      const heartbeatAgeMs = nowMs - member.lastHeartbeatMs;
      const lastAliveMs = Math.max(
        member.lastHeartbeatMs,
        member.lastContactMs,
      );
      if (member.isAlive && nowMs - lastAliveMs > this.getHeartbeatExpiryMs()) {
        member.isAlive = false;
        this.clearCaches();
        this.recordLeft(host, heartbeatAgeMs);
      }
      if (
        heartbeatAgeMs >
        this.getHeartbeatIntervalMs() * MISSED_HEARTBEATS_TO_EVICT
      ) {
        void this.rows.remove(host, member.version);
      }
    }
  }

  /** Drops what was computed from the membership, after a change of it. */
  private clearCaches(): void {
    this.candidateCache = undefined;
    this.forwardPeerCache = undefined;
  }

  /** Removes a daemon whose row was deleted. */
  private dropMember(host: string): void {
    this.members.delete(host);
    this.clearCaches();
    this.recordLeft(host);
  }

  private recordLeft(host: string, silentMs?: number): void {
    this.options.log.record(ServingEvent.MEMBER_LEFT, {peer: host, silentMs});
  }
}
