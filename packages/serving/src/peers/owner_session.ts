/** Keeps this daemon known to the owner of a key, and notices when it is lost. */
import {
  type Clock,
  type EventLog,
  type SavoryspurError,
  ServingEvent,
} from '@savoryspur/common';
import type {PeerInfo} from '@savoryspur/schema';
import type {ResultAsync} from 'neverthrow';
import {createStopController} from '../create_stop_controller.js';
import type {OwnerDirectory} from './owner_directory.js';

/** Longest wait of one synchronization, milliseconds: how soon a lost owner is noticed, and a third of the term of what depends on it. */
export const SYNC_LONG_POLL_MS = 400;

/** Time beyond the wait after which an owner counts as lost, milliseconds. */
export const SYNC_REPLY_GRACE_MS = 300;

/** Pause before another owner is asked, milliseconds. */
const RETRY_MS = 20;

/** What a session needs. */
export interface OwnerSessionOptions {
  /** Key whose owner is meant. */
  key: string;
  directory: OwnerDirectory;
  clock: Clock;
  log: EventLog;
  /** Synchronizes with an owner that is another daemon. */
  syncPeer: (owner: PeerInfo) => ResultAsync<void, SavoryspurError>;
  /** Synchronizes with this daemon as the owner. */
  syncSelf: () => Promise<void>;
}

/** Session with the owner of one key. */
export class OwnerSession {
  private owner: PeerInfo | undefined;
  private ended = createStopController();
  private lastSyncMs = Number.NEGATIVE_INFINITY;

  /**
   * @param options - the key and how to synchronize
   */
  constructor(private readonly options: OwnerSessionOptions) {}

  /** Gets the owner; undefined while none has answered. */
  getOwner(): PeerInfo | undefined {
    return this.owner;
  }

  /** Gets the signal that is aborted once the present owner is lost or another one follows. */
  getOwnerChangeSignal(): AbortSignal {
    return this.ended.signal;
  }

  /** Gets when the last synchronization was sent that an owner answered, monotonic milliseconds. */
  getLastSyncMs(): number {
    return this.lastSyncMs;
  }

  /**
   * Notes that the owner did not answer a call.
   *
   * @param owner - the daemon that was called
   */
  recordFailure(owner: PeerInfo): void {
    this.options.directory.recordFailure(owner);
    if (this.owner?.host !== owner.host) return;
    this.owner = undefined;
    this.endOwnership();
  }

  /**
   * Synchronizes until it is told to stop.
   *
   * @param signal - ends the task
   */
  async run(signal: AbortSignal): Promise<void> {
    const {directory, key, clock} = this.options;
    while (!signal.aborted) {
      const owner = directory.find(key);
      const sentMs = clock.now();
      if (directory.isSelf(owner)) {
        this.setOwner(owner);
        await this.options.syncSelf();
        this.lastSyncMs = sentMs;
        continue;
      }
      const result = await this.options.syncPeer(owner);
      if (result.isOk()) {
        directory.recordAnswer(owner);
        this.lastSyncMs = sentMs;
        if (directory.find(key).host === owner.host) this.setOwner(owner);
        continue;
      }
      this.dropOwner(owner, result.error);
      await clock.sleep(RETRY_MS, signal);
    }
  }

  /** Ends what waits for the former owner. */
  private endOwnership(): void {
    this.ended.abort();
    this.ended = createStopController();
  }

  private setOwner(owner: PeerInfo): void {
    const known = this.owner;
    this.owner = owner;
    if (known?.host === owner.host && known.incarnation === owner.incarnation) {
      return;
    }
    if (known) this.endOwnership();
    this.options.log.record(ServingEvent.OWNER_CHANGED, {
      key: this.options.key,
      peer: owner.host,
      former: known?.host,
    });
  }

  private dropOwner(owner: PeerInfo, error: SavoryspurError): void {
    this.recordFailure(owner);
    this.options.log.record(ServingEvent.OWNER_UNAVAILABLE, {
      key: this.options.key,
      peer: owner.host,
      step: error.origin.step,
      reason: error.message,
    });
  }
}
