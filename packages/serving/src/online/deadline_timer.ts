/** Ends a request at its deadline, also in a process that was suspended meanwhile. */
import {type Clock, Timeout} from '@savoryspur/common';

/** Lateness of the timer that shows that the process was suspended, milliseconds. */
const MIN_SUSPENSION_MS = 100;

/** Time to read the rest of an answer that arrived while the process was suspended, milliseconds. */
const MAX_REST_READ_MS = 100;

/** Timer of one deadline. */
export class DeadlineTimer {
  private timeout: Timeout;

  /**
   * @param clock - source of time
   * @param deadlineMs - the deadline, monotonic milliseconds
   * @param expire - called once at the deadline
   */
  constructor(clock: Clock, deadlineMs: number, expire: () => void) {
    const expiryMs = Math.max(clock.now(), deadlineMs);
    this.timeout = new Timeout(expiryMs - clock.now(), () => {
      if (clock.now() - expiryMs < MIN_SUSPENSION_MS) return expire();
      this.timeout = new Timeout(MAX_REST_READ_MS, expire);
    });
  }

  /** Cancels the timer. */
  cancel(): void {
    this.timeout.cancel();
  }
}
