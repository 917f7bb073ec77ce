/** Writes the heartbeats of this daemon to the store. */
import type {Clock} from '@savoryspur/common';
import type {PeerInfo} from '@savoryspur/schema';
import type {RequestQuarantine} from '../online/request_quarantine.js';
import type {RowStore} from '../store/row_store.js';
import type {MemberRows} from './member_rows.js';
import type {OwnerCandidate} from './owner_candidates.js';

/** Number of missed intervals of its own heartbeats after which a daemon expects to be evicted soon; less than the number after which others evict it. */
const MAX_MISSED_OWN_HEARTBEATS = 12;

/** What the heartbeats tell of this daemon. */
export interface OwnHeartbeatsOptions {
  self: PeerInfo;
  /** Processor cores that this daemon may use. */
  cores: number;
  store: RowStore;
  clock: Clock;
  /** Quarantine whose crash reports are exchanged with the heartbeats. */
  quarantine: RequestQuarantine;
  /** Whether other daemons should take this one for cut off from the backend servers. */
  isCutOff: () => boolean;
}

/** Heartbeats of this daemon. */
export class OwnHeartbeats {
  private sent = 0;
  private isWriting = true;
  private hasBegunToLeave = false;
  /** Whether the last heartbeat said that this daemon is cut off. */
  private isPublishedCutOff = false;
  /** When the last heartbeat that the store accepted was sent, monotonic milliseconds. */
  private lastWrittenMs: number | undefined;
  /** Since when this daemon has been alive without interruption, monotonic milliseconds. */
  private aliveSinceMs: number;
  /** The same time by the store's clock, as the heartbeats give it; undefined while that clock is not known. */
  private publishedSinceMs: number | undefined;

  /**
   * @param options - what the heartbeats tell of this daemon
   * @param rows - rows of the heartbeats
   * @param getIntervalMs - gets the heartbeat interval, milliseconds
   * @param handleChange - called after a change of what the heartbeats tell
   */
  constructor(
    private readonly options: OwnHeartbeatsOptions,
    private readonly rows: MemberRows,
    private readonly getIntervalMs: () => number,
    private readonly handleChange: () => void,
  ) {
    this.aliveSinceMs = options.clock.now();
  }

  /** Counts the heartbeats that were sent. */
  count(): number {
    return this.sent;
  }

  /** Whether this daemon is stopping. */
  isLeaving(): boolean {
    return this.hasBegunToLeave;
  }

  /** Gets this daemon as a candidate for the owner of keys; undefined when it leaves. */
  getCandidate(): OwnerCandidate | undefined {
    if (this.hasBegunToLeave) return undefined;
    const {self, cores} = this.options;
    const {isPublishedCutOff: isCutOff, aliveSinceMs} = this;
    return {peer: self, aliveSinceMs, cores, isCutOff};
  }

  /** Whether other daemons may have evicted this one and use its share of the limits. */
  isPossiblyEvicted(): boolean {
    if (this.lastWrittenMs === undefined) return true;
    const ageMs = this.options.clock.now() - this.lastWrittenMs;
    return ageMs > this.getIntervalMs() * MAX_MISSED_OWN_HEARTBEATS;
  }

  /** Writes a heartbeat; does nothing after {@link remove}. */
  async write(): Promise<void> {
    if (!this.isWriting) return;
    const {self, cores, clock, quarantine} = this.options;
    this.sent += 1;
    this.publishCutOff();
    this.updateAliveSince();
    const sentMs = clock.now();
    const isWritten = await this.rows.write({
      ...self,
      cores,
      isLeaving: this.hasBegunToLeave,
      isCutOff: this.isPublishedCutOff,
      beat: this.sent,
      aliveSinceMs: this.publishedSinceMs,
      crashes: quarantine.listOwnReports(),
    });
    if (isWritten) this.lastWrittenMs = sentMs;
  }

  /** Publishes that this daemon is stopping, so that it owns no keys any more. */
  async leave(): Promise<void> {
    this.hasBegunToLeave = true;
    this.handleChange();
    await this.write();
  }

  /** Deletes the row of this daemon, as the last step of a stop. */
  async remove(): Promise<void> {
    this.isWriting = false;
    await this.rows.remove(this.options.self.host);
  }

  private publishCutOff(): void {
    const isCutOff = this.options.isCutOff();
    if (isCutOff === this.isPublishedCutOff) return;
    this.isPublishedCutOff = isCutOff;
    this.handleChange();
  }

  /** Begins a new time of being alive after an eviction, and converts its start to the store's clock. */
  private updateAliveSince(): void {
    const {clock, store} = this.options;
    if (this.lastWrittenMs !== undefined && this.isPossiblyEvicted()) {
      this.aliveSinceMs = clock.now();
      this.publishedSinceMs = undefined;
      this.handleChange();
    }
    const storeMs = store.now();
    if (storeMs === undefined) return;
    this.publishedSinceMs ??= storeMs - (clock.now() - this.aliveSinceMs);
  }
}
