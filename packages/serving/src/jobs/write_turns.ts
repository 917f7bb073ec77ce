/** Lets writers of the same row on one daemon write in turn, since those that write at once conflict with each other. */
import type {Clock} from '@savoryspur/common';

/** Longest wait for a turn, milliseconds: the writer before may wait for an answer of the store that was lost. */
const MAX_TURN_WAIT_MS = 100;

/** Turns of the writers of each row. */
export class WriteTurns {
  /** End of the latest turn of each row that is being written. */
  private readonly lastTurns = new Map<string, Promise<void>>();

  /**
   * @param clock - source of time
   */
  constructor(private readonly clock: Clock) {}

  /**
   * Runs a write once the one that was asked for before it has ended, or after
   * {@link MAX_TURN_WAIT_MS}.
   *
   * @param key - name of the row
   * @param write - the write
   * @returns what the write returns
   */
  run<T>(key: string, write: () => Promise<T>): Promise<T> {
    const written = this.runAfter(this.lastTurns.get(key), write);
    const end: Promise<void> = written.then(
      () => this.remove(key, end),
      () => this.remove(key, end),
    );
    this.lastTurns.set(key, end);
    return written;
  }

  private async runAfter<T>(
    before: Promise<void> | undefined,
    write: () => Promise<T>,
  ): Promise<T> {
    if (before) {
      const timer = new AbortController();
      const timeout = this.clock.sleep(MAX_TURN_WAIT_MS, timer.signal);
      await Promise.race([before, timeout]);
      timer.abort();
    }
    return write();
  }

  private remove(key: string, end: Promise<void>): void {
    if (this.lastTurns.get(key) === end) this.lastTurns.delete(key);
  }
}
