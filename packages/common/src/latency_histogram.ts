/** Latency histograms that can be merged across hosts. */
import {
  build,
  decodeFromCompressedBase64,
  encodeIntoCompressedBase64,
  type Histogram,
} from 'hdr-histogram-js';

/** Largest latency that is recorded, microseconds; larger ones count as this one. */
const MAX_RECORDED_LATENCY_US = 600_000_000;

/** Microseconds per millisecond. */
const US_PER_MS = 1000;

/** Histogram of latencies in milliseconds, with two significant digits and a resolution of one microsecond. */
export class LatencyHistogram {
  private constructor(private readonly histogram: Histogram) {}

  /** Creates an empty histogram. */
  static create(): LatencyHistogram {
    return new LatencyHistogram(
      build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: MAX_RECORDED_LATENCY_US,
        numberOfSignificantValueDigits: 2,
        useWebAssembly: false,
      }),
    );
  }

  /**
   * Decodes the output of {@link encode}.
   *
   * @param text - compressed histogram in base64
   */
  static decode(text: string): LatencyHistogram {
    const decoded = decodeFromCompressedBase64(text, 32, false);
    return new LatencyHistogram(decoded);
  }

  /**
   * Records one latency.
   *
   * @param ms - latency, milliseconds
   */
  record(ms: number): void {
    const us = Math.round(ms * US_PER_MS);
    this.histogram.recordValue(
      Math.min(Math.max(us, 1), MAX_RECORDED_LATENCY_US),
    );
  }

  /** Adds all latencies of another histogram to this one. */
  merge(other: LatencyHistogram): void {
    this.histogram.add(other.histogram);
  }

  /** Counts the recorded latencies. */
  count(): number {
    return this.histogram.totalCount;
  }

  /**
   * Computes a percentile.
   *
   * @param percentile - 0 to 100
   * @returns milliseconds
   */
  computePercentile(percentile: number): number {
    return this.histogram.getValueAtPercentile(percentile) / US_PER_MS;
  }

  /** Encodes the histogram as compressed base64. */
  encode(): string {
    return encodeIntoCompressedBase64(this.histogram);
  }
}
