/** Keeps this daemon registered with the owner of a key, and detects when the owner is unavailable or changes. */
import {
  type Clock,
  ErrorCode,
  type EventLog,
  type SavoryspurError,
  ServingEvent,
} from '@savoryspur/common';
import type {PeerInfo} from '@savoryspur/schema';
import type {ResultAsync} from 'neverthrow';
import {createStopController} from '../create_stop_controller.js';
import {isSameDaemon} from './incarnation.js';
import type {OwnerDirectory} from './owner_directory.js';

/** Minimum synchronization period, used in small fleets, milliseconds. */
const MIN_SYNC_PERIOD_MS = 400;

/** Synchronization period per daemon in the fleet, milliseconds: bounds the calls that one owner gets from all daemons. */
const SYNC_PERIOD_MS_PER_DAEMON = 8;

/** Maximum synchronization period, milliseconds. */
export const MAX_SYNC_PERIOD_MS = 2000;

/** Time beyond the long poll after which an owner that has not answered counts as unavailable, milliseconds. */
const SYNC_REPLY_GRACE_MS = 300;

/** Delay before the next owner is called after a failure, milliseconds. */
const RETRY_DELAY_MS = 20;

/** Key of a session and the components that it uses. */
export interface OwnerSessionOptions {
  /** Key whose owner the session follows. */
  key: string;
  directory: OwnerDirectory;
  clock: Clock;
  log: EventLog;
  /** Counts the daemons of the fleet. */
  countDaemons: () => number;
  /**
   * Synchronizes with an owner that is another daemon, by a long poll of the
   * given length in milliseconds.
   */
  syncPeer: (
    owner: PeerInfo,
    waitMs: number,
    timeoutMs: number,
  ) => ResultAsync<void, SavoryspurError>;
  /** Synchronizes with this daemon as the owner, by a long poll of the given length in milliseconds. */
  syncSelf: (waitMs: number) => Promise<void>;
}

/**
 * Computes the synchronization period: the length of the long poll by which a
 * daemon stays registered with an owner.
 *
 * @param daemons - number of daemons in the fleet
 * @returns milliseconds
 */
export function computeSyncPeriodMs(daemons: number): number {
  return Math.min(
    MAX_SYNC_PERIOD_MS,
    Math.max(MIN_SYNC_PERIOD_MS, daemons * SYNC_PERIOD_MS_PER_DAEMON),
  );
}

/** Session of this daemon with the present owner of one key. */
export class OwnerSession {
  private owner: PeerInfo | undefined;
  /** The latest owner that was known. */
  private lastOwner: PeerInfo | undefined;
  /** The owner before the latest one. */
  private formerOwner: PeerInfo | undefined;
  private ownerChanges = 0;
  /** Aborted and replaced whenever the owner becomes unavailable or changes. */
  private ownerChange = createStopController();
  private lastSyncMs = Number.NEGATIVE_INFINITY;
  /** Whether a check of the owner is in progress. */
  private isChecking = false;

  /**
   * @param options - the key and the components that the session uses
   */
  constructor(private readonly options: OwnerSessionOptions) {}

  /** Gets the present owner; undefined while no owner answers. */
  getOwner(): PeerInfo | undefined {
    return this.owner;
  }

  /** Gets the owner before the present one; undefined when there was none. */
  getFormerOwner(): PeerInfo | undefined {
    return this.formerOwner;
  }

  /** Counts the changes from one owner to another; an owner that answers again is none. */
  countOwnerChanges(): number {
    return this.ownerChanges;
  }

  /** Gets the signal that is aborted once the present owner is unavailable or another daemon becomes the owner. */
  getOwnerChangeSignal(): AbortSignal {
    return this.ownerChange.signal;
  }

  /** Gets when the last synchronization that an owner answered was sent, monotonic milliseconds. */
  getLastSyncMs(): number {
    return this.lastSyncMs;
  }

  /**
   * Records that an owner did not answer a call.
   *
   * @param owner - the daemon that was called
   */
  recordFailure(owner: PeerInfo): void {
    this.options.directory.recordFailure(owner);
    this.clearOwner(owner);
  }

