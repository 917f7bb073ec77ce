/** Reads the daemons' log lines from files or standard input. */
import fs from 'node:fs';
import {ok, Result} from 'neverthrow';
import type {CliError} from './cli_error.js';
import type {CommandContext} from './command.js';

/** File descriptor of standard input. */
const STDIN_FD = 0;

/** One log line: a JSON object with these fields and those of its event. */
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
 * @param context - input of the command, which reads the files
 * @param files - paths of logs; without any, standard input is read
 */
export function readLogLines(
  context: CommandContext,
  files: readonly string[],
): Result<LogLine[], CliError> {
  const texts =
    files.length > 0
      ? files.map((file) => context.readFile(file))
      : [ok<string, CliError>(fs.readFileSync(STDIN_FD, 'utf8'))];
  return Result.combine(texts).map((all) => all.flatMap(parseLogLines));
}

/**
 * Parses the lines of logs. Text before the JSON object of a line, such as the
 * name of the log's source, is ignored, and so are lines without a JSON object.
 *
 * @param text - content of one or more logs
 */
export function parseLogLines(text: string): LogLine[] {
  const lines: LogLine[] = [];
  for (const line of text.split('\n')) {
    const start = line.indexOf('{"time"');
    if (start < 0) continue;
    try {
      lines.push(JSON.parse(line.slice(start)) as LogLine);
    } catch {
      // The line is incomplete: its process was killed while writing.
      continue;
    }
  }
  return lines;
}
