/** Yields to the event loop during a long computation. */
import type {Clock} from '@savoryspur/common';

/** Time after which a slice ends, milliseconds. */
const MAX_SLICE_MS = 1;

/** Number of processed bytes after which a slice ends. */
const MAX_SLICE_BYTES = 128 * 1024;

/**
 * Splits a long computation into slices that each take one short turn of the
 * event loop, so that other work on the daemon is not blocked.
 */
export class TimeSlicer {
  private sliceStartMs: number;
  private usedBytes = 0;

  /**
   * @param clock - source of time
   */
  constructor(private readonly clock: Clock) {
    this.sliceStartMs = clock.now();
  }

  /**
   * Adds processed bytes to the current slice and tells whether the slice has
   * reached its limit of bytes or time.
   *
   * @param bytes - bytes processed since the last call
   */
  isSliceOver(bytes: number): boolean {
    this.usedBytes += bytes;
    if (this.usedBytes >= MAX_SLICE_BYTES) return true;
    return this.clock.now() - this.sliceStartMs >= MAX_SLICE_MS;
  }

  /** Lets other pending work run, then starts a new slice. */
  async waitForNextSlice(): Promise<void> {
    await new Promise<void>((resolve) => setImmediate(resolve));
    this.sliceStartMs = this.clock.now();
    this.usedBytes = 0;
  }
}
