/**
 * Counts from logs the requests and batch items that were not served in time, by
 * cause, and lists those whose cause the logs do not tell.
 */
import {ServingEvent} from '@savoryspur/common';
import type {Result} from 'neverthrow';
import type {CliError} from '../cli_error.js';
import type {CommandContext, CommandOutput, CommandSpec} from '../command.js';
import {type LogLine, readLogLines} from '../log_lines.js';

/** Maximum number of requests without a known cause to list. */
const MAX_LISTED_REQUESTS = 20;

/**
 * Fraction of the time to the first byte above which the wait for a concurrency
 * slot counts as the cause of a late answer. The texts of causes call a slot a place.
 */
const MIN_SLOT_WAIT_FRACTION = 0.5;

/** How a request or item ended, according to its final event. */
export enum FailureKind {
  REFUSED = 'refused',
  FAILED = 'failed',
  LATE = 'late',
  ABANDONED = 'abandoned',
  DEAD_LETTERED = 'dead_lettered',
  /** The log has no final event of the request or item. */
  UNFINISHED = 'unfinished',
}

/** A request or item that was not served in time. */
export interface Failure {
  requestId: string;
  kind: FailureKind;
  /** Cause of the failure; undefined when the logs do not tell it. */
  cause?: string;
  host: string;
}

/**
 * Finds the cause of a failure.
 *
 * @param final - final event of the request or item
 * @param lines - all log lines of the request or item on one daemon
 * @returns the failure, or nothing when the request was served in time
 */
type FailureFinder = (final: LogLine, lines: readonly LogLine[]) => Failure[];

/** Command `failures`: counts failed requests from logs, by cause. */
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
 * @param lines - log lines of any number of daemons
 */
export function findFailures(lines: readonly LogLine[]): Failure[] {
  const linesByRequest = new Map<string, LogLine[]>();
  const endMsByHost = new Map<string, number>();
  for (const line of lines) {
    if (PROCESS_END_EVENTS.has(line.event)) {
      endMsByHost.set(line.host, Date.parse(line.time));
    }
    if (!line.requestId || !REQUEST_EVENTS.has(line.event)) continue;
    const name = `${line.host} ${line.requestId}`;
    const requestLines = linesByRequest.get(name) ?? [];
    requestLines.push(line);
    linesByRequest.set(name, requestLines);
  }
  const failures: Failure[] = [];
  for (const requestLines of linesByRequest.values()) {
    const final = requestLines.findLast((line) => FINAL_EVENTS.has(line.event));
    if (final) {
      failures.push(
        ...(FINAL_EVENTS.get(final.event)?.(final, requestLines) ?? []),
      );
      continue;
    }
    const [first] = requestLines;
    if (!first) continue;
    const endMs = endMsByHost.get(first.host) ?? Number.NEGATIVE_INFINITY;
    if (Date.parse(first.time) > endMs) failures.push(createUnfinished(first));
  }
  return failures;
}

/**
 * Events of a daemon's stop and start. The requests that were outstanding before
 * such an event get no final event, which is no failure.
 */
const PROCESS_END_EVENTS = new Set<number>([
  ServingEvent.PROCESS_DRAINING,
  ServingEvent.PROCESS_STARTED,
]);

/** Final events of requests and items, with the functions that find the causes. */
const FINAL_EVENTS = new Map<number, FailureFinder>([
  [ServingEvent.REQUEST_REFUSED, findRefusal],
  [ServingEvent.REQUEST_FAILED, findFailedRequest],
  [ServingEvent.REQUEST_ANSWERED, findLateAnswer],
  [ServingEvent.REQUEST_ABANDONED, findAbandonedRequest],
  [ServingEvent.ITEM_DEAD_LETTERED, findDeadLetteredItem],
]);

/** Events from which the failure of a request or item is found. */
const REQUEST_EVENTS = new Set<number>([
  ...FINAL_EVENTS.keys(),
  ServingEvent.REQUEST_ATTEMPT_FAILED,
]);

function findRefusal(final: LogLine): Failure[] {
  const code = getText(final, 'code');
  const reason = getText(final, 'reason')?.replace(/ \(.*\)$/, '');
  const cause = code && reason ? `${code}: ${reason}` : undefined;
  return [createFailure(final, FailureKind.REFUSED, cause)];
}

function findFailedRequest(
  final: LogLine,
  lines: readonly LogLine[],
): Failure[] {
  const attempt = findFailedAttempt(lines);
  const code = getText(final, 'code');
  const cause = attempt
    ? `${code}: call to a server ended ${getText(attempt, 'outcome')}`
    : `${code}: ${getText(final, 'reason')}`;
  const isKnown = code !== undefined && (attempt ?? final.reason) !== undefined;
  return [
    createFailure(final, FailureKind.FAILED, isKnown ? cause : undefined),
  ];
}

function findLateAnswer(final: LogLine, lines: readonly LogLine[]): Failure[] {
  if (final.isLate !== true) return [];
  return [createFailure(final, FailureKind.LATE, describeDelay(final, lines))];
}

function describeDelay(
  final: LogLine,
  lines: readonly LogLine[],
): string | undefined {
  const {calls, waitedMs, firstByteMs} = final;
  const attempt = findFailedAttempt(lines);
  if (attempt) return `an earlier call ended ${getText(attempt, 'outcome')}`;
  if (typeof calls !== 'number' || calls > 1) return undefined;
  if (typeof waitedMs !== 'number' || typeof firstByteMs !== 'number') {
    return undefined;
  }
  if (waitedMs > firstByteMs * MIN_SLOT_WAIT_FRACTION)
    return 'waited for a place';
  return 'the server was slow to answer';
}

function findAbandonedRequest(
  final: LogLine,
  lines: readonly LogLine[],
): Failure[] {
  const attempt = findFailedAttempt(lines);
  const state = attempt
    ? `after a call ended ${getText(attempt, 'outcome')}`
    : STATE_BY_WAS_SENT.get(Number(final.calls) > 0);
  return [createFailure(final, FailureKind.ABANDONED, `left ${state}`)];
}

/** State of an abandoned request, by whether it had been sent to a server. */
const STATE_BY_WAS_SENT = new Map([
  [true, 'while a server worked on it'],
  [false, 'while it waited for a place'],
]);

function findDeadLetteredItem(final: LogLine): Failure[] {
  const cause = getText(final, 'reason');
  return [createFailure(final, FailureKind.DEAD_LETTERED, cause)];
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

function findFailedAttempt(lines: readonly LogLine[]): LogLine | undefined {
  return lines.findLast(
    (line) => line.event === ServingEvent.REQUEST_ATTEMPT_FAILED,
  );
}

function getText(line: LogLine, field: string): string | undefined {
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
    .slice(0, MAX_LISTED_REQUESTS)
    .map(({requestId, host, kind}) => `  ${requestId}  ${host}  ${kind}\n`);
  const total = `${failures.length} not served in time, ${unexplained.length} without a cause\n`;
  return [...table, total, ...listed].join('');
}
