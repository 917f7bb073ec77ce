/** Which daemons are in the fleet, by their heartbeats in the store. */
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

/** Period of heartbeats in a small fleet, milliseconds. */
const BEAT_MS = 1000;

/** Shorter first periods, so that daemons that start together soon know each other, milliseconds. */
const FIRST_BEAT_MS = 250;

/** Number of the shorter first periods. */
const FIRST_BEATS = 4;

/** Period for each daemon of the fleet, milliseconds: bounds the reads of all rows by all daemons. */
const BEAT_MS_PER_DAEMON = 20;

/** Part of the cores of the strongest daemons from which a daemon counts as strong: owners decide for the whole fleet, so weak hosts own only what no strong one can. */
const STRONG_PART = 0.5;

/** Missed periods after which a daemon counts as gone. */
const MISSED_BEATS = 2.5;

/** Time for which a daemon must be alive without a break before it owns anything, milliseconds: one that comes and goes would move what it owns each time. */
const STEADY_MS = 5000;

/**
 * Missed periods after which the row of a daemon is deleted, and with it the
 * part of the limits of the fleet that is kept for it: longer than most network
 * partitions, on whose far side the daemon goes on.
 */
const MISSED_BEATS_TO_DELETE = 15;

/** Missed periods of its own heartbeats after which a daemon expects its row to be deleted soon. */
const MISSED_BEATS_TO_EXPECT_DELETION = 12;

/** Bound on one call to the store, milliseconds. */
const CALL_MS = 800;

/** A daemon as its heartbeats show it. */
interface Member {
  row: MemberRow;
  version: number;
  /** When the row was last seen to change, monotonic milliseconds. */
  changedMs: number;
  /** When the daemon last answered this one, monotonic milliseconds. */
  contactMs: number;
  /** Since when the daemon is alive without a break, monotonic milliseconds. */
  aliveSinceMs: number;
  isAlive: boolean;
}

/** A daemon that may own something. */
interface OwnerCandidate {
  peer: PeerInfo;
  /** Since when it is alive without a break, monotonic milliseconds. */
  sinceMs: number;
  cores: number;
}

/** What the membership needs. */
export interface MembersOptions {
  self: PeerInfo;
  /** Processor cores that this daemon may use. */
  cores: number;
  store: RowStore;
  clock: Clock;
  log: EventLog;
  crashes: RequestQuarantine;
}

/** Membership of the fleet. */
export class Membership {
  private readonly members = new Map<string, Member>();
  private beat = 0;
  private isLeaving = false;
  private isWriting = true;
  private lastReadMs: number | undefined;
  /** When the last heartbeat was sent that the store took, monotonic milliseconds. */
  private lastWrittenMs: number | undefined;
  private readonly startedMs: number;

  /**
   * @param options - this daemon, the store and what is published
   */
  constructor(private readonly options: MembersOptions) {
    this.startedMs = options.clock.now();
  }

  /** This daemon. */
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

  /**
   * Lists the daemons that may own something: those that are steadily alive, or
   * all that are alive while none is yet.
   *
   * @returns the strong daemons, then the others
   */
  listOwnerCandidates(): [PeerInfo[], PeerInfo[]] {
    const candidates = this.listCandidates();
    const limitMs = this.options.clock.now() - STEADY_MS;
    const steady = candidates.filter(({sinceMs}) => sinceMs <= limitMs);
    const owners = steady.length > 0 ? steady : candidates;
    if (owners.length === 0) return [[this.options.self], []];
    let most = 0;
    for (const {cores} of owners) most = Math.max(most, cores);
    const strong: PeerInfo[] = [];
    const weak: PeerInfo[] = [];
    for (const {peer, cores} of owners) {
      (cores >= most * STRONG_PART ? strong : weak).push(peer);
    }
    return [strong, weak];
  }

  /**
   * Notes that a daemon called or answered this one; it counts as alive even
   * when its heartbeats do not reach the store.
   */
  recordContact(host: string): void {
    const member = this.members.get(host);
    if (member?.isAlive) member.contactMs = this.options.clock.now();
  }

