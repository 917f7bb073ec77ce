/** Virtual clock that advances when no other work is pending. */
import type {Clock} from '@savoryspur/common';

/** Turns of the event loop without activity before the clock advances. */
const IDLE_TURNS = 5;

interface Sleeper {
  dueMs: number;
  finish: () => void;
}

/** Clock whose sleeps end in order of their due time, without real waiting. */
export class TestClock implements Clock {
  private currentMs = 1000;
  private activityCount = 0;
  private readonly sleepers = new Set<Sleeper>();

  now(): number {
    return this.currentMs;
  }

  nowWall(): Date {
    return new Date(Date.UTC(2026, 0, 1) + this.currentMs);
  }

  /** Records activity; the clock does not advance while there is activity. */
  recordActivity(): void {
    this.activityCount += 1;
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    this.recordActivity();
    if (signal?.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const finish = (): void => {
        signal?.removeEventListener('abort', finish);
        this.sleepers.delete(sleeper);
        resolve();
      };
      const sleeper = {dueMs: this.currentMs + Math.max(ms, 0), finish};
      this.sleepers.add(sleeper);
      signal?.addEventListener('abort', finish, {once: true});
    });
  }

  /** Advances the clock until a condition holds; fails after `maxMs`. */
  async waitFor(condition: () => boolean, maxMs = 3_600_000): Promise<void> {
    const deadlineMs = this.currentMs + maxMs;
    while (!condition()) {
      if (this.currentMs > deadlineMs) throw new Error('condition never held');
      await this.advance();
    }
  }

  /** Advances the clock by some virtual time. */
  async waitMs(ms: number): Promise<void> {
    let isDue = false;
    void this.sleep(ms).then(() => (isDue = true));
    await this.waitFor(() => isDue, ms * 2);
  }

  /** Advances the clock until a promise settles. */
  async waitSettled<T>(promise: PromiseLike<T>): Promise<T> {
    let isSettled = false;
    const mark = () => (isSettled = true);
    promise.then(mark, mark);
    await this.waitFor(() => isSettled);
    return promise;
  }

  private async advance(): Promise<void> {
    let seenActivity = -1;
    for (let turn = 0; turn < IDLE_TURNS; turn++) {
      if (seenActivity !== this.activityCount) turn = 0;
      seenActivity = this.activityCount;
      await new Promise<void>((resolve) => setImmediate(resolve));
    }
    let next: Sleeper | undefined;
    for (const sleeper of this.sleepers) {
      if (!next || sleeper.dueMs < next.dueMs) next = sleeper;
    }
    if (!next) return;
    this.currentMs = Math.max(this.currentMs, next.dueMs);
    next.finish();
  }
}
