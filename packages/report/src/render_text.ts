/** Renders a burn report as a text table. */
import type {BurnReport, BurnRow, JobAtRisk} from '@savoryspur/schema';

const MS_PER_MINUTE = 60_000;

/** Maximum number of rows of the table. */
const MAX_ROWS = 40;

const HEADINGS = [
  'WORKSPACE',
  'TARGET',
  'OBJECTIVE',
  'STATE',
  'SHORT',
  'LONG',
  'GOOD',
  'LATE',
  'ERRORS',
  'WRONGFUL',
  'RIGHTFUL',
];

/** Renders rows of cells as aligned columns. */
export function renderColumns(rows: readonly string[][]): string {
  const widths: number[] = [];
  for (const row of rows) {
    for (const [column, cell] of row.entries()) {
      widths[column] = Math.max(widths[column] ?? 0, cell.length);
    }
  }
  const lines = rows.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
  return lines.join('\n');
}

/** Renders the length of a window in minutes. */
export function formatWindow(ms: number): string {
  return `${Math.round((ms / MS_PER_MINUTE) * 10) / 10} min`;
}

/** Renders the report for a terminal. */
export function renderBurnText(report: BurnReport): string {
  const parts = [
    renderSummary(report),
    renderColumns([
      HEADINGS,
      ...report.rows.slice(0, MAX_ROWS).map((row) => listCells(row)),
    ]),
  ];
  const hidden = report.rows.length - MAX_ROWS;
  if (hidden > 0) parts.push(`${hidden} more rows with --json`);
  parts.push(renderTargets(report), renderJobs(report.jobsAtRisk));
  return `${parts.join('\n\n')}\n`;
}

function renderSummary(report: BurnReport): string {
  const lines = [
    `Service-level burn at ${report.generatedAt}, ${report.hosts} hosts`,
    `Windows: short ${formatWindow(report.shortWindowMs)}, long ${formatWindow(report.longWindowMs)}; burn 1 spends the budget exactly`,
    `Worst workspace: ${report.worstWorkspace ?? 'none'}`,
    `Wrongful refusals: ${report.wrongfulRefusals}`,
  ];
  if (report.missingHosts.length > 0) {
    lines.push(`Not counted, no answer: ${report.missingHosts.join(', ')}`);
  }
  return lines.join('\n');
}

function listCells(row: BurnRow): string[] {
  const {counts} = row;
  return [
    row.workspace,
    row.target,
    String(row.objective),
    row.state,
    row.shortBurn.toFixed(2),
    row.longBurn.toFixed(2),
    String(counts.good),
    String(counts.lateFirstToken + counts.lateBetweenTokens),
    String(counts.error),
    String(counts.refusedWrongful),
    String(counts.refusedRightful),
  ];
}

function renderTargets(report: BurnReport): string {
  const rows = report.targets.map((target) => [
    target.target,
    String(target.requests),
    target.firstTokenP50Ms.toFixed(1),
    target.firstTokenP95Ms.toFixed(1),
    target.firstTokenP99Ms.toFixed(1),
    target.betweenTokensP50Ms.toFixed(1),
    target.betweenTokensP95Ms.toFixed(1),
    target.betweenTokensP99Ms.toFixed(1),
  ]);
  const headings = ['TARGET', 'REQUESTS', 'FIRST P50 MS', 'P95', 'P99'];
  return renderColumns([
    [...headings, 'BETWEEN P50 MS', 'P95', 'P99'],
    ...rows,
  ]);
}

function renderJobs(jobs: readonly JobAtRisk[]): string {
  if (jobs.length === 0) return 'Jobs at risk: none';
  const rows = jobs.map((job) => [
    job.jobId,
    job.workspace,
    String(job.remainingItems),
    job.dueAt,
    job.expectedAt ?? 'no progress',
  ]);
  return renderColumns([
    ['JOB AT RISK', 'WORKSPACE', 'ITEMS LEFT', 'DUE', 'EXPECTED'],
    ...rows,
  ]);
}
