/** What a host knows of the platform from its own chunk writes. */
import {BatchEvent, type EventLog} from '@savoryspur/common';
import {LeaseState} from './chunk_lease.js';

/** Tracks whether the platform answers. */
export class StoreHealth {
  private isAwayNow = false;

  /**
   * @param log - where changes are recorded
   */
  constructor(private readonly log: EventLog) {}

  /** Tells whether the platform is away. */
  isAway(): boolean {
    return this.isAwayNow;
  }

  /** Takes in that the platform answered. */
  observeAnswer(): void {
    this.observe(LeaseState.HELD);
  }

  /** Takes in the result of a write. */
  observe(state: LeaseState): void {
    const isAway = state === LeaseState.STORE_AWAY;
    if (isAway === this.isAwayNow) return;
    this.isAwayNow = isAway;
    this.log.record(
      isAway ? BatchEvent.STORE_UNAVAILABLE : BatchEvent.STORE_RECOVERED,
    );
  }
}
