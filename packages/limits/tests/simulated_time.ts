/** Simulated time for many hosts, each of which can be frozen or stopped. */
import type {Clock} from '@savoryspur/common';

interface Timer {
  dueMs: number;
  clock: HostClock;
  finish: () => void;
}

/** Turns of the event loop in which tasks react to each other. */
const EVENT_LOOP_TURNS_PER_STEP = 3;

/** Time that a test advances, with the timers of all hosts. */
export class SimulatedTime {
  nowMs = 0;
  private timers: Timer[] = [];

  add(timer: Timer): void {
    this.timers.push(timer);
  }

  /** Lets the tasks run whose timers fired. */
  async waitForTasks(): Promise<void> {
    for (let i = 0; i < EVENT_LOOP_TURNS_PER_STEP; i++) {
      await new Promise<void>((resolve) => setImmediate(resolve));
    }
  }

  /**
   * Advances time and fires the due timers. Timers of a frozen host wait until
   * it runs again; later timers of a stopped host are dropped.
   */
  async advance(ms: number): Promise<void> {
    this.nowMs += ms;
    const isDue = (timer: Timer) =>
      timer.dueMs <= this.nowMs && !timer.clock.isFrozen;
    const due = this.timers.filter(isDue);
    this.timers = this.timers.filter(
      (timer) => !isDue(timer) && !timer.clock.isDead,
    );
    due.sort((a, b) => a.dueMs - b.dueMs);
    for (const timer of due) timer.finish();
    await this.waitForTasks();
  }
}

/** Clock of one host; its monotonic time has an origin of its own. */
export class HostClock implements Clock {
  isFrozen = false;
  isDead = false;

  constructor(
    private readonly time: SimulatedTime,
    private readonly originMs: number,
  ) {}

  now(): number {
    return this.time.nowMs + this.originMs;
  }

  nowWall(): Date {
    return new Date(this.time.nowMs);
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const finish = (): void => {
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      this.time.add({dueMs: this.time.nowMs + ms, clock: this, finish});
      signal?.addEventListener('abort', finish, {once: true});
    });
  }

  /** Waits while the host is frozen; never resolves when it is stopped. */
  async waitUntilRunning(): Promise<void> {
    if (this.isDead) await new Promise<never>(() => undefined);
    if (this.isFrozen) await this.sleep(0);
    if (this.isDead) await new Promise<never>(() => undefined);
  }
}
