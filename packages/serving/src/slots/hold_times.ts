/** How long online requests hold a place, as a moving average. */

/** Hold time assumed before any was seen, milliseconds. */
const INITIAL_HOLD_MS = 500;

/** Weight of the newest hold time in the average. */
const WEIGHT = 0.1;

/** Moving average of hold times. */
export class HoldTimes {
  private online = INITIAL_HOLD_MS;

  /**
   * Takes in the hold time of one online request.
   *
   * @param holdMs - milliseconds
   */
  record(holdMs: number): void {
    this.online += WEIGHT * (holdMs - this.online);
  }

  /** Gets the average, milliseconds. */
  getOnline(): number {
    return this.online;
  }
}
