/** Clock whose time advances only by calls of {@link ManualClock.advance}. */
import type {Clock} from './clock.js';

/** One sleep that has not ended. */
interface PendingSleep {
  dueMs: number;
  finish: () => void;
}

/** Clock for tests and trace replay. */
export class ManualClock implements Clock {
  private currentMs = 0;
  private pendingSleeps: PendingSleep[] = [];

  /**
   * @param originWall - wall-clock time when the monotonic clock reads zero
   */
  constructor(private readonly originWall = new Date(0)) {}

  /** {@inheritDoc Clock.now} */
  now(): number {
    return this.currentMs;
  }

  /** {@inheritDoc Clock.nowWall} */
  nowWall(): Date {
    return new Date(this.originWall.getTime() + this.currentMs);
  }

  /** {@inheritDoc Clock.sleep} */
  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const finish = (): void => {
        signal?.removeEventListener('abort', finish);
        this.pendingSleeps = this.pendingSleeps.filter(
          (other) => other !== pending,
        );
        resolve();
      };
      const pending = {dueMs: this.currentMs + ms, finish};
      this.pendingSleeps.push(pending);
      signal?.addEventListener('abort', finish, {once: true});
    });
  }

  /**
   * Advances the time in one step, as after a pause of the process, and ends
   * every sleep that is due, in order of due time.
   *
   * @param ms - time to advance by, milliseconds
   */
  advance(ms: number): void {
    this.currentMs += ms;
    const due = this.pendingSleeps.filter((s) => s.dueMs <= this.currentMs);
    this.pendingSleeps = this.pendingSleeps.filter(
      (s) => s.dueMs > this.currentMs,
    );
    due.sort((a, b) => a.dueMs - b.dueMs);
    for (const pending of due) pending.finish();
  }
}
