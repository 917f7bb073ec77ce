/** Records which online requests of one daemon met their objectives. */
import type {Clock} from '@savoryspur/common';
import type {
  ServiceLevelCounts,
  ServiceLevelQuery,
  ServiceLevelReport,
  ServiceLevelSeries,
} from '@savoryspur/schema';
import {TargetLatencies} from './target_latencies.js';
import {CountKind, WindowCounts} from './window_counts.js';

/** How an online request ended. */
export enum RequestOutcome {
  /** The complete answer was sent to the caller. */
  ANSWERED = 'answered',
  /** The request ended with an error that the caller did not cause. */
  FAILED = 'failed',
  /** The request was refused because its workspace was above its rate. */
  REFUSED_RIGHTFUL = 'refused_rightful',
  /** The request was refused although its workspace was within its rate. */
  REFUSED_WRONGFUL = 'refused_wrongful',
}

/** Outcome and latencies of an online request that ended. */
export interface RequestRecord {
  workspace: string;
  /** Name of the model, or path of the route. */
  target: string;
  outcome: RequestOutcome;
  /**
   * Time to the first token or byte, milliseconds; absent without an answer.
   */
  firstTokenMs?: number;
  /** Mean time between tokens, milliseconds. */
  betweenTokensMs?: number;
  /** Latency objectives of the pool, milliseconds. */
  objectives: {firstTokenMs: number; betweenTokensMs: number};
}

/** Windows and limits of a {@link ServiceLevelRecorder}. */
export interface RecorderOptions {
  /** Length of the short window, milliseconds. */
  shortWindowMs: number;
  /** Length of the long window, milliseconds. */
  longWindowMs: number;
  /** Maximum number of series; requests of further series are counted in a common one. */
  maxSeries: number;
}

/** Default options: windows of 5 minutes and 1 hour. */
export const DEFAULT_RECORDER_OPTIONS: RecorderOptions = {
  shortWindowMs: 300_000,
  longWindowMs: 3_600_000,
  maxSeries: 16_384,
};

/** Number of time slices of the short window. */
const SHORT_SLICES = 10;

/** Number of time slices of the long window. */
const LONG_SLICES = 12;

/**
 * Workspace and target of the common series, in which requests are counted when
 * the maximum number of series is reached.
 */
export const OTHER_WORKSPACE = '(other)';

/** Workspace and target that identify a series. */
interface SeriesName {
  workspace: string;
  target: string;
}

/** Counter of each outcome for which the latencies don't matter. */
const KIND_BY_OUTCOME = new Map<RequestOutcome, CountKind>([
  [RequestOutcome.FAILED, CountKind.ERROR],
  [RequestOutcome.REFUSED_RIGHTFUL, CountKind.REFUSED_RIGHTFUL],
  [RequestOutcome.REFUSED_WRONGFUL, CountKind.REFUSED_WRONGFUL],
]);

/** Records the outcomes and latencies of online requests in bounded memory. */
export class ServiceLevelRecorder {
  private readonly indexes = new Map<string, Map<string, number>>();
  private readonly names: SeriesName[] = [];
  /** Series found idle by the last scan that were not reused since. */
  private idleSeries: number[] = [];
  private nextIdleScanMs = 0;
  private readonly short: WindowCounts;
  private readonly long: WindowCounts;
  private readonly latencies: TargetLatencies;

  /**
   * @param host - name of this host
   * @param clock - monotonic time
   * @param options - windows and limits
   */
  constructor(
    private readonly host: string,
    private readonly clock: Clock,
    private readonly options: RecorderOptions = DEFAULT_RECORDER_OPTIONS,
  ) {
    const {shortWindowMs, longWindowMs} = options;
    this.short = new WindowCounts(shortWindowMs / SHORT_SLICES, SHORT_SLICES);
    this.long = new WindowCounts(longWindowMs / LONG_SLICES, LONG_SLICES);
    this.latencies = new TargetLatencies(longWindowMs / 2);
  }

  /** Records an online request that ended. */
  record(request: RequestRecord): void {
    const nowMs = this.clock.now();
    const kind = chooseKind(request);
    const series = this.findSeries(request.workspace, request.target);
    this.short.record(series, kind, nowMs);
    this.long.record(series, kind, nowMs);
    const {firstTokenMs, betweenTokensMs, target} = request;
    if (firstTokenMs === undefined) return;
    this.latencies.record(target, firstTokenMs, betweenTokensMs, nowMs);
  }

