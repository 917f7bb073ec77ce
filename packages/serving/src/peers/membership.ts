/** Tracks which daemons are in the fleet by the heartbeats that they write to the store. */
import {
  type Clock,
  type EventLog,
  parseDocument,
  ServingEvent,
} from '@savoryspur/common';
import {
  type MemberRow,
  type PeerInfo,
  validateMemberRow,
} from '@savoryspur/schema';
import type {RequestQuarantine} from '../online/request_quarantine.js';
import type {RowStore, TableRow} from '../store/row_store.js';
import type {MembershipView} from './fleet_share.js';
import {MEMBER_TABLE} from '../store/tables.js';

/** Minimum interval between heartbeats, used in small fleets, milliseconds. */
const MIN_HEARTBEAT_INTERVAL_MS = 1000;

/** Interval between the first heartbeats, milliseconds: shorter, so that daemons that start together soon know each other. */
const STARTUP_HEARTBEAT_INTERVAL_MS = 250;

/** Shortest time between two reads of the heartbeats, milliseconds. */
const MIN_READ_INTERVAL_MS = 80;

/** Number of heartbeats with the shorter interval. */
const STARTUP_HEARTBEATS = 4;

/** Heartbeat interval per daemon in the fleet, milliseconds: limits the load on the store, since every daemon reads the rows of all. */
const HEARTBEAT_INTERVAL_MS_PER_DAEMON = 20;

/** Fraction of the highest core count in the fleet at or above which a daemon has high capacity, unless it is cut off from the backend servers. Owners decide for the whole fleet, so low-capacity daemons own a key only when no high-capacity one can. */
const HIGH_CAPACITY_CORE_FRACTION = 0.5;

/** Number of missed heartbeat intervals after which a daemon is no longer alive. */
const MISSED_HEARTBEATS_TO_EXPIRE = 2.5;

/** Time for which a daemon must be alive without interruption before it may own keys, milliseconds: keys of a daemon that comes and goes would move each time. */
const MIN_OWNER_ALIVE_MS = 5000;

/**
 * Time after the start of the oldest candidate within which others have started
 * together with it, milliseconds: longer than a fleet takes to start. Ownership
 * would move with each of them otherwise, as they become stable one after the other.
 */
const COMMON_START_MS = 2000;

/**
 * Number of missed heartbeat intervals after which a daemon is evicted: its row is
 * deleted, so that other daemons use its share of the fleet-wide limits. Longer
 * than most network partitions, since a daemon on the other side of a partition
 * continues to use its share.
 */
const MISSED_HEARTBEATS_TO_EVICT = 15;

/** Number of missed intervals of its own heartbeats after which a daemon expects to be evicted soon; less than {@link MISSED_HEARTBEATS_TO_EVICT}. */
const MAX_MISSED_OWN_HEARTBEATS = 12;

/** Timeout of one call to the store, milliseconds. */
const STORE_CALL_TIMEOUT_MS = 800;

/** Daemon as its heartbeats describe it. */
interface Member {
  row: MemberRow;
  /** Version of the row; each heartbeat gives it a new one. */
  version: number;
  /** When a read first showed this version of the row, monotonic milliseconds. */
  lastHeartbeatMs: number;
  /** When the daemon last answered this one or a new heartbeat was read, monotonic milliseconds. */
  lastContactMs: number;
  /** Since when the daemon has been alive without interruption, monotonic milliseconds. */
  aliveSinceMs: number;
  isAlive: boolean;
}

/** Daemon that may call backend servers for this one. */
export interface ForwardPeer {
  peer: PeerInfo;
  /** Whether the daemon says that it reaches no server itself. */
  isCutOff: boolean;
}

/** Daemon that may own keys. */
interface OwnerCandidate {
  peer: PeerInfo;
  /** Since when the daemon has been alive without interruption, monotonic milliseconds. */
  aliveSinceMs: number;
  cores: number;
  isCutOff: boolean;
}

/** Owner candidates with high and with low capacity; the arrays stay the same until the candidates change. */
export type OwnerCandidateLists = [
  highCapacity: readonly PeerInfo[],
  lowCapacity: readonly PeerInfo[],
];

