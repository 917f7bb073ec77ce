/**
 * Collects the service-level reports of all hosts for one burn report. In an
 * environment with many workspaces, hosts are queried in two rounds: first for
 * the series with bad requests, then for all series of the workspaces in those.
 * Workspaces without a bad request burn no error budget and are not
 * transferred.
 */
import type {ServiceLevelQuery, ServiceLevelReport} from '@savoryspur/schema';
import {ReportMerger} from './report_merger.js';
import {countBad} from './service_level_recorder.js';

/** Maximum number of hosts that are queried concurrently. */
const MAX_CONCURRENT_HOSTS = 16;

/**
 * Maximum number of workspaces of which all series are collected. With more
 * workspaces in the environment, only those with the most bad requests are collected.
 */
const MAX_FULLY_COLLECTED_WORKSPACES = 200;

/** Hosts to collect from, and how to query them. */
export interface ReportCollectorContext {
  /** Hosts that the membership view lists as alive, this host included. */
  hosts: readonly string[];
  /** Number of workspaces in the environment. */
  workspaceCount: number;
  /**
   * Fetches the report of one host, within a timeout.
   *
   * @returns the report, or undefined when the host did not answer
   */
  fetchReport(
    host: string,
    query: ServiceLevelQuery,
  ): Promise<ServiceLevelReport | undefined>;
}

/** Merged report of the hosts that answered the last round. */
export interface CollectedReport {
  report: ServiceLevelReport;
  /** Hosts that did not answer the last round. */
  missingHosts: string[];
}

/** Queries all hosts and merges their reports. */
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

/**
 * Chooses all series in an environment with few workspaces; otherwise runs the
 * first round and chooses the workspaces with bad requests.
 */
async function chooseQuery(
  context: ReportCollectorContext,
): Promise<ServiceLevelQuery> {
  if (context.workspaceCount <= MAX_FULLY_COLLECTED_WORKSPACES)
    return {onlyBad: false};
  const bad = new ReportMerger();
  await collectRound(context, {onlyBad: true}, (report) => bad.add(report));
  return {onlyBad: false, workspaces: chooseWorkspaces(bad.build())};
}

/** Chooses the workspaces with the most bad requests in the long window. */
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
