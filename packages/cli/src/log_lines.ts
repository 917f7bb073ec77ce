/** Lines of the daemons' logs, from files or standard input. */
import fs from 'node:fs';
import {ok, Result} from 'neverthrow';
import type {CliError} from './cli_error.js';
import type {CommandContext} from './command.js';

/** File descriptor of standard input. */
const STANDARD_INPUT = 0;

/** One line of a log. */
export interface LogLine {
  time: string;
  event: number;
  text: string;
  host: string;
  requestId?: string;
  jobId?: string;
  [field: string]: unknown;
}

/**
 * Reads the lines of logs.
 *
 * @param context - reads files
 * @param files - paths; standard input when there are none
 */
export function readLogLines(
  context: CommandContext,
  files: readonly string[],
): Result<LogLine[], CliError> {
  const texts =
    files.length > 0
      ? files.map((file) => context.readFile(file))
      : [ok<string, CliError>(fs.readFileSync(STANDARD_INPUT, 'utf8'))];
  return Result.combine(texts).map((all) => all.flatMap(parseLogLines));
}

/**
 * Parses the lines of logs; whatever stands before the JSON object of a line,
 * such as the name of its source, is left out.
 *
 * @param text - one or more logs
 */
export function parseLogLines(text: string): LogLine[] {
  const lines: LogLine[] = [];
  for (const line of text.split('\n')) {
    const start = line.indexOf('{"time"');
    if (start < 0) continue;
    try {
      lines.push(JSON.parse(line.slice(start)) as LogLine);
    } catch {
      // A line that was cut off when its process was killed.
      continue;
    }
  }
  return lines;
}