/** Owner candidates, and the daemons that are used in their place. */
interface CandidateCache {
  lists: OwnerCandidateLists;
  recentlyStarted: readonly PeerInfo[];
  expiresMs: number;
}

/** Components that the membership uses. */
export interface MembershipOptions {
  self: PeerInfo;
  /** Processor cores that this daemon may use. */
  cores: number;
  store: RowStore;
  clock: Clock;
  log: EventLog;
  /** Quarantine whose crash reports are exchanged with the heartbeats. */
  quarantine: RequestQuarantine;
  /** Whether other daemons should take this one for cut off from the backend servers. */
  isCutOff: () => boolean;
}

/** Membership of the fleet, as this daemon knows it. */
export class Membership {
  private readonly members = new Map<string, Member>();
  private sentHeartbeats = 0;
  private isLeaving = false;
  /** Latest owner candidates; undefined after a change of the membership. */
  private candidateCache: CandidateCache | undefined;
  /** Latest list of the daemons that may call servers for this one; undefined after a change of the membership. */
  private forwardPeerCache: ForwardPeer[] | undefined;
  private isWritingHeartbeats = true;
  /** Whether the heartbeats are read outside of the interval. */
  private isReadingSoon = false;
  /** Whether the last heartbeat said that this daemon is cut off. */
  private isPublishedCutOff = false;
  /** When the last read of the heartbeats that was answered was sent, monotonic milliseconds: the answer shows no heartbeats of the time that it took to arrive or be handled. */
  private lastReadMs: number | undefined;
  /** When the last heartbeat that the store accepted was sent, monotonic milliseconds. */
  private lastWrittenMs: number | undefined;
  /** Since when this daemon has been alive without interruption, monotonic milliseconds. */
  private aliveSinceMs: number;
  /** The same time by the store's clock, as the heartbeats give it; undefined while that clock is not known. */
  private publishedSinceMs: number | undefined;

  /**
   * @param options - this daemon and the components that the membership uses
   */
  constructor(private readonly options: MembershipOptions) {
    this.aliveSinceMs = options.clock.now();
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
   * {@link MIN_OWNER_ALIVE_MS}, or all that are alive while there are none such.
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

  private findCandidates(): CandidateCache {
    const nowMs = this.options.clock.now();
    const cached = this.candidateCache;
    if (cached && nowMs < cached.expiresMs) return cached;
    const candidates = this.listCandidates();
    const maxAliveSinceMs = computeMaxAliveSinceMs(candidates, nowMs);
    const owners: OwnerCandidate[] = [];
    const recent: OwnerCandidate[] = [];
    for (const candidate of candidates) {
      const isStable = candidate.aliveSinceMs <= maxAliveSinceMs;
      (isStable ? owners : recent).push(candidate);
    }
    this.candidateCache = {
      lists: this.splitCandidates(owners),
      recentlyStarted:
        recent.length > owners.length ? recent.map(({peer}) => peer) : [],
      expiresMs: computeNextStableMs(candidates, nowMs),
    };
    return this.candidateCache;
  }

  private splitCandidates(
    owners: readonly OwnerCandidate[],
  ): OwnerCandidateLists {
    if (owners.length === 0) {
      return [this.lastReadMs === undefined ? [] : [this.options.self], []];
    }
    let maxCores = 0;
    for (const {cores} of owners) maxCores = Math.max(maxCores, cores);
    const highCapacity: PeerInfo[] = [];
    const lowCapacity: PeerInfo[] = [];
    for (const {peer, cores, isCutOff} of owners) {
      (cores >= maxCores * HIGH_CAPACITY_CORE_FRACTION && !isCutOff
        ? highCapacity
        : lowCapacity
      ).push(peer);
    }
    return [highCapacity, lowCapacity];
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
    const {self, cores} = this.options;
    const {isPublishedCutOff: isCutOff, aliveSinceMs} = this;
    const candidates: OwnerCandidate[] = this.isLeaving
      ? []
      : [{peer: self, aliveSinceMs, cores, isCutOff}];
    for (const {row, isAlive, aliveSinceMs} of this.members.values()) {
      if (!isAlive || row.isLeaving || row.host === self.host) continue;
      const peer = toPeerInfo(row);
      const {cores, isCutOff} = row;
      candidates.push({peer, aliveSinceMs, cores, isCutOff});
    }
    return candidates;
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
      isPossiblyEvicted: this.isPossiblyEvicted(),
    };
  }

