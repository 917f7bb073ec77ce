/** Limit on the uncommitted results that a host holds in memory. */

/** Counts buffered bytes and blocks new work while the limit is reached. */
export class MemoryBudget {
  private usedBytes = 0;
  private waiters: Array<() => void> = [];

  /**
   * @param limitBytes - number of buffered bytes at which callers wait
   */
  constructor(private readonly limitBytes: number) {}

  /** Gets the number of buffered bytes. */
  getUsedBytes(): number {
    return this.usedBytes;
  }

  /** Tells whether the limit is reached. */
  isFull(): boolean {
    return this.usedBytes >= this.limitBytes;
  }

  /**
   * Adds bytes. It never waits, even above the limit, so that a finished result
   * is never discarded.
   */
  add(bytes: number): void {
    this.usedBytes += bytes;
  }

  /**
   * Releases bytes; wakes all waiting callers once the use is below the limit.
   */
  release(bytes: number): void {
    this.usedBytes -= bytes;
    if (this.isFull()) return;
    const waiters = this.waiters;
    this.waiters = [];
    for (const wake of waiters) wake();
  }

  /** Waits until the use is below the limit or the signal aborts. */
  async waitForRoom(signal: AbortSignal): Promise<void> {
    while (this.isFull() && !signal.aborted) {
      await new Promise<void>((resolve) => {
        const wake = (): void => {
          signal.removeEventListener('abort', wake);
          resolve();
        };
        this.waiters.push(wake);
        signal.addEventListener('abort', wake, {once: true});
      });
    }
  }
}
