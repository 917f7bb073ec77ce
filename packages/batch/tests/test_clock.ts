/** Virtual time that moves on when nothing else is left to run. */
import type {Clock} from '@savoryspur/common';

/** Turns of the event loop without activity before time moves on. */
const IDLE_TURNS = 5;

interface Sleeper {
  dueMs: number;
  finish: () => void;
}

/** Clock whose waits end in order without real time passing. */
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

  /** Notes that something still runs, so that time stands still. */
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

  /** Runs until a condition holds; fails after some virtual time. */
  async waitFor(condition: () => boolean, maxMs = 3_600_000): Promise<void> {
    const limitMs = this.currentMs + maxMs;
    while (!condition()) {
      if (this.currentMs > limitMs) throw new Error('condition never held');
      await this.advance();
    }
  }

  /** Runs for some virtual time. */
  async waitMs(ms: number): Promise<void> {
    let isDue = false;
    void this.sleep(ms).then(() => (isDue = true));
    await this.waitFor(() => isDue, ms * 2);
  }

  /** Runs until a promise settles. */
  async waitSettled<T>(promise: PromiseLike<T>): Promise<T> {
    let isSettled = false;
    const mark = () => (isSettled = true);
    promise.then(mark, mark);
    await this.waitFor(() => isSettled);
    return promise;
  }

  private async advance(): Promise<void> {
    let seen = -1;
    for (let turn = 0; turn < IDLE_TURNS; turn++) {
      if (seen !== this.activityCount) turn = 0;
      seen = this.activityCount;
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
