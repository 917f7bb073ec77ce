/**
 * Counts requests of many series in a ring buffer of time slices. All series of
 * a slice share one typed array, so that thousands of series need little
 * memory.
 */

/** How a request ended, as the offset of its counter within a series. */
export enum CountKind {
  GOOD,
  LATE_FIRST_TOKEN,
  LATE_BETWEEN_TOKENS,
  ERROR,
  REFUSED_RIGHTFUL,
  REFUSED_WRONGFUL,
}

/** Number of counters of one series in one slice. */
const COUNTERS_PER_SERIES = 6;

/** Number of series for which a slice is first allocated. */
const INITIAL_SERIES_CAPACITY = 64;

/** Counters of many series over a sliding window. */
export class WindowCounts {
  private readonly slices: Uint32Array[];
  private newestSlice = 0;

  /**
   * @param sliceMs - length of a slice, milliseconds
   * @param sliceCount - number of slices in the window
   */
  constructor(
    private readonly sliceMs: number,
    private readonly sliceCount: number,
  ) {
    this.slices = Array.from({length: sliceCount}, () => new Uint32Array(0));
  }

  /**
   * Counts one request.
   *
   * @param series - index of the series
   * @param kind - counter to increment
   * @param nowMs - monotonic time, milliseconds
   */
  record(series: number, kind: CountKind, nowMs: number): void {
    this.advance(nowMs);
    const sliceIndex = this.newestSlice % this.sliceCount;
    const slice = this.reserve(sliceIndex, series);
    const position = series * COUNTERS_PER_SERIES + kind;
    slice[position] = (slice[position] ?? 0) + 1;
  }

  /**
   * Sums the counters of a series over the window.
   *
   * @returns the sums, indexed by {@link CountKind}
   */
  sum(series: number, nowMs: number): number[] {
    this.advance(nowMs);
    const sums = new Array<number>(COUNTERS_PER_SERIES).fill(0);
    for (const slice of this.slices) {
      for (let kind = 0; kind < COUNTERS_PER_SERIES; kind++) {
        sums[kind]! += slice[series * COUNTERS_PER_SERIES + kind] ?? 0;
      }
    }
    return sums;
  }

  /** Resets the counters of a series, so that its index can be reused. */
  clear(series: number): void {
    for (const slice of this.slices) {
      slice.fill(
        0,
        series * COUNTERS_PER_SERIES,
        (series + 1) * COUNTERS_PER_SERIES,
      );
    }
  }

  private advance(nowMs: number): void {
    const current = Math.floor(nowMs / this.sliceMs);
    const passed = Math.min(current - this.newestSlice, this.sliceCount);
    for (let step = 0; step < passed; step++) {
      this.slices[(current - step) % this.sliceCount]?.fill(0);
    }
    this.newestSlice = Math.max(current, this.newestSlice);
  }

  private reserve(sliceIndex: number, series: number): Uint32Array {
    const slice = this.slices[sliceIndex]!;
    const needed = (series + 1) * COUNTERS_PER_SERIES;
    if (slice.length >= needed) return slice;
    const length = Math.max(
      needed,
      slice.length * 2,
      INITIAL_SERIES_CAPACITY * COUNTERS_PER_SERIES,
    );
    const larger = new Uint32Array(length);
    larger.set(slice);
    this.slices[sliceIndex] = larger;
    return larger;
  }
}
