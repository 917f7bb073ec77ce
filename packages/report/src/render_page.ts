/** Renders a burn report as one self-contained HTML page. */
import {
  type BurnReport,
  type BurnRow,
  BurnState,
  type JobAtRisk,
} from '@savoryspur/schema';
import {formatWindow} from './render_text.js';

/** Maximum number of rows of the chart. */
const MAX_CHART_ROWS = 30;

/** Length of a bar that reaches the right end of the chart, pixels. */
const MAX_BAR_WIDTH_PX = 420;

/** Height of one row of the chart, pixels. */
const ROW_HEIGHT_PX = 26;

/** Left end of the bars, pixels; the space before it holds the labels. */
const BARS_LEFT_PX = 260;

/** Lowest burn rate that the right end of the chart stands for. */
const MIN_CHART_BURN_RATE = 2;

const COLORS: Record<BurnState, string> = {
  [BurnState.MET]: '#3a7d44',
  [BurnState.SPENT]: '#c98a1b',
  [BurnState.BURNING]: '#b3261e',
};

const STYLE =
  'body{font:14px system-ui,sans-serif;margin:2em;color:#222}' +
  'table{border-collapse:collapse;margin:1em 0}' +
  'td,th{padding:4px 10px;border-bottom:1px solid #ddd;text-align:left}' +
  'td.n{text-align:right;font-variant-numeric:tabular-nums}' +
  'svg text{font:12px system-ui,sans-serif}';

/** Renders the page. It loads no external resources. */
export function renderBurnPage(report: BurnReport): string {
  return [
    '<!doctype html><html lang="en"><head><meta charset="utf-8">',
    `<title>Service-level burn</title><style>${STYLE}</style></head><body>`,
    '<h1>Service-level burn</h1>',
    renderSummary(report),
    renderChart(report),
    renderRows(report.rows),
    renderLatencies(report),
    renderJobs(report.jobsAtRisk),
    '</body></html>\n',
  ].join('\n');
}

function renderSummary(report: BurnReport): string {
  const missing = report.missingHosts.join(', ') || 'none';
  return (
    `<p>${formatHtml(report.generatedAt)}, ${report.hosts} hosts; without an ` +
    `answer: ${formatHtml(missing)}. Short window ` +
    `${formatWindow(report.shortWindowMs)}, long window ` +
    `${formatWindow(report.longWindowMs)}.</p>` +
    `<p>Worst workspace: <b>${formatHtml(report.worstWorkspace ?? 'none')}</b>. ` +
    `Wrongful refusals: <b>${report.wrongfulRefusals}</b>.</p>`
  );
}

/**
 * Renders the chart: for each row a bar for the long window above a bar for the
 * short window, and a vertical line at burn rate 1.
 */
function renderChart(report: BurnReport): string {
  const rows = report.rows.slice(0, MAX_CHART_ROWS);
  const burns = rows.flatMap((row) => [row.longBurn, row.shortBurn]);
  const scale = Math.max(MIN_CHART_BURN_RATE, ...burns);
  const height = (rows.length + 1) * ROW_HEIGHT_PX;
  const sustainableX = BARS_LEFT_PX + MAX_BAR_WIDTH_PX / scale;
  const bars = rows.map((row, index) => renderBars(row, index, scale));
  return [
    `<svg role="img" aria-label="Burn rates" width="${BARS_LEFT_PX + MAX_BAR_WIDTH_PX + 80}" height="${height}">`,
    ...bars,
    `<line x1="${sustainableX}" y1="0" x2="${sustainableX}" y2="${height - ROW_HEIGHT_PX}" stroke="#222" stroke-dasharray="4 3"/>`,
    `<text x="${sustainableX}" y="${height - 8}" text-anchor="middle">burn 1</text>`,
    '</svg>',
  ].join('\n');
}

function renderBars(row: BurnRow, index: number, scale: number): string {
  const top = index * ROW_HEIGHT_PX;
  const long = (row.longBurn / scale) * MAX_BAR_WIDTH_PX;
  const short = (row.shortBurn / scale) * MAX_BAR_WIDTH_PX;
  const color = COLORS[row.state];
  const label = `${row.workspace} ${row.target}`;
  const end = BARS_LEFT_PX + Math.max(long, short) + 6;
  return (
    `<text x="${BARS_LEFT_PX - 8}" y="${top + 16}" text-anchor="end">${formatHtml(label)}</text>` +
    `<rect x="${BARS_LEFT_PX}" y="${top + 3}" width="${long.toFixed(1)}" height="10" fill="${color}"/>` +
    `<rect x="${BARS_LEFT_PX}" y="${top + 14}" width="${short.toFixed(1)}" height="6" fill="${color}" opacity="0.5"/>` +
    `<text x="${end.toFixed(1)}" y="${top + 16}">${row.longBurn.toFixed(2)} / ${row.shortBurn.toFixed(2)}</text>`
  );
}

function renderRows(rows: readonly BurnRow[]): string {
  const cells = rows.map((row) => [
    row.workspace,
    row.target,
    row.objective,
    row.state,
    row.longBurn.toFixed(2),
    row.shortBurn.toFixed(2),
    row.good,
    row.counts.lateFirstToken,
    row.counts.lateBetweenTokens,
    row.counts.error,
    row.counts.refusedWrongful,
    row.counts.refusedRightful,
  ]);
  const headings =
    'Workspace,Target,Objective,State,Long burn,Short burn,Good,Late first ' +
    'token,Late between tokens,Errors,Wrongful refusals,Rightful refusals';
  return renderTable(headings.split(','), cells);
}

function renderLatencies(report: BurnReport): string {
  const cells = report.targets.map((target) => [
    target.target,
    target.requests,
    target.firstTokenP50Ms.toFixed(1),
    target.firstTokenP95Ms.toFixed(1),
    target.firstTokenP99Ms.toFixed(1),
    target.betweenTokensP50Ms.toFixed(1),
    target.betweenTokensP95Ms.toFixed(1),
    target.betweenTokensP99Ms.toFixed(1),
  ]);
  const headings =
    'Target,Requests,First token p50 ms,p95,p99,Between tokens p50 ms,p95,p99';
  return `<h2>Latencies</h2>${renderTable(headings.split(','), cells)}`;
}

function renderJobs(jobs: readonly JobAtRisk[]): string {
  if (jobs.length === 0) return '<h2>Jobs at risk</h2><p>None.</p>';
  const cells = jobs.map((job) => [
    job.jobId,
    job.workspace,
    job.remainingItems,
    job.dueAt,
    job.expectedAt ?? 'no progress',
  ]);
  const headings = ['Job', 'Workspace', 'Items left', 'Due', 'Expected'];
  return `<h2>Jobs at risk</h2>${renderTable(headings, cells)}`;
}

function renderTable(
  headings: readonly string[],
  rows: ReadonlyArray<ReadonlyArray<string | number>>,
): string {
  const head = headings.map((text) => `<th>${formatHtml(text)}</th>`).join('');
  const body = rows.map((row) => `<tr>${row.map(renderCell).join('')}</tr>`);
  return `<table><tr>${head}</tr>${body.join('')}</table>`;
}

function renderCell(cell: string | number): string {
  const text = String(cell);
  const isNumber = text !== '' && Number.isFinite(Number(text));
  return `<td${isNumber ? ' class="n"' : ''}>${formatHtml(text)}</td>`;
}

function formatHtml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}
