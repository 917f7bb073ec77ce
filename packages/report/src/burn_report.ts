/** Computes error-budget burn rates from a merged service-level report. */
import {LatencyHistogram} from '@savoryspur/common';
import {
  type BurnReport,
  type BurnRow,
  BurnState,
  type JobAtRisk,
  type ServiceLevelCounts,
  type ServiceLevelReport,
  type ServiceLevelSeries,
  type TargetLatency,
  type TargetPercentiles,
} from '@savoryspur/schema';
import {countBad} from './service_level_recorder.js';

/** Data from which a burn report is computed. */
export interface BurnInput {
  /** Merged report of all hosts that answered. */
  report: ServiceLevelReport;
  /** Hosts that did not answer. */
  missingHosts: string[];
  /** Fraction of requests that must be good, by workspace. */
  objectives: ReadonlyMap<string, number>;
  jobsAtRisk: JobAtRisk[];
  /** Wall-clock time of the report. */
  generatedAt: Date;
}

/** Objective of workspaces that were removed from the configuration. */
const DEFAULT_OBJECTIVE = 0.95;

/**
 * Burn rate at which the error budget is spent exactly as fast as it accrues.
 */
const SUSTAINABLE_BURN_RATE = 1;

/** Computes the burn report: a row for each series, highest burn rate first. */
export function computeBurnReport(input: BurnInput): BurnReport {
  const {report, objectives} = input;
  const rows = report.series.map((series) =>
    computeRow(series, objectives.get(series.workspace) ?? DEFAULT_OBJECTIVE),
  );
  rows.sort(compareRows);
  const worst = rows.find((row) => row.bad > 0);
  return {
    generatedAt: input.generatedAt.toISOString(),
    hosts: report.hosts.length,
    missingHosts: input.missingHosts,
    shortWindowMs: report.shortWindowMs,
    longWindowMs: report.longWindowMs,
    rows,
    ...(worst && {worstWorkspace: worst.workspace}),
    wrongfulRefusals: rows.reduce(
      (sum, row) => sum + row.counts.refusedWrongful,
      0,
    ),
    targets: report.latencies.map((latency) => computePercentiles(latency)),
    jobsAtRisk: input.jobsAtRisk,
  };
}

/**
 * Computes an error-budget burn rate: the fraction of requests that were bad,
 * divided by the fraction that the objective allows to be bad.
 *
 * @param counts - requests of one window
 * @param objective - fraction of requests that must be good, below 1
 * @returns the burn rate; 0 without requests
 */
export function computeBurnRate(
  counts: ServiceLevelCounts,
  objective: number,
): number {
  const bad = countBad(counts);
  const total = counts.good + bad;
  if (total === 0) return 0;
  return bad / total / (1 - objective);
}

function computeRow(series: ServiceLevelSeries, objective: number): BurnRow {
  const shortBurn = computeBurnRate(series.short, objective);
  const longBurn = computeBurnRate(series.long, objective);
  return {
    workspace: series.workspace,
    target: series.target,
    objective,
    state: chooseState(shortBurn, longBurn),
    shortBurn,
    longBurn,
    good: series.long.good,
    bad: countBad(series.long),
    counts: series.long,
  };
}

/**
 * Chooses the state of a series: burning when both windows are above the
 * sustainable burn rate, spent when only the long window is, met otherwise.
 */
function chooseState(shortBurn: number, longBurn: number): BurnState {
  if (longBurn <= SUSTAINABLE_BURN_RATE) return BurnState.MET;
  return shortBurn > SUSTAINABLE_BURN_RATE
    ? BurnState.BURNING
    : BurnState.SPENT;
}

function compareRows(a: BurnRow, b: BurnRow): number {
  if (a.longBurn !== b.longBurn) return b.longBurn - a.longBurn;
  if (a.shortBurn !== b.shortBurn) return b.shortBurn - a.shortBurn;
  if (a.workspace !== b.workspace) return a.workspace < b.workspace ? -1 : 1;
  return a.target < b.target ? -1 : 1;
}

function computePercentiles(latency: TargetLatency): TargetPercentiles {
  const firstToken = LatencyHistogram.decode(latency.firstToken);
  const betweenTokens = LatencyHistogram.decode(latency.betweenTokens);
  return {
    target: latency.target,
    requests: firstToken.count(),
    firstTokenP50Ms: firstToken.computePercentile(50),
    firstTokenP95Ms: firstToken.computePercentile(95),
    firstTokenP99Ms: firstToken.computePercentile(99),
    betweenTokensP50Ms: betweenTokens.computePercentile(50),
    betweenTokensP95Ms: betweenTokens.computePercentile(95),
    betweenTokensP99Ms: betweenTokens.computePercentile(99),
  };
}