  /**
   * Records that a call to an owner failed. A timeout of a single call doesn't
   * mean that the owner is unavailable, which a check shows.
   *
   * @param owner - the daemon that was called
   * @param error - error of the call
   */
  recordCallError(owner: PeerInfo, error: SavoryspurError): void {
    if (error.code === ErrorCode.TIMEOUT) this.checkOwner();
    else if (error.code === ErrorCode.CONFLICT) this.recordEnd(owner);
    else this.recordFailure(owner);
  }

  /**
   * Checks at once whether the owner still answers, after a call to it timed
   * out: the long poll in progress would show it only at its end.
   */
  checkOwner(): void {
    const {owner} = this;
    if (!owner || this.isChecking || this.options.directory.isSelf(owner)) {
      return;
    }
    this.isChecking = true;
    void this.options.syncPeer(owner, 0, SYNC_REPLY_GRACE_MS).then((result) => {
      this.isChecking = false;
      if (result.isErr()) this.dropOwner(owner, result.error);
    });
  }

  /**
   * Synchronizes with the owner of the key until it is stopped.
   *
   * @param signal - ends the task
   */
  async run(signal: AbortSignal): Promise<void> {
    const {directory, key, clock} = this.options;
    while (!signal.aborted) {
      const owner = directory.find(key);
      if (!owner) {
        if (this.owner) this.clearOwner(this.owner);
        await clock.sleep(RETRY_DELAY_MS, signal);
        continue;
      }
      const sentMs = clock.now();
      const periodMs = computeSyncPeriodMs(this.options.countDaemons());
      if (directory.isSelf(owner)) {
        this.setOwner(owner);
        await this.options.syncSelf(periodMs);
        this.lastSyncMs = sentMs;
        continue;
      }
      // While the first synchronization with an owner is under way, calls still
      // go to the former one, which may stop.
      const waitMs = this.isPresentOwner(owner) ? periodMs : 0;
      const result = await this.options.syncPeer(
        owner,
        waitMs,
        waitMs + SYNC_REPLY_GRACE_MS,
      );
      if (result.isOk()) {
        directory.recordAnswer(owner);
        this.lastSyncMs = sentMs;
        if (directory.find(key)?.host === owner.host) this.setOwner(owner);
        continue;
      }
      this.dropOwner(owner, result.error);
      await clock.sleep(RETRY_DELAY_MS, signal);
    }
  }

  /** Records that another incarnation has taken the place of an owner, which was killed or has stopped. */
  private recordEnd(owner: PeerInfo): void {
    this.options.directory.recordEnd(owner);
    this.clearOwner(owner);
  }

  private clearOwner({host}: PeerInfo): void {
    if (this.owner?.host !== host) return;
    this.owner = undefined;
    this.notifyOwnerChange();
  }

  /** Aborts the calls that wait for the former owner. */
  private notifyOwnerChange(): void {
    this.ownerChange.abort();
    this.ownerChange = createStopController();
  }

  private isPresentOwner(owner: PeerInfo): boolean {
    return this.owner !== undefined && isSameDaemon(this.owner, owner);
  }

  private setOwner(owner: PeerInfo): void {
    if (this.isPresentOwner(owner)) return;
    const known = this.owner;
    if (!this.lastOwner || !isSameDaemon(this.lastOwner, owner)) {
      this.formerOwner = this.lastOwner;
      this.lastOwner = owner;
      this.ownerChanges += 1;
    }
    this.owner = owner;
    if (known) this.notifyOwnerChange();
    this.options.log.record(ServingEvent.OWNER_CHANGED, {
      key: this.options.key,
      peer: owner.host,
      former: known?.host,
    });
  }

  private dropOwner(owner: PeerInfo, error: SavoryspurError): void {
    if (error.code === ErrorCode.CONFLICT) this.recordEnd(owner);
    else this.recordFailure(owner);
    this.options.log.record(ServingEvent.OWNER_UNAVAILABLE, {
      key: this.options.key,
      peer: owner.host,
      step: error.origin.step,
      reason: error.message,
    });
  }
}
