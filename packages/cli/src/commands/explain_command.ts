/** Shows the timeline of one request from the logs of any number of daemons. */
import {ServingEvent} from '@savoryspur/common';
import {err, ok, type Result} from 'neverthrow';
import type {CliError} from '../cli_error.js';
import {
  type CommandContext,
  type CommandSpec,
  createArgumentError,
} from '../command.js';
import {ExitCode} from '../exit_code.js';
import {type LogLine, readLogLines} from '../log_lines.js';

/**
 * Time before the first log line of a request from which status events belong to
 * its context, milliseconds.
 */
const CONTEXT_BEFORE_MS = 3000;

/** Maximum number of context lines to print. */
const MAX_CONTEXT_LINES = 20;

/**
 * First and last number of the status events. A status event records a change in
 * what a daemon knows of the environment, the storage, owners, other daemons and
 * backend servers.
 */
const STATUS_EVENTS = {
  first: ServingEvent.TABLE_UNAVAILABLE,
  last: ServingEvent.HOLDER_EXPIRED,
};

/** Fields that every line has, which a timeline does not print as `name=value`. */
const COMMON_FIELDS = new Set([
  'time',
  'level',
  'event',
  'text',
  'host',
  'requestId',
]);

/** Log lines of one request, item or job, and their context. */
export interface RequestTimeline {
  requestId: string;
  /** Lines that name the request, item or job, ordered by time. */
  lines: LogLine[];
  /** Status events of the same daemons shortly before and during the request. */
  context: LogLine[];
}

/** Command `explain`. */
export const EXPLAIN_COMMAND: CommandSpec = {
  usage: 'explain <id> [...files]',
  description: 'Tell from logs what happened to a request, item or batch job',
  options: [],
  run: (context) => Promise.resolve(explain(context)),
};

function explain(
  context: CommandContext,
): Result<{text: string; json: unknown}, CliError> {
  // The first argument is the id; the second is the list of files.
  const [id, ...files] = context.args.flat();
  if (!id) return err(createArgumentError('id', id, 'the id of a request'));
  return readLogLines(context, files).andThen((lines) => {
    const timeline = findTimeline(id, lines);
    if (timeline.lines.length > 0) {
      return ok({text: renderTimeline(timeline), json: timeline});
    }
    const message = `id: found no line of ${id} in ${lines.length} lines, expected one or more`;
    return err({exitCode: ExitCode.NOT_FOUND, message});
  });
}

/**
 * Finds the log lines of one request, item or job on all daemons.
 *
 * @param requestId - id of the request, item or job
 * @param lines - log lines of any number of daemons
 */
export function findTimeline(
  requestId: string,
  lines: readonly LogLine[],
): RequestTimeline {
  const matching = lines.filter(
    (line) => line.requestId === requestId || line.jobId === requestId,
  );
  matching.sort(compareTimes);
  const first = matching[0];
  const last = matching.at(-1);
  if (!first || !last) return {requestId, lines: [], context: []};
  const hosts = new Set(matching.map((line) => line.host));
  const fromMs = Date.parse(first.time) - CONTEXT_BEFORE_MS;
  const toMs = Date.parse(last.time);
  const context = lines.filter((line) => {
    const ms = Date.parse(line.time);
    const isStatusEvent =
      line.event >= STATUS_EVENTS.first && line.event <= STATUS_EVENTS.last;
    return isStatusEvent && hosts.has(line.host) && ms >= fromMs && ms <= toMs;
  });
  context.sort(compareTimes);
  return {
    requestId,
    lines: matching,
    context: context.slice(-MAX_CONTEXT_LINES),
  };
}

function compareTimes(a: LogLine, b: LogLine): number {
  return Date.parse(a.time) - Date.parse(b.time);
}

function renderTimeline(timeline: RequestTimeline): string {
  const startMs = Date.parse(timeline.lines[0]?.time ?? '');
  const renderLine = (line: LogLine): string => {
    const offsetMs = Date.parse(line.time) - startMs;
    const fields = Object.entries(line)
      .filter(([name]) => !COMMON_FIELDS.has(name))
      .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
    const parts = [`${offsetMs} ms`.padStart(9), line.host, line.text];
    return `${[...parts, ...fields].join('  ')}\n`;
  };
  const hosts = new Set(timeline.lines.map((line) => line.host));
  const note =
    hosts.size > 1
      ? ' (lines of several daemons, whose clocks may differ)'
      : '';
  const context =
    timeline.context.length === 0
      ? 'No status events of these daemons from shortly before the first line to the last line.\n'
      : `Status events of these daemons from shortly before the first line to the last line:\n${timeline.context.map(renderLine).join('')}`;
  return `${timeline.requestId}${note}\n${timeline.lines.map(renderLine).join('')}${context}`;
}