  private listCandidates(): OwnerCandidate[] {
    const {self, cores} = this.options;
    const candidates: OwnerCandidate[] = this.isLeaving
      ? []
      : [{peer: self, sinceMs: this.startedMs, cores}];
    for (const {row, isAlive, aliveSinceMs} of this.members.values()) {
      if (!isAlive || row.isLeaving || row.host === self.host) continue;
      const peer = toPeerInfo(row);
      candidates.push({peer, sinceMs: aliveSinceMs, cores: row.cores});
    }
    return candidates;
  }

  /** Counts the daemons that are alive. */
  countAlive(): number {
    let count = 1;
    for (const {row, isAlive} of this.members.values()) {
      if (isAlive && row.host !== this.options.self.host) count += 1;
    }
    return count;
  }

  /**
   * Counts the daemons that may use a part of the limits of the fleet: all that
   * have a row, this one included. A daemon that is silent may be cut off and
   * serve its callers all the same.
   *
   * @returns undefined before the rows were read
   */
  private countSharing(): number | undefined {
    if (this.lastReadMs === undefined) return undefined;
    const isListed = this.members.has(this.options.self.host);
    return this.members.size + (isListed ? 0 : 1);
  }

  /** Gets how long ago the heartbeats were read, milliseconds. */
  getSnapshotAgeMs(): number {
    const readMs = this.lastReadMs ?? Number.NEGATIVE_INFINITY;
    return this.options.clock.now() - readMs;
  }

  /** Describes the fleet for the division of its limits. */
  getMembershipView(): MembershipView {
    return {
      daemons: this.countSharing(),
      isPossiblyEvicted: this.isPossiblyEvicted(),
    };
  }

  /** Whether others may take this daemon for gone, and use its part of the limits. */
  private isPossiblyEvicted(): boolean {
    if (this.lastWrittenMs === undefined) return true;
    const silentMs = this.options.clock.now() - this.lastWrittenMs;
    return silentMs > this.getPeriodMs() * MISSED_BEATS_TO_EXPECT_DELETION;
  }

  /**
   * Whether one run of a daemon reaches the store and is not leaving. Only
   * heartbeats count: a daemon that peers reach may be unable to list results.
   *
   * @param runner - host and incarnation as {@link formatHostIncarnation} gives them
   */
  isRunnerAlive(runner: string): boolean {
    if (runner === formatHostIncarnation(this.options.self))
      return !this.isLeaving;
    for (const {row, changedMs} of this.members.values()) {
      if (formatHostIncarnation(row) !== runner) continue;
      const silentMs = (this.lastReadMs ?? changedMs) - changedMs;
      return !row.isLeaving && silentMs <= this.getExpiryMs();
    }
    return false;
  }

  /** Tells the fleet that this daemon stops. */
  async leave(): Promise<void> {
    this.isLeaving = true;
    await this.writeBeat();
  }

  /** Deletes the row of this daemon; the last step of a stop. */
  async remove(): Promise<void> {
    this.isWriting = false;
    const {self, store} = this.options;
    const name = {table: MEMBER_TABLE, part: '', key: self.host};
    const result = await store.transact(
      {conditions: [], writes: [], removals: [name]},
      CALL_MS,
    );
    if (result.isErr()) this.recordFailure(result.error.message);
  }