  /**
   * Encodes the recorded series and latencies as a report, to be merged with
   * the reports of other hosts.
   *
   * @param query - series that are wanted; all when absent. The report contains
   *     no latencies when only series with a bad request are wanted
   */
  encode(query: ServiceLevelQuery = {onlyBad: false}): ServiceLevelReport {
    const nowMs = this.clock.now();
    const wanted = query.workspaces && new Set(query.workspaces);
    const series: ServiceLevelSeries[] = [];
    for (const [index, name] of this.names.entries()) {
      if (wanted && !wanted.has(name.workspace)) continue;
      const long = convertCounts(this.long.sum(index, nowMs));
      if (countAll(long) === 0) continue;
      if (query.onlyBad && countBad(long) === 0) continue;
      const short = convertCounts(this.short.sum(index, nowMs));
      series.push({...name, short, long});
    }
    const {shortWindowMs, longWindowMs} = this.options;
    const latencies = query.onlyBad ? [] : this.latencies.encode(nowMs);
    return {
      hosts: [this.host],
      shortWindowMs,
      longWindowMs,
      series,
      latencies,
    };
  }

  private findSeries(workspace: string, target: string): number {
    const known = this.indexes.get(workspace)?.get(target);
    if (known !== undefined) return known;
    const isFull = this.names.length >= this.options.maxSeries;
    if (!isFull) return this.addSeries(workspace, target);
    const reused = this.takeIdleSeries(workspace, target);
    if (reused !== undefined) return reused;
    const other = this.indexes.get(OTHER_WORKSPACE)?.get(OTHER_WORKSPACE);
    return other ?? this.addSeries(OTHER_WORKSPACE, OTHER_WORKSPACE);
  }

  private addSeries(workspace: string, target: string): number {
    const index = this.names.length;
    this.names.push({workspace, target});
    this.setIndex(workspace, target, index);
    return index;
  }

  /**
   * Reuses a series that has no request in the long window for another
   * workspace and target. To keep the cost of a request low, all series are
   * scanned for idle ones at most once per slice of the long window.
   *
   * @returns the index of the series, or undefined when no series is idle
   */
  private takeIdleSeries(
    workspace: string,
    target: string,
  ): number | undefined {
    const nowMs = this.clock.now();
    if (nowMs >= this.nextIdleScanMs) {
      this.nextIdleScanMs = nowMs + this.options.longWindowMs / LONG_SLICES;
      this.idleSeries = this.listIdleSeries(nowMs);
    }
    let index = this.idleSeries.pop();
    while (index !== undefined && !this.isIdle(index, nowMs)) {
      index = this.idleSeries.pop();
    }
    if (index === undefined) return undefined;
    const name = this.names[index];
    if (name) this.indexes.get(name.workspace)?.delete(name.target);
    this.short.clear(index);
    this.names[index] = {workspace, target};
    this.setIndex(workspace, target, index);
    return index;
  }

  private listIdleSeries(nowMs: number): number[] {
    const idle: number[] = [];
    for (const [index, name] of this.names.entries()) {
      if (name.workspace === OTHER_WORKSPACE) continue;
      if (this.isIdle(index, nowMs)) idle.push(index);
    }
    return idle;
  }

  private isIdle(series: number, nowMs: number): boolean {
    return this.long.sum(series, nowMs).every((count) => count === 0);
  }

  private setIndex(workspace: string, target: string, index: number): void {
    const targets = this.indexes.get(workspace) ?? new Map<string, number>();
    targets.set(target, index);
    this.indexes.set(workspace, targets);
  }
}

/** Counts all requests of a window. */
export function countAll(counts: ServiceLevelCounts): number {
  return counts.good + countBad(counts) + counts.refusedRightful;
}

/**
 * Counts the bad requests of a window. Requests refused because their workspace
 * was above its rate are not bad.
 */
export function countBad(counts: ServiceLevelCounts): number {
  return (
    counts.lateFirstToken +
    counts.lateBetweenTokens +
    counts.error +
    counts.refusedWrongful
  );
}

function chooseKind(request: RequestRecord): CountKind {
  const kind = KIND_BY_OUTCOME.get(request.outcome);
  if (kind !== undefined) return kind;
  const {firstTokenMs = 0, betweenTokensMs = 0, objectives} = request;
  if (firstTokenMs > objectives.firstTokenMs) return CountKind.LATE_FIRST_TOKEN;
  const isSlow = betweenTokensMs > objectives.betweenTokensMs;
  return isSlow ? CountKind.LATE_BETWEEN_TOKENS : CountKind.GOOD;
}

function convertCounts(sums: readonly number[]): ServiceLevelCounts {
  return {
    good: sums[CountKind.GOOD] ?? 0,
    lateFirstToken: sums[CountKind.LATE_FIRST_TOKEN] ?? 0,
    lateBetweenTokens: sums[CountKind.LATE_BETWEEN_TOKENS] ?? 0,
    error: sums[CountKind.ERROR] ?? 0,
    refusedRightful: sums[CountKind.REFUSED_RIGHTFUL] ?? 0,
    refusedWrongful: sums[CountKind.REFUSED_WRONGFUL] ?? 0,
  };
}
