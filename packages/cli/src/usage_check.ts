/** Validates a parsed command line against the usage of its command. */
import type {CAC, Command} from 'cac';
import {type CliError, createFieldError} from './cli_error.js';
import {ExitCode} from './exit_code.js';

/**
 * Validates options and arguments.
 *
 * @param cli - parser that has parsed the command line
 * @param command - command that the parser matched
 * @returns the first error, or undefined when the usage is valid
 */
export function checkUsage(cli: CAC, command: Command): CliError | undefined {
  for (const [name, value] of Object.entries(cli.options)) {
    if (name === '--') continue;
    const option = command.hasOption(name) ?? cli.globalCommand.hasOption(name);
    const flag = `${name.length === 1 ? '-' : '--'}${formatFlagName(name)}`;
    if (!option) {
      return createFieldError(
        ExitCode.USAGE,
        flag,
        'an unknown option',
        `one of ${listFlags(cli, command)}`,
      );
    }
    if (option.required && typeof value === 'boolean') {
      return createFieldError(ExitCode.USAGE, flag, 'no value', 'a value');
    }
  }
  return checkArguments(cli, command);
}

function checkArguments(cli: CAC, command: Command): CliError | undefined {
  const required = command.args.filter((argument) => argument.required);
  const missing = required[cli.args.length];
  if (missing) {
    const usage = `savoryspur ${command.rawName}`;
    return createFieldError(
      ExitCode.USAGE,
      missing.value,
      'nothing',
      `a value: ${usage}`,
    );
  }
  const isVariadic = command.args.some((argument) => argument.variadic);
  const surplus = cli.args[command.args.length];
  if (isVariadic || surplus === undefined) return undefined;
  return createFieldError(
    ExitCode.USAGE,
    'argument',
    JSON.stringify(surplus),
    `no more arguments: savoryspur ${command.rawName}`,
  );
}

function listFlags(cli: CAC, command: Command): string {
  const options = [...command.options, ...cli.globalCommand.options];
  return options.map((option) => `--${formatFlagName(option.name)}`).join(', ');
}

function formatFlagName(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}
