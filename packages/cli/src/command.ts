/** Definition, input and output of the commands of the command line. */
import type {Result} from 'neverthrow';
import {type CliError, createFieldError} from './cli_error.js';
import {ExitCode} from './exit_code.js';
import type {OperatorClient} from './operator_client.js';

/** Output of a command; the option `--json` selects the form. */
export interface CommandOutput {
  /** Text for people. */
  text: string;
  /** Value that `--json` prints. */
  json: unknown;
  /** Failure that ends the program after the output was printed. */
  failure?: CliError;
}

/** Output of a command, or the reason for its failure. */
export type CommandResult = Result<CommandOutput, CliError>;

/** Input of a command: arguments, options, files and a client of a daemon. */
export interface CommandContext {
  /** Positional arguments, without the name of the command. */
  args: string[];
  /** Values of options by name, as they were typed. */
  options: ReadonlyMap<string, string>;
  /** Name of the operator, which is recorded with each change. */
  operator: string;
  /**
   * Creates a client of a daemon; fails without a valid URL and token.
   *
   * @param isTokenNeeded - whether the calls need the operator's token; true by default
   */
  getClient(isTokenNeeded?: boolean): Result<OperatorClient, CliError>;
  /** Reads a file as text. */
  readFile(path: string): Result<string, CliError>;
  /** Writes text to a file. */
  writeFile(path: string, text: string): Result<void, CliError>;
}

/** An option of a command. */
export interface OptionSpec {
  /** Usage in the notation of cac, such as `--environment <name>`. */
  usage: string;
  description: string;
}

/** Definition of a command. */
export interface CommandSpec {
  /** Usage in the notation of cac, such as `apply <file>`. */
  usage: string;
  description: string;
  options: OptionSpec[];
  run(context: CommandContext): Promise<CommandResult>;
}

/** Name of the environment in which changes are tried first. */
export const TRIAL_ENVIRONMENT = 'trial';

/** Name of the environment that serves callers. */
export const PRODUCTION_ENVIRONMENT = 'production';

/** Creates the option `--environment`; `fallback` is its default value. */
export function createEnvironmentOption(fallback: string): OptionSpec {
  return {
    usage: '--environment <name>',
    description: `Environment (default: ${fallback})`,
  };
}

/** Formats the path of the selected environment in the operator API. */
export function formatEnvironmentPath(
  context: CommandContext,
  fallback: string,
): string {
  const name = context.options.get('environment') ?? fallback;
  return `/operator/v1/environments/${encodeURIComponent(name)}`;
}

/** Creates the failure of a missing or invalid argument. */
export function createArgumentError(
  field: string,
  found: string | undefined,
  expected: string,
): CliError {
  const text = found === undefined ? 'nothing' : JSON.stringify(found);
  return createFieldError(ExitCode.USAGE, field, text, expected);
}
