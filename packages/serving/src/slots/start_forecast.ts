/**
 * Forecasts when queued requests get a slot: each one takes the slot that becomes free
 * first, and holds it for as long as requests of its route usually do.
 */

/** Forecast from one moment on. Times are monotonic milliseconds. */
export class StartForecast {
  /** Times at which slots become free, by the cause, each list in ascending order. */
  private readonly lists: Array<{timesMs: number[]; next: number}>;
  private readonly listsByHoldMs = new Map<number, number[]>();

  /**
   * @param endsMs - when the slots in use become free, in ascending order
   */
  constructor(endsMs: number[]) {
    this.lists = [{timesMs: endsMs, next: 0}];
  }

  /**
   * Forecasts the start of the next request in the order of the queue.
   *
   * @param holdMs - expected hold time of the request, milliseconds
   * @returns the time; undefined when there are no slots
   */
  takeNext(holdMs: number): number | undefined {
    let first = this.lists[0];
    let startMs = Infinity;
    for (const list of this.lists) {
      const timeMs = list.timesMs[list.next] ?? Infinity;
      if (timeMs >= startMs) continue;
      first = list;
      startMs = timeMs;
    }
    if (!first || startMs === Infinity) return undefined;
    first.next += 1;
    this.getList(holdMs).push(startMs + holdMs);
    return startMs;
  }

  /** Gets the ends of the requests with a hold time; they are in order, as the starts are. */
  private getList(holdMs: number): number[] {
    const known = this.listsByHoldMs.get(holdMs);
    if (known) return known;
    const timesMs: number[] = [];
    this.listsByHoldMs.set(holdMs, timesMs);
    this.lists.push({timesMs, next: 0});
    return timesMs;
  }
}
