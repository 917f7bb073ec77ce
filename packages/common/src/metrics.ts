/** Counters, gauges and latency histograms of one daemon, rendered in Prometheus text format. */
import {LatencyHistogram} from './latency_histogram.js';

/** Percentiles of each latency histogram that are rendered. */
const PERCENTILES = [50, 95, 99];

/** Labels of one series. */
export type Labels = Record<string, string>;

/** Reads the current value of a gauge. */
export type GaugeReader = () => number;

/** Latency histogram of one series. */
interface LabelledHistogram {
  name: string;
  labels: Labels;
  histogram: LatencyHistogram;
}

/** Registry of metric series; a series is a metric name with its labels. */
export class Metrics {
  private readonly counters = new Map<string, number>();
  private readonly gauges = new Map<string, GaugeReader>();
  private readonly histograms = new Map<string, LabelledHistogram>();

  /** Adds a number to a counter, which starts at zero. */
  addToCounter(name: string, labels: Labels = {}, count = 1): void {
    const series = formatSeries(name, labels);
    this.counters.set(series, (this.counters.get(series) ?? 0) + count);
  }

  /** Registers a gauge that is read whenever the metrics are rendered. */
  registerGauge(name: string, labels: Labels, reader: GaugeReader): void {
    this.gauges.set(formatSeries(name, labels), reader);
  }

  /**
   * Records one latency in a histogram.
   *
   * @param name - name of the histogram; ends in `_ms`
   * @param ms - latency, milliseconds
   * @param labels - labels of the series
   */
  recordLatency(name: string, ms: number, labels: Labels = {}): void {
    const series = formatSeries(name, labels);
    let entry = this.histograms.get(series);
    if (!entry) {
      entry = {name, labels, histogram: LatencyHistogram.create()};
      this.histograms.set(series, entry);
    }
    entry.histogram.record(ms);
  }

  /** Renders all series in Prometheus text format. */
  render(): string {
    const lines: string[] = [];
    for (const [series, count] of this.counters)
      lines.push(`${series} ${count}`);
    for (const [series, reader] of this.gauges)
      lines.push(`${series} ${reader()}`);
    for (const entry of this.histograms.values()) {
      lines.push(...renderHistogram(entry));
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

function renderHistogram(entry: LabelledHistogram): string[] {
  const {name, labels, histogram} = entry;
  const lines = PERCENTILES.map((percentile) => {
    const quantile = String(percentile / 100);
    const series = formatSeries(name, {...labels, quantile});
    return `${series} ${histogram.computePercentile(percentile)}`;
  });
  lines.push(`${formatSeries(`${name}_count`, labels)} ${histogram.count()}`);
  return lines;
}
