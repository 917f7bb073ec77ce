/** Reads of the store that calls made at the same time share. */
import type {Clock} from '@savoryspur/common';

/** Settings and dependencies of a shared read. */
export interface SharedReadOptions<T> {
  clock: Clock;
  read: () => Promise<T>;
  /** Gets the shortest time between the beginnings of two reads, milliseconds. */
  getPauseMs: () => number;
}

/** A read that begins after it was requested, and whose result all requests until then share. */
export class SharedRead<T> {
  private current: Promise<unknown> = Promise.resolve();
  private next: Promise<T> | undefined;
  private lastReadMs = Number.NEGATIVE_INFINITY;

  /**
   * @param options - what to read and how often
   */
  constructor(private readonly options: SharedReadOptions<T>) {}

  /** Requests a read that begins from now on. */
  request(): Promise<T> {
    this.next ??= this.runNext();
    return this.next;
  }

  /** Reads at once, without waiting for the pause since the last read. */
  readNow(): Promise<T> {
    this.lastReadMs = this.options.clock.now();
    const read = this.options.read();
    this.current = read;
    return read;
  }

  private async runNext(): Promise<T> {
    const {clock, getPauseMs} = this.options;
    await this.current;
    const waitMs = this.lastReadMs + getPauseMs() - clock.now();
    if (waitMs > 0) await clock.sleep(waitMs);
    this.next = undefined;
    return this.readNow();
  }
}
