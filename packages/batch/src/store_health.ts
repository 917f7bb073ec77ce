/** Availability of storage, derived from the chunk writes of this host. */
import {BatchEvent, type EventLog} from '@savoryspur/common';
import {LeaseState} from './chunk_lease.js';

/** Tracks whether storage is available and logs each change. */
export class StoreHealth {
  private isUnavailableNow = false;

  /**
   * @param log - event log for changes
   */
  constructor(private readonly log: EventLog) {}

  /** Tells whether storage is unavailable. */
  isUnavailable(): boolean {
    return this.isUnavailableNow;
  }

  /** Records an answer of storage outside chunk writes. */
  recordAnswer(): void {
    this.recordLeaseState(LeaseState.HELD);
  }

  /** Records the result of a commit or renewal. */
  recordLeaseState(state: LeaseState): void {
    const isUnavailable = state === LeaseState.STORE_UNAVAILABLE;
    if (isUnavailable === this.isUnavailableNow) return;
    this.isUnavailableNow = isUnavailable;
    this.log.record(
      isUnavailable ? BatchEvent.STORE_UNAVAILABLE : BatchEvent.STORE_RECOVERED,
    );
  }
}
