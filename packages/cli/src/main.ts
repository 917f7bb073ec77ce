/** Entry point of the operators' command line. */
import fs from 'node:fs';
import {cac, type CAC} from 'cac';
import {err, ok, type Result} from 'neverthrow';
import {type CliError, createFieldError} from './cli_error.js';
import {createContext, type Terminal} from './command_context.js';
import type {
  CommandContext,
  CommandResult,
  CommandSpec,
  OptionSpec,
} from './command.js';
import {CHECK_COMMAND} from './commands/check_command.js';
import {
  APPLY_COMMAND,
  DIFF_COMMAND,
  PROMOTE_COMMAND,
} from './commands/document_commands.js';
import {
  HISTORY_COMMAND,
  KEYS_COMMAND,
  WORKSPACES_COMMAND,
  ZONE_COMMAND,
} from './commands/environment_commands.js';
import {EXPLAIN_COMMAND} from './commands/explain_command.js';
import {FAILURES_COMMAND} from './commands/failures_command.js';
import {
  JOBS_COMMAND,
  ORDER_COMMAND,
  REPORT_COMMAND,
  STATUS_COMMAND,
} from './commands/fleet_commands.js';
import {ROLLOUT_COMMAND} from './commands/rollout_command.js';
import {ExitCode} from './exit_code.js';
import {checkUsage} from './usage_check.js';

/** All commands, in the order of the help text. */
const COMMANDS: readonly CommandSpec[] = [
  CHECK_COMMAND,
  DIFF_COMMAND,
  APPLY_COMMAND,
  PROMOTE_COMMAND,
  HISTORY_COMMAND,
  WORKSPACES_COMMAND,
  KEYS_COMMAND,
  ZONE_COMMAND,
  ORDER_COMMAND,
  STATUS_COMMAND,
  JOBS_COMMAND,
  REPORT_COMMAND,
  ROLLOUT_COMMAND,
  EXPLAIN_COMMAND,
  FAILURES_COMMAND,
];

/** Options that every command accepts. */
const GLOBAL_OPTIONS: readonly OptionSpec[] = [
  {
    usage: '--url <url>',
    description: 'Address of a daemon (default: SAVORYSPUR_URL)',
  },
  {
    usage: '--token <token>',
    description: "Operator's token (default: SAVORYSPUR_TOKEN)",
  },
  {
    usage: '--operator <name>',
    description: 'Who makes the change (default: the name of the user)',
  },
  {usage: '--json', description: 'Print JSON'},
];

/** Environment variables and standard streams of this process. */
export const PROCESS_TERMINAL: Terminal = {
  environment: process.env,
  print: (text) => void process.stdout.write(text),
  printError: (text) => void process.stderr.write(text),
};

/**
 * Runs one command.
 *
 * @param argv - arguments without the program's name
 * @param terminal - environment variables and output streams
 * @returns the exit code
 */
export async function main(
  argv: readonly string[],
  terminal: Terminal = PROCESS_TERMINAL,
): Promise<ExitCode> {
  const cli = createCli();
  const parsed = parseArguments(cli, argv);
  if (parsed.isErr()) return printFailure(terminal, parsed.error);
  const {options} = cli;
  if (options.help === true || options.version === true) return ExitCode.OK;
  const spec = COMMANDS.find(
    (candidate) => getCommandName(candidate) === cli.matchedCommandName,
  );
  if (!spec || !cli.matchedCommand) {
    return printFailure(terminal, createUnknownCommandError(cli));
  }
  const usageError = checkUsage(cli, cli.matchedCommand);
  if (usageError) return printFailure(terminal, usageError);
  const context = createContext(argv, cli.args, terminal);
  const result = await runCommand(spec, context);
  if (result.isErr()) return printFailure(terminal, result.error);
  const {text, json, failure} = result.value;
  terminal.print(
    options.json === true ? `${JSON.stringify(json, undefined, 2)}\n` : text,
  );
  return failure ? printFailure(terminal, failure) : ExitCode.OK;
}

function createCli(): CAC {
  const cli = cac('savoryspur');
  for (const spec of COMMANDS) {
    const command = cli.command(spec.usage, spec.description);
    command.allowUnknownOptions();
    for (const {usage, description} of spec.options) {
      command.option(usage, description);
    }
    command.action(() => undefined);
  }
  for (const {usage, description} of GLOBAL_OPTIONS) {
    cli.option(usage, description);
  }
  cli.help();
  cli.version(readVersion());
  return cli;
}

function readVersion(): string {
  const file = new URL('../../package.json', import.meta.url);
  const {version} = JSON.parse(fs.readFileSync(file, 'utf8')) as {
    version: string;
  };
  return version;
}

function getCommandName(spec: CommandSpec): string {
  return spec.usage.split(' ')[0] ?? '';
}

function parseArguments(
  cli: CAC,
  argv: readonly string[],
): Result<void, CliError> {
  try {
    cli.parse(['node', 'savoryspur', ...argv], {run: false});
    return ok(undefined);
  } catch (thrown) {
    const message = thrown instanceof Error ? thrown.message : String(thrown);
    return err({exitCode: ExitCode.USAGE, message});
  }
}

function createUnknownCommandError(cli: CAC): CliError {
  const [name] = cli.args;
  const names = COMMANDS.map((spec) => getCommandName(spec)).join(', ');
  const found = name === undefined ? 'nothing' : JSON.stringify(name);
  return createFieldError(
    ExitCode.USAGE,
    'command',
    found,
    `one of ${names}; see savoryspur --help`,
  );
}

async function runCommand(
  spec: CommandSpec,
  context: CommandContext,
): Promise<CommandResult> {
  try {
    return await spec.run(context);
  } catch (thrown) {
    const message = thrown instanceof Error ? thrown.message : String(thrown);
    return err({
      exitCode: ExitCode.INTERNAL,
      message: `unexpected error: ${message}`,
    });
  }
}

function printFailure(terminal: Terminal, error: CliError): ExitCode {
  for (const line of error.message.split('\n')) {
    terminal.printError(`savoryspur: ${line}\n`);
  }
  return error.exitCode;
}
