/** Counters and latency histograms of one daemon, in Prometheus text form. */
import {LatencyHistogram} from '@savoryspur/common';

/** Percentiles that are published. */
const PERCENTILES = [50, 95, 99];

/** Labels of one series. */
export type Labels = Record<string, string>;

/** Reads a value at the moment of publication. */
export type GaugeReader = () => number;

/** Registry of series. */
export class Metrics {
  private readonly counters = new Map<string, number>();
  private readonly gauges = new Map<string, GaugeReader>();
  private readonly histograms = new Map<string, LatencyHistogram>();

  /** Adds to a counter. */
  add(name: string, labels: Labels = {}, count = 1): void {
    const series = formatSeries(name, labels);
    this.counters.set(series, (this.counters.get(series) ?? 0) + count);
  }

  /** Registers a gauge that is read at publication. */
  register(name: string, labels: Labels, reader: GaugeReader): void {
    this.gauges.set(formatSeries(name, labels), reader);
  }

  /**
   * Records a latency.
   *
   * @param name - name of the histogram; ends in `_ms`
   * @param ms - latency, milliseconds
   */
  record(name: string, ms: number): void {
    let histogram = this.histograms.get(name);
    if (!histogram) {
      histogram = LatencyHistogram.create();
      this.histograms.set(name, histogram);
    }
    histogram.record(ms);
  }

  /** Renders all series. */
  render(): string {
    const lines: string[] = [];
    for (const [series, count] of this.counters)
      lines.push(`${series} ${count}`);
    for (const [series, reader] of this.gauges)
      lines.push(`${series} ${reader()}`);
    for (const [name, histogram] of this.histograms) {
      lines.push(...renderHistogram(name, histogram));
    }
    return `${lines.join('\n')}\n`;
  }
}

function formatSeries(name: string, labels: Labels): string {
  const parts = Object.entries(labels).map(
    ([key, value]) => `${key}=${JSON.stringify(value)}`,
  );
  return parts.length === 0 ? name : `${name}{${parts.join(',')}}`;
}

function renderHistogram(name: string, histogram: LatencyHistogram): string[] {
  const lines = PERCENTILES.map((percentile) => {
    const series = formatSeries(name, {quantile: String(percentile / 100)});
    return `${series} ${histogram.computePercentile(percentile)}`;
  });
  lines.push(`${name}_count ${histogram.count()}`);
  return lines;
}