  /** Whether other daemons may have evicted this one and use its share of the limits. */
  private isPossiblyEvicted(): boolean {
    if (this.lastWrittenMs === undefined) return true;
    const ageMs = this.options.clock.now() - this.lastWrittenMs;
    return ageMs > this.getHeartbeatIntervalMs() * MAX_MISSED_OWN_HEARTBEATS;
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
      return !this.isLeaving;
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
    this.isLeaving = true;
    this.clearCaches();
    await this.writeHeartbeat();
  }

  /** Deletes the row of this daemon, as the last step of a stop. */
  async remove(): Promise<void> {
    this.isWritingHeartbeats = false;
    const {self, store} = this.options;
    const name = {table: MEMBER_TABLE, part: '', key: self.host};
    const result = await store.transact(
      {conditions: [], writes: [], removals: [name]},
      STORE_CALL_TIMEOUT_MS,
    );
    if (result.isErr()) this.recordFailure(result.error.message);
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
        this.writeHeartbeat(),
      ]);
      if (isRead) this.updateLiveness();
      const intervalMs =
        this.sentHeartbeats <= STARTUP_HEARTBEATS
          ? STARTUP_HEARTBEAT_INTERVAL_MS
          : this.getHeartbeatIntervalMs();
      await this.options.clock.sleep(intervalMs, signal);
    }
  }

  /** Computes the heartbeat interval for the current size of the fleet, milliseconds. */
  private getHeartbeatIntervalMs(): number {
    return Math.max(
      MIN_HEARTBEAT_INTERVAL_MS,
      this.members.size * HEARTBEAT_INTERVAL_MS_PER_DAEMON,
    );
  }

  /** Computes the time without a heartbeat after which a daemon is no longer alive, milliseconds. */
  private getHeartbeatExpiryMs(): number {
    return this.getHeartbeatIntervalMs() * MISSED_HEARTBEATS_TO_EXPIRE;
  }

  private async writeHeartbeat(): Promise<void> {
    if (!this.isWritingHeartbeats) return;
    const {self, cores, store, quarantine} = this.options;
    this.sentHeartbeats += 1;
    this.publishCutOff();
    this.updateAliveSince();
    const row: MemberRow = {
      ...self,
      cores,
      isLeaving: this.isLeaving,
      isCutOff: this.isPublishedCutOff,
      beat: this.sentHeartbeats,
      aliveSinceMs: this.publishedSinceMs,
      crashes: quarantine.listOwnReports(),
    };
    const value = Buffer.from(JSON.stringify(row));
    const name = {table: MEMBER_TABLE, part: '', key: self.host};
    const sentMs = this.options.clock.now();
    const result = await store.transact(
      {conditions: [], writes: [{...name, value}]},
      STORE_CALL_TIMEOUT_MS,
    );
    if (result.isErr()) this.recordFailure(result.error.message);
    else this.lastWrittenMs = sentMs;
  }

  private publishCutOff(): void {
    const isCutOff = this.options.isCutOff();
    if (isCutOff === this.isPublishedCutOff) return;
    this.isPublishedCutOff = isCutOff;
    this.clearCaches();
  }

  /** Begins a new time of being alive after an eviction, and converts its start to the store's clock. */
  private updateAliveSince(): void {
    const {clock, store} = this.options;
    if (this.lastWrittenMs !== undefined && this.isPossiblyEvicted()) {
      this.aliveSinceMs = clock.now();
      this.publishedSinceMs = undefined;
      this.clearCaches();
    }
    const storeMs = store.now();
    if (storeMs === undefined) return;
    this.publishedSinceMs ??= storeMs - (clock.now() - this.aliveSinceMs);
  }

  private recordFailure(reason: string): void {
    this.options.log.record(ServingEvent.HEARTBEAT_FAILED, {
      step: 'members.write',
      reason,
    });
  }

  private async readHeartbeats(): Promise<boolean> {
    const {clock, store} = this.options;
    const sentMs = clock.now();
    const page = await store.read({table: MEMBER_TABLE, part: ''});
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
    const aliveSinceMs = this.computeAliveSinceMs(known, memberRow, nowMs);
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

  /**
   * Computes since when a daemon has been alive. Its row tells all daemons the
   * same, whether they have run for longer or have just started, so that they
   * agree on the owners; a daemon that this one has missed counts from now on.
   *
   * @param known - the daemon as it was known before
   * @param row - its heartbeat that was read
   * @param nowMs - when the heartbeat was read, monotonic milliseconds
   * @returns monotonic milliseconds
   */
  private computeAliveSinceMs(
    known: Member | undefined,
    row: MemberRow,
    nowMs: number,
  ): number {
    const isSameIncarnation = known?.row.incarnation === row.incarnation;
    if (isSameIncarnation) {
      if (!known.isAlive) return nowMs;
      const isSame = known.row.aliveSinceMs === row.aliveSinceMs;
      if (isSame) return known.aliveSinceMs;
    }
    const storeMs = this.options.store.now();
    const ageMs =
      row.aliveSinceMs === undefined || storeMs === undefined
        ? this.estimateAgeMs(row.beat)
        : storeMs - row.aliveSinceMs;
    return nowMs - Math.max(0, ageMs);
  }

  /** Estimates how long a daemon of a former build has been alive by the number of its heartbeats, milliseconds. */
  private estimateAgeMs(beats: number): number {
    const intervals = Math.max(0, beats - 1);
    const startupIntervals = Math.min(intervals, STARTUP_HEARTBEATS);
    return (
      startupIntervals * STARTUP_HEARTBEAT_INTERVAL_MS +
      (intervals - startupIntervals) * this.getHeartbeatIntervalMs()
    );
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
        void this.deleteRow(host, member.version);
      }
    }
  }

  private async deleteRow(host: string, version: number): Promise<void> {
    const name = {table: MEMBER_TABLE, part: '', key: host};
    const result = await this.options.store.transact(
      {conditions: [{...name, version}], writes: [], removals: [name]},
      STORE_CALL_TIMEOUT_MS,
    );
    if (result.isErr()) this.recordFailure(result.error.message);
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

/** Formats the identity of one incarnation of a daemon, as the rows of jobs name it. */
export function formatHostIncarnation(
  peer: Pick<PeerInfo, 'host' | 'incarnation'>,
): string {
  return `${peer.host}/${peer.incarnation}`;
}

/** Whether two entries are of the same incarnation of a daemon. */
export function isSameDaemon(
  one: Pick<PeerInfo, 'host' | 'incarnation'>,
  other: Pick<PeerInfo, 'host' | 'incarnation'>,
): boolean {
  return one.host === other.host && one.incarnation === other.incarnation;
}

/** Computes the latest start of a daemon that may own keys, monotonic milliseconds. */
function computeMaxAliveSinceMs(
  candidates: readonly OwnerCandidate[],
  nowMs: number,
): number {
  let oldestMs = Number.POSITIVE_INFINITY;
  for (const {aliveSinceMs} of candidates) {
    oldestMs = Math.min(oldestMs, aliveSinceMs);
  }
  return Math.max(nowMs - MIN_OWNER_ALIVE_MS, oldestMs + COMMON_START_MS);
}

/** Computes when the next candidate has been alive for long enough to own keys, monotonic milliseconds; infinity when all have been. */
function computeNextStableMs(
  candidates: readonly OwnerCandidate[],
  nowMs: number,
): number {
  let nextMs = Number.POSITIVE_INFINITY;
  for (const {aliveSinceMs} of candidates) {
    const stableMs = aliveSinceMs + MIN_OWNER_ALIVE_MS;
    if (stableMs > nowMs) nextMs = Math.min(nextMs, stableMs);
  }
  return nextMs;
}

function toPeerInfo(row: MemberRow): PeerInfo {
  const {host, zone, region, address, peerPort, incarnation} = row;
  return {host, zone, region, address, peerPort, incarnation};
}
