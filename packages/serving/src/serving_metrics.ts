/** Counters and latency histograms of the serving path, bounded in series. */
import {LatencyHistogram} from '@savoryspur/common';
import type {RouteKind} from './environment.js';

/** Percentiles that are published. */
const PERCENTILES = [50, 95, 99];

/** Reads a value at the moment of publication. */
export type GaugeReader = () => number;

/** Series of one daemon in Prometheus text form. */
export class ServingMetrics {
  private readonly counters = new Map<string, number>();
  private readonly gauges = new Map<string, GaugeReader>();
  private readonly histograms = new Map<string, LatencyHistogram>();

  /** Counts an answer and its latencies. */
  recordAnswer(
    kind: RouteKind,
    isLate: boolean,
    firstByteMs: number,
    totalMs: number,
  ): void {
    const outcome = isLate ? 'late' : 'on_time';
    this.count(`savoryspur_answers_total{kind="${kind}",outcome="${outcome}"}`);
    this.measure(`savoryspur_first_byte_ms{kind="${kind}"`, firstByteMs);
    this.measure(`savoryspur_answer_ms{kind="${kind}"`, totalMs);
  }

  /** Counts a refusal or failure by its code. */
  recordRefusal(code: string): void {
    this.count(`savoryspur_refusals_total{code="${code}"}`);
  }

  /**
   * Adds to a counter.
   *
   * @param series - name with labels
   */
  count(series: string, by = 1): void {
    this.counters.set(series, (this.counters.get(series) ?? 0) + by);
  }

  /** Registers a value that is read at publication. */
  register(series: string, reader: GaugeReader): void {
    this.gauges.set(series, reader);
  }

  /** Renders all series. */
  render(): string {
    const lines: string[] = [];
    for (const [series, value] of this.counters)
      lines.push(`${series} ${value}`);
    for (const [series, read] of this.gauges) lines.push(`${series} ${read()}`);
    for (const [name, histogram] of this.histograms) {
      for (const percentile of PERCENTILES) {
        const value = histogram.computePercentile(percentile);
        lines.push(`${name},quantile="${percentile / 100}"} ${value}`);
      }
      lines.push(`${name},part="count"} ${histogram.count()}`);
    }
    return `${lines.join('\n')}\n`;
  }

  private measure(name: string, ms: number): void {
    let histogram = this.histograms.get(name);
    if (!histogram) {
      histogram = LatencyHistogram.create();
      this.histograms.set(name, histogram);
    }
    histogram.record(ms);
  }
}
