/**
 * Collects the reports of all hosts for one burn report. A large site is asked in
 * two rounds: first the series with bad requests, then all series of their
 * workspaces. Workspaces without a bad request burn nothing and are not sent.
 */
import type {ServiceLevelQuery, ServiceLevelReport} from '@savoryspur/schema';
import {ReportMerger} from './report_merger.js';
import {countBad} from './service_level_recorder.js';

/** Hosts that are asked at once. */
const MAX_CONCURRENT_HOSTS = 16;

/** Workspaces of which all series are collected. */
const MAX_FULLY_COLLECTED_WORKSPACES = 200;

/** What the collector needs. */
export interface ReportCollectorContext {
  /** Hosts believed alive, this one included. */
  hosts: readonly string[];
  /** Workspaces of the environment. */
  workspaceCount: number;
  /**
   * Asks one host, bounded in time.
   *
   * @returns its report, or undefined when it did not answer
   */
  fetchReport(
    host: string,
    query: ServiceLevelQuery,
  ): Promise<ServiceLevelReport | undefined>;
}

/** Reports of all hosts that answered both rounds. */
export interface CollectedReport {
  report: ServiceLevelReport;
  /** Hosts that did not answer. */
  missingHosts: string[];
}

/** Collects and merges. */
export async function collectReports(
  context: ReportCollectorContext,
): Promise<CollectedReport> {
  const merger = new ReportMerger();
  const query = await chooseQuery(context);
  await collectRound(context, query, (report) => merger.add(report));
  const report = merger.build();
  const answered = new Set(report.hosts);
  const missingHosts = context.hosts.filter((host) => !answered.has(host));
  return {report, missingHosts};
}

/** Asks for everything at a small site, else for workspaces that burn. */
async function chooseQuery(
  context: ReportCollectorContext,
): Promise<ServiceLevelQuery> {
  if (context.workspaceCount <= MAX_FULLY_COLLECTED_WORKSPACES)
    return {onlyBad: false};
  const bad = new ReportMerger();
  await collectRound(context, {onlyBad: true}, (report) => bad.add(report));
  return {onlyBad: false, workspaces: chooseWorkspaces(bad.build())};
}

/** Chooses the workspaces with the most bad requests. */
function chooseWorkspaces(report: ServiceLevelReport): string[] {
  const badCounts = new Map<string, number>();
  for (const {workspace, long} of report.series) {
    const bad = countBad(long);
    badCounts.set(workspace, (badCounts.get(workspace) ?? 0) + bad);
  }
  const ranked = [...badCounts].sort((a, b) => b[1] - a[1]);
  return ranked
    .slice(0, MAX_FULLY_COLLECTED_WORKSPACES)
    .map(([workspace]) => workspace);
}

async function collectRound(
  context: ReportCollectorContext,
  query: ServiceLevelQuery,
  addReport: (report: ServiceLevelReport) => void,
): Promise<void> {
  const pendingHosts = [...context.hosts];
  const fetchNext = async (): Promise<void> => {
    let host = pendingHosts.shift();
    while (host !== undefined) {
      const report = await context.fetchReport(host, query);
      if (report) addReport(report);
      host = pendingHosts.shift();
    }
  };
  await Promise.all(Array.from({length: MAX_CONCURRENT_HOSTS}, fetchNext));
}
