/** Counts from logs what failed, by cause, and lists what has none. */
import {ServingEvent} from '@savoryspur/common';
import type {Result} from 'neverthrow';
import type {CliError} from '../cli_error.js';
import type {CommandContext, CommandOutput, CommandSpec} from '../command.js';
import {type LogLine, readLogLines} from '../log_lines.js';

/** Most requests without a cause that are printed. */
const MAX_LISTED = 20;

/** Part of the time to the first byte from which the wait for a place is the cause of a late answer. */
const MAIN_PART = 0.5;

/** How a request or item ended, as its last line tells. */
export enum FailureKind {
  REFUSED = 'refused',
  FAILED = 'failed',
  LATE = 'late',
  ABANDONED = 'abandoned',
  DEAD_LETTERED = 'dead_lettered',
  /** Its daemon wrote no last line. */
  UNFINISHED = 'unfinished',
}

/** A request or item that was not served in time. */
export interface Failure {
  requestId: string;
  kind: FailureKind;
  /** Why; undefined when the logs do not tell. */
  cause?: string;
  host: string;
}

/** Finds out why a request ended as its last line tells. */
type CauseFinder = (last: LogLine, story: readonly LogLine[]) => Failure[];

/** Command `failures`. */
export const FAILURES_COMMAND: CommandSpec = {
  usage: 'failures [...files]',
  description: 'Count from logs the requests that failed, by cause',
  options: [],
  run: (context) => Promise.resolve(report(context)),
};

function report(context: CommandContext): Result<CommandOutput, CliError> {
  return readLogLines(context, context.args.flat()).map((lines) => {
    const failures = findFailures(lines);
    return {text: renderFailures(failures), json: failures};
  });
}

/**
 * Finds the requests and items that were not served in time.
 *
 * @param lines - lines of any number of daemons
 */
export function findFailures(lines: readonly LogLine[]): Failure[] {
  const stories = new Map<string, LogLine[]>();
  const endedMs = new Map<string, number>();
  for (const line of lines) {
    if (ENDS_OF_DAEMONS.has(line.event)) {
      endedMs.set(line.host, Date.parse(line.time));
    }
    if (!line.requestId || !STORY_EVENTS.has(line.event)) continue;
    const name = `${line.host} ${line.requestId}`;
    const story = stories.get(name) ?? [];
    story.push(line);
    stories.set(name, story);
  }
  const failures: Failure[] = [];
  for (const story of stories.values()) {
    const last = story.findLast((line) => LAST_LINES.has(line.event));
    if (last) {
      failures.push(...(LAST_LINES.get(last.event)?.(last, story) ?? []));
      continue;
    }
    const [first] = story;
    if (!first) continue;
    const endMs = endedMs.get(first.host) ?? Number.NEGATIVE_INFINITY;
    if (Date.parse(first.time) > endMs) failures.push(createUnfinished(first));
  }
  return failures;
}

/** Daemons that stopped or started write no last line of what they had open. */
const ENDS_OF_DAEMONS = new Set<number>([
  ServingEvent.PROCESS_DRAINING,
  ServingEvent.PROCESS_STARTED,
]);

/** How the last line of a request tells its cause. */
const LAST_LINES = new Map<number, CauseFinder>([
  [ServingEvent.REQUEST_REFUSED, findRefusalCause],
  [ServingEvent.REQUEST_FAILED, findFailureCause],
  [ServingEvent.REQUEST_ANSWERED, findLateCause],
  [ServingEvent.REQUEST_ABANDONED, findAbandonedCause],
  [ServingEvent.ITEM_DEAD_LETTERED, findDeadCause],
]);

/** Lines that belong to the story of a request or dead item. */
const STORY_EVENTS = new Set<number>([
  ...LAST_LINES.keys(),
  ServingEvent.REQUEST_ATTEMPT_FAILED,
]);

function findRefusalCause(last: LogLine): Failure[] {
  const code = readText(last, 'code');
  const reason = readText(last, 'reason')?.replace(/ \(.*\)$/, '');
  const cause = code && reason ? `${code}: ${reason}` : undefined;
  return [createFailure(last, FailureKind.REFUSED, cause)];
}

function findFailureCause(last: LogLine, story: readonly LogLine[]): Failure[] {
  const attempt = findAttempt(story);
  const code = readText(last, 'code');
  const cause = attempt
    ? `${code}: call to a server ended ${readText(attempt, 'outcome')}`
    : `${code}: ${readText(last, 'reason')}`;
  const isKnown = code !== undefined && (attempt ?? last.reason) !== undefined;
  return [createFailure(last, FailureKind.FAILED, isKnown ? cause : undefined)];
}

function findLateCause(last: LogLine, story: readonly LogLine[]): Failure[] {
  if (last.isLate !== true) return [];
  return [createFailure(last, FailureKind.LATE, describeDelay(last, story))];
}

function describeDelay(
  last: LogLine,
  story: readonly LogLine[],
): string | undefined {
  const {calls, waitedMs, firstByteMs} = last;
  const attempt = findAttempt(story);
  if (attempt) return `an earlier call ended ${readText(attempt, 'outcome')}`;
  if (typeof calls !== 'number' || calls > 1) return undefined;
  if (typeof waitedMs !== 'number' || typeof firstByteMs !== 'number') {
    return undefined;
  }
  if (waitedMs > firstByteMs * MAIN_PART) return 'waited for a place';
  return 'the server was slow to answer';
}

function findAbandonedCause(
  last: LogLine,
  story: readonly LogLine[],
): Failure[] {
  const attempt = findAttempt(story);
  const during = attempt
    ? `after a call ended ${readText(attempt, 'outcome')}`
    : DURING_CALLS.get(Number(last.calls) > 0);
  return [createFailure(last, FailureKind.ABANDONED, `left ${during}`)];
}

/** What an abandoned request was doing, by whether it had been sent to a server. */
const DURING_CALLS = new Map([
  [true, 'while a server worked on it'],
  [false, 'while it waited for a place'],
]);

function findDeadCause(last: LogLine): Failure[] {
  const cause = readText(last, 'reason');
  return [createFailure(last, FailureKind.DEAD_LETTERED, cause)];
}

function createUnfinished(first: LogLine): Failure {
  return createFailure(first, FailureKind.UNFINISHED, undefined);
}

function createFailure(
  line: LogLine,
  kind: FailureKind,
  cause: string | undefined,
): Failure {
  return {requestId: line.requestId ?? '', kind, cause, host: line.host};
}

function findAttempt(story: readonly LogLine[]): LogLine | undefined {
  return story.findLast(
    (line) => line.event === ServingEvent.REQUEST_ATTEMPT_FAILED,
  );
}

function readText(line: LogLine, field: string): string | undefined {
  const value = line[field];
  return typeof value === 'string' ? value : undefined;
}

function renderFailures(failures: readonly Failure[]): string {
  const counts = new Map<string, number>();
  const unexplained: Failure[] = [];
  for (const failure of failures) {
    if (failure.cause === undefined) unexplained.push(failure);
    const name = `${failure.kind}: ${failure.cause ?? 'no cause found'}`;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  const rows = [...counts].sort((a, b) => b[1] - a[1]);
  const table = rows.map(([name, n]) => `${String(n).padStart(7)}  ${name}\n`);
  const listed = unexplained
    .slice(0, MAX_LISTED)
    .map(({requestId, host, kind}) => `  ${requestId}  ${host}  ${kind}\n`);
  const total = `${failures.length} not served in time, ${unexplained.length} without a cause\n`;
  return [...table, total, ...listed].join('');
}