  /**
   * Writes heartbeats and reads those of the others until it is told to stop.
   *
   * @param signal - ends the task
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const [isRead] = await Promise.all([this.readAll(), this.writeBeat()]);
      if (isRead) this.updateAlive();
      const periodMs =
        this.beat <= FIRST_BEATS ? FIRST_BEAT_MS : this.getPeriodMs();
      await this.options.clock.sleep(periodMs, signal);
    }
  }

  private getPeriodMs(): number {
    return Math.max(BEAT_MS, this.members.size * BEAT_MS_PER_DAEMON);
  }

  private getExpiryMs(): number {
    return this.getPeriodMs() * MISSED_BEATS;
  }

  private async writeBeat(): Promise<void> {
    if (!this.isWriting) return;
    const {self, cores, store, crashes} = this.options;
    this.beat += 1;
    const row: MemberRow = {
      ...self,
      cores,
      isLeaving: this.isLeaving,
      beat: this.beat,
      crashes: crashes.listOwnReports(),
    };
    const value = Buffer.from(JSON.stringify(row));
    const name = {table: MEMBER_TABLE, part: '', key: self.host};
    const sentMs = this.options.clock.now();
    const result = await store.transact(
      {conditions: [], writes: [{...name, value}]},
      CALL_MS,
    );
    if (result.isErr()) this.recordFailure(result.error.message);
    else this.lastWrittenMs = sentMs;
  }

  private recordFailure(reason: string): void {
    this.options.log.record(ServingEvent.HEARTBEAT_FAILED, {
      step: 'members.write',
      reason,
    });
  }

  private async readAll(): Promise<boolean> {
    const page = await this.options.store.read({
      table: MEMBER_TABLE,
      part: '',
    });
    if (page.isErr()) return false;
    const nowMs = this.options.clock.now();
    this.lastReadMs = nowMs;
    const hosts = new Set(page.value.rows.map((row) => row.key));
    for (const host of this.members.keys()) {
      if (!hosts.has(host)) this.dropMember(host);
    }
    for (const row of page.value.rows) this.takeRow(row, nowMs);
    return true;
  }

  private takeRow(row: TableRow, nowMs: number): void {
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
    const parsed = member.value;
    this.options.crashes.mergeReports(parsed.crashes);
    const isSameRun =
      known?.isAlive === true && known.row.incarnation === parsed.incarnation;
    const isChanged = !isSameRun || known.row.isLeaving !== parsed.isLeaving;
    this.members.set(row.key, {
      row: parsed,
      version: row.version,
      changedMs: nowMs,
      contactMs: nowMs,
      aliveSinceMs: isSameRun ? known.aliveSinceMs : nowMs,
      isAlive: true,
    });
    if (!isChanged) return;
    this.options.log.record(ServingEvent.MEMBER_JOINED, {
      peer: row.key,
      incarnation: parsed.incarnation,
      isLeaving: parsed.isLeaving,
    });
  }

  /** Finds daemons that stopped their heartbeats while the store answered. */
  private updateAlive(): void {
    const nowMs = this.lastReadMs ?? this.options.clock.now();
    for (const [host, member] of this.members) {
      const silentMs = nowMs - member.changedMs;
      const heardMs = Math.max(member.changedMs, member.contactMs);
      if (member.isAlive && nowMs - heardMs > this.getExpiryMs()) {
        member.isAlive = false;
        this.recordLeft(host, silentMs);
      }
      if (silentMs > this.getPeriodMs() * MISSED_BEATS_TO_DELETE) {
        void this.deleteRow(host, member.version);
      }
    }
  }

  private async deleteRow(host: string, version: number): Promise<void> {
    const name = {table: MEMBER_TABLE, part: '', key: host};
    const result = await this.options.store.transact(
      {conditions: [{...name, version}], writes: [], removals: [name]},
      CALL_MS,
    );
    if (result.isErr()) this.recordFailure(result.error.message);
  }

  private dropMember(host: string): void {
    this.members.delete(host);
    this.recordLeft(host);
  }

  private recordLeft(host: string, silentMs?: number): void {
    this.options.log.record(ServingEvent.MEMBER_LEFT, {peer: host, silentMs});
  }
}

/** Names one run of a daemon. */
export function formatHostIncarnation(
  peer: Pick<PeerInfo, 'host' | 'incarnation'>,
): string {
  return `${peer.host}/${peer.incarnation}`;
}

function toPeerInfo(row: MemberRow): PeerInfo {
  const {host, zone, region, address, peerPort, incarnation} = row;
  return {host, zone, region, address, peerPort, incarnation};
}
