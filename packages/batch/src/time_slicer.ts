/** Gives way to other work within a long computation. */
import type {Clock} from '@savoryspur/common';

/** Longest computation in one turn of the event loop, milliseconds. */
const SLICE_MS = 1;

/** Most bytes handled in one turn of the event loop. */
const SLICE_BYTES = 128 * 1024;

/** Cuts a long computation into short turns of the event loop. */
export class TimeSlicer {
  private sliceStartMs: number;
  private sliceBytes = 0;

  /**
   * @param clock - source of time
   */
  constructor(private readonly clock: Clock) {
    this.sliceStartMs = clock.now();
  }

  /** Tells whether this turn has lasted long enough. */
  isDue(bytes: number): boolean {
    this.sliceBytes += bytes;
    if (this.sliceBytes >= SLICE_BYTES) return true;
    return this.clock.now() - this.sliceStartMs >= SLICE_MS;
  }

  /** Lets everything else that is due run, then starts a new turn. */
  async pause(): Promise<void> {
    await new Promise<void>((resolve) => setImmediate(resolve));
    this.sliceStartMs = this.clock.now();
    this.sliceBytes = 0;
  }
}
