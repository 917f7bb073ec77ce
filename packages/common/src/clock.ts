/**
 * Clocks. Leases and timeouts use the monotonic clock; the wall clock is used
 * only for times that people read or that are stored in records.
 */
import {Timeout} from './timeout.js';

/** Source of time; code that depends on time gets one injected, so that tests can control it. */
export interface Clock {
  /** Reads the monotonic clock, milliseconds from an arbitrary origin. */
  now(): number;
  /** Reads the wall clock. */
  nowWall(): Date;
  /**
   * Waits for a time, and until what has arrived on connections meanwhile was read.
   *
   * @param ms - time to wait, milliseconds
   * @param signal - ends the wait early when it is aborted; the promise then
   *     resolves
   */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** The clocks of the operating system. */
export class SystemClock implements Clock {
  /** {@inheritDoc Clock.now} */
  now(): number {
    return performance.now();
  }

  /** {@inheritDoc Clock.nowWall} */
  nowWall(): Date {
    return new Date();
  }

  /** {@inheritDoc Clock.sleep} */
  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const finish = (): void => {
        timeout.cancel();
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const timeout = new Timeout(ms, finish);
      signal?.addEventListener('abort', finish, {once: true});
    });
  }
}
