/** Merges the service-level reports of hosts, one at a time as they arrive. */
import {LatencyHistogram} from '@savoryspur/common';
import type {
  ServiceLevelCounts,
  ServiceLevelReport,
  ServiceLevelSeries,
  TargetLatency,
} from '@savoryspur/schema';

/** Latency histograms of one target over all hosts. */
interface MergedLatency {
  firstToken: LatencyHistogram;
  betweenTokens: LatencyHistogram;
}

/**
 * Sums the counts and histograms of reports. Each report is merged when it is
 * added, so that merging many reports is split into short steps.
 */
export class ReportMerger {
  private readonly hosts: string[] = [];
  private readonly series = new Map<string, Map<string, ServiceLevelSeries>>();
  private readonly latencies = new Map<string, MergedLatency>();
  private shortWindowMs = 0;
  private longWindowMs = 0;

  /** Adds the report of one host, or a merged report of several hosts. */
  add(report: ServiceLevelReport): void {
    this.hosts.push(...report.hosts);
    this.shortWindowMs = report.shortWindowMs;
    this.longWindowMs = report.longWindowMs;
    for (const entry of report.series) this.addSeries(entry);
    for (const entry of report.latencies) this.addLatency(entry);
  }

  /** Builds the merged report of all added reports. */
  build(): ServiceLevelReport {
    return {
      hosts: this.hosts,
      shortWindowMs: this.shortWindowMs,
      longWindowMs: this.longWindowMs,
      series: [...this.series.values()].flatMap((t) => [...t.values()]),
      latencies: [...this.latencies].map(([target, merged]) => ({
        target,
        firstToken: merged.firstToken.encode(),
        betweenTokens: merged.betweenTokens.encode(),
      })),
    };
  }

  private addSeries(entry: ServiceLevelSeries): void {
    let targets = this.series.get(entry.workspace);
    if (!targets) {
      targets = new Map();
      this.series.set(entry.workspace, targets);
    }
    const known = targets.get(entry.target);
    if (!known) {
      targets.set(entry.target, createCopy(entry));
      return;
    }
    addCounts(known.short, entry.short);
    addCounts(known.long, entry.long);
  }

  private addLatency(entry: TargetLatency): void {
    const firstToken = LatencyHistogram.decode(entry.firstToken);
    const betweenTokens = LatencyHistogram.decode(entry.betweenTokens);
    let merged = this.latencies.get(entry.target);
    if (!merged) {
      merged = {
        firstToken: LatencyHistogram.create(),
        betweenTokens: LatencyHistogram.create(),
      };
      this.latencies.set(entry.target, merged);
    }
    merged.firstToken.merge(firstToken);
    merged.betweenTokens.merge(betweenTokens);
  }
}

/**
 * Merges reports of several hosts.
 *
 * @param reports - reports of different hosts, all with the same windows
 */
export function mergeReports(
  reports: readonly ServiceLevelReport[],
): ServiceLevelReport {
  const merger = new ReportMerger();
  for (const report of reports) merger.add(report);
  return merger.build();
}

function addCounts(sums: ServiceLevelCounts, more: ServiceLevelCounts): void {
  sums.good += more.good;
  sums.lateFirstToken += more.lateFirstToken;
  sums.lateBetweenTokens += more.lateBetweenTokens;
  sums.error += more.error;
  sums.refusedRightful += more.refusedRightful;
  sums.refusedWrongful += more.refusedWrongful;
}

function createCopy(series: ServiceLevelSeries): ServiceLevelSeries {
  return {...series, short: {...series.short}, long: {...series.long}};
}
