/** Tells the story of one request from the logs of any number of daemons. */
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

/** Time before a request's first line in which changes of belief count as its context, milliseconds. */
const CONTEXT_MS = 3000;

/** Most lines of context that are printed. */
const MAX_CONTEXT_LINES = 20;

/** First and last event number of what changes the beliefs of a daemon. */
const BELIEF_EVENTS = {
  first: ServingEvent.TABLE_UNAVAILABLE,
  last: ServingEvent.HOLDER_EXPIRED,
};

/** Fields that every line has, and that the story shows apart. */
const COMMON_FIELDS = new Set([
  'time',
  'level',
  'event',
  'text',
  'host',
  'requestId',
]);

/** What the logs say of one request. */
export interface RequestStory {
  requestId: string;
  /** Lines that name the request, or the job, in order. */
  lines: LogLine[];
  /** Changes of belief on the same daemons shortly before and meanwhile. */
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
  // The arguments hold the id and then the list of files.
  const [id, ...files] = context.args.flat();
  if (!id) return err(createArgumentError('id', id, 'the id of a request'));
  return readLogLines(context, files).andThen((lines) => {
    const story = findStory(id, lines);
    if (story.lines.length > 0) {
      return ok({text: renderStory(story), json: story});
    }
    const message = `id: found no line of ${id} in ${lines.length} lines, expected one or more`;
    return err({exitCode: ExitCode.NOT_FOUND, message});
  });
}

/**
 * Finds the lines of one request, item or job over all daemons.
 *
 * @param requestId - id of the request, item or job
 * @param lines - lines of any number of daemons
 */
export function findStory(
  requestId: string,
  lines: readonly LogLine[],
): RequestStory {
  const own = lines.filter(
    (line) => line.requestId === requestId || line.jobId === requestId,
  );
  own.sort(compareTimes);
  const first = own[0];
  const last = own.at(-1);
  if (!first || !last) return {requestId, lines: [], context: []};
  const hosts = new Set(own.map((line) => line.host));
  const fromMs = Date.parse(first.time) - CONTEXT_MS;
  const toMs = Date.parse(last.time);
  const context = lines.filter((line) => {
    const ms = Date.parse(line.time);
    const isBelief =
      line.event >= BELIEF_EVENTS.first && line.event <= BELIEF_EVENTS.last;
    return isBelief && hosts.has(line.host) && ms >= fromMs && ms <= toMs;
  });
  context.sort(compareTimes);
  return {requestId, lines: own, context: context.slice(-MAX_CONTEXT_LINES)};
}

function compareTimes(a: LogLine, b: LogLine): number {
  return Date.parse(a.time) - Date.parse(b.time);
}

function renderStory(story: RequestStory): string {
  const startMs = Date.parse(story.lines[0]?.time ?? '');
  const render = (line: LogLine): string => {
    const offsetMs = Date.parse(line.time) - startMs;
    const fields = Object.entries(line)
      .filter(([name]) => !COMMON_FIELDS.has(name))
      .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
    const parts = [`${offsetMs} ms`.padStart(9), line.host, line.text];
    return `${[...parts, ...fields].join('  ')}\n`;
  };
  const hosts = new Set(story.lines.map((line) => line.host));
  const note =
    hosts.size > 1 ? ' (clocks of several daemons; they may differ)' : '';
  const context =
    story.context.length === 0
      ? 'No belief of these daemons changed shortly before or meanwhile.\n'
      : `What these daemons came to believe shortly before and meanwhile:\n${story.context.map(render).join('')}`;
  return `${story.requestId}${note}\n${story.lines.map(render).join('')}${context}`;
}
