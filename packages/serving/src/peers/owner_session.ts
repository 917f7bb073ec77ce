/** Keeps this daemon registered with the owner of a key, and detects when the owner is unavailable or changes. */
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

/** Maximum length of the long poll of one synchronization, milliseconds: determines how soon an unavailable owner is detected. Meant to be a third of the time after which held slots and delegated shares expire without a synchronization. */
export const SYNC_LONG_POLL_MS = 400;

/** Time beyond the long poll after which an owner that has not answered counts as unavailable, milliseconds. */
export const SYNC_REPLY_GRACE_MS = 300;

/** Delay before the next owner is called after a failure, milliseconds. */
const RETRY_DELAY_MS = 20;

/** Key of a session and the components that it uses. */
export interface OwnerSessionOptions {
  /** Key whose owner the session follows. */
  key: string;
  directory: OwnerDirectory;
  clock: Clock;
  log: EventLog;
  /** Synchronizes with an owner that is another daemon. */
  syncPeer: (owner: PeerInfo) => ResultAsync<void, SavoryspurError>;
  /** Synchronizes with this daemon as the owner. */
  syncSelf: () => Promise<void>;
}

/** Session of this daemon with the present owner of one key. */
export class OwnerSession {
  private owner: PeerInfo | undefined;
  /** Aborted and replaced whenever the owner becomes unavailable or changes. */
  private ownerChange = createStopController();
  private lastSyncMs = Number.NEGATIVE_INFINITY;

  /**
   * @param options - the key and the components that the session uses
   */
  constructor(private readonly options: OwnerSessionOptions) {}

  /** Gets the present owner; undefined while no owner answers. */
  getOwner(): PeerInfo | undefined {
    return this.owner;
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
    if (this.owner?.host !== owner.host) return;
    this.owner = undefined;
    this.notifyOwnerChange();
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
      await clock.sleep(RETRY_DELAY_MS, signal);
    }
  }

  /** Aborts the calls that wait for the former owner. */
  private notifyOwnerChange(): void {
    this.ownerChange.abort();
    this.ownerChange = createStopController();
  }

  private setOwner(owner: PeerInfo): void {
    const known = this.owner;
    this.owner = owner;
    if (known?.host === owner.host && known.incarnation === owner.incarnation) {
      return;
    }
    if (known) this.notifyOwnerChange();
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
