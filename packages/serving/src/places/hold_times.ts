/** How long work holds a place, as a moving average by class. */

/** Hold time assumed before any was seen, milliseconds. */
const INITIAL_HOLD_MS = 500;

/** Weight of the newest hold time in the average. */
const WEIGHT = 0.1;

/** Moving averages of hold times. */
export class HoldTimes {
  private online = INITIAL_HOLD_MS;
  private batch = INITIAL_HOLD_MS;

  /**
   * Takes in the hold time of one grant.
   *
   * @param isBatch - class of the work
   * @param holdMs - milliseconds
   */
  record(isBatch: boolean, holdMs: number): void {
    if (isBatch) this.batch += WEIGHT * (holdMs - this.batch);
    else this.online += WEIGHT * (holdMs - this.online);
  }

  /** Gets the average of online requests, milliseconds. */
  getOnline(): number {
    return this.online;
  }

  /** Gets the average of batch items, milliseconds. */
  getBatch(): number {
    return this.batch;
  }
}
