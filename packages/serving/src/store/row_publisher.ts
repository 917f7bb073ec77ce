/** Writes the row of a daemon again whenever it has changed, at most once at a time. */
import {
  type Clock,
  computeBackoffMs,
  type SavoryspurError,
} from '@savoryspur/common';

/** Longest pause after failed writes, milliseconds. */
const MAX_WRITE_PAUSE_MS = 1000;

/** Settings and dependencies of a publisher. */
export interface RowPublisherOptions {
  clock: Clock;
  /** Writes the latest state; gives the error when that failed. */
  write: () => Promise<SavoryspurError | undefined>;
  /** Gets the pause between two writes and after the first failed one, milliseconds; it doubles with further failures. */
  getPauseMs: () => number;
  /** Called with the first error of several in a row. */
  onFailure: (error: SavoryspurError) => void;
}

/** Publishes the state of one daemon as a row. */
export class RowPublisher {
  private hasUnwritten = false;
  private isWriting = false;

  /**
   * @param options - how and how often to write
   */
  constructor(private readonly options: RowPublisherOptions) {}

  /** Writes until the store has the latest state; returns at once when a write is in progress, which then is repeated. */
  async publish(signal?: AbortSignal): Promise<void> {
    this.hasUnwritten = true;
    if (this.isWriting) return;
    this.isWriting = true;
    const {clock, write, getPauseMs, onFailure} = this.options;
    let failures = 0;
    while (this.hasUnwritten && !signal?.aborted) {
      this.hasUnwritten = false;
      const error = await write();
      failures = error === undefined ? 0 : failures + 1;
      if (error) this.hasUnwritten = true;
      if (error && failures === 1) onFailure(error);
      const pauseMs = computeBackoffMs(
        getPauseMs(),
        Math.max(MAX_WRITE_PAUSE_MS, getPauseMs()),
        Math.max(1, failures),
      );
      await clock.sleep(pauseMs, signal);
    }
    this.isWriting = false;
  }
}
