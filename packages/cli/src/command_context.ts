/** Builds the input of a command from arguments, environment variables and files. */
import fs from 'node:fs';
import os from 'node:os';
import {err, ok, Result} from 'neverthrow';
import {type CliError, createFieldError} from './cli_error.js';
import type {CommandContext} from './command.js';
import {ExitCode} from './exit_code.js';
import {OperatorClient} from './operator_client.js';
import {readOptionValues} from './option_values.js';

/** Environment variables and output streams of the program; tests replace them. */
export interface Terminal {
  environment: Readonly<Record<string, string | undefined>>;
  print(text: string): void;
  printError(text: string): void;
}

/**
 * Builds the context of a command.
 *
 * @param argv - all arguments of the program, as typed
 * @param args - positional arguments of the command
 * @param terminal - environment variables, of which SAVORYSPUR_URL and
 *   SAVORYSPUR_TOKEN are defaults of options
 */
export function createContext(
  argv: readonly string[],
  args: readonly string[],
  terminal: Terminal,
): CommandContext {
  const options = readOptionValues(argv);
  const {environment} = terminal;
  return {
    args: [...args],
    options,
    operator: options.get('operator') ?? os.userInfo().username,
    getClient: (isTokenNeeded = true) =>
      createClient(
        options.get('url') ?? environment.SAVORYSPUR_URL,
        options.get('token') ?? environment.SAVORYSPUR_TOKEN,
        isTokenNeeded,
      ),
    readFile: (path) => readTextFile(path),
    writeFile: (path, text) => writeTextFile(path, text),
  };
}

function createClient(
  url: string | undefined,
  token: string | undefined,
  isTokenNeeded: boolean,
): Result<OperatorClient, CliError> {
  if (!url || !/^https?:\/\//.test(url) || !URL.canParse(url)) {
    const found = url ? JSON.stringify(url) : 'nothing';
    const expected = 'an address such as http://10.0.0.1:8080 in it or in ';
    return err(
      createFieldError(
        ExitCode.USAGE,
        '--url',
        found,
        `${expected}SAVORYSPUR_URL`,
      ),
    );
  }
  if (!token && isTokenNeeded) {
    return err(
      createFieldError(
        ExitCode.USAGE,
        '--token',
        'nothing',
        "the operator's token in it or in SAVORYSPUR_TOKEN",
      ),
    );
  }
  return ok(new OperatorClient(url, token ?? ''));
}

function readTextFile(path: string): Result<string, CliError> {
  return Result.fromThrowable(
    () => fs.readFileSync(path, 'utf8'),
    (thrown) =>
      createFileError(path, thrown, 'the path of an environment document'),
  )();
}

function writeTextFile(path: string, text: string): Result<void, CliError> {
  return Result.fromThrowable(
    () => fs.writeFileSync(path, text),
    (thrown) => createFileError(path, thrown, 'a path that can be written'),
  )();
}

function createFileError(
  path: string,
  thrown: unknown,
  expected: string,
): CliError {
  const code = (thrown as NodeJS.ErrnoException).code ?? String(thrown);
  const found = `${JSON.stringify(path)} (${code})`;
  return createFieldError(ExitCode.USAGE, 'file', found, expected);
}
