/** Limit on the batch items in progress on one host. */

/** Counting semaphore that grants permits in first-come, first-served order. */
export class ItemSemaphore {
  private running = 0;
  private waiters: Array<() => void> = [];

  /**
   * @param limit - maximum number of items in progress
   */
  constructor(private readonly limit: number) {}

  /** Counts the items in progress. */
  countRunning(): number {
    return this.running;
  }

  /**
   * Waits for a permit.
   *
   * @param signal - ends the wait
   * @returns whether a permit was acquired; {@link release} returns it
   */
  async acquire(signal: AbortSignal): Promise<boolean> {
    if (signal.aborted) return false;
    if (this.running < this.limit) {
      this.running += 1;
      return true;
    }
    return new Promise<boolean>((resolve) => {
      const grant = (): void => {
        signal.removeEventListener('abort', cancel);
        resolve(true);
      };
      const cancel = (): void => {
        this.waiters = this.waiters.filter((waiter) => waiter !== grant);
        resolve(false);
      };
      this.waiters.push(grant);
      signal.addEventListener('abort', cancel, {once: true});
    });
  }

  /** Releases a permit; the longest-waiting caller gets it directly. */
  release(): void {
    const next = this.waiters.shift();
    if (next) {
      next();
      return;
    }
    this.running -= 1;
  }
}
