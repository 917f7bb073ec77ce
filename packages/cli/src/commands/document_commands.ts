/** Commands that compare, apply and promote environment documents. */
import {
  type EntityChange,
  formatDocumentError,
  formatEntityChange,
  parseEnvironment,
} from '@savoryspur/config';
import type {Environment} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';
import type {CliError} from '../cli_error.js';
import {
  type CommandContext,
  type CommandResult,
  type CommandSpec,
  createArgumentError,
  createEnvironmentOption,
  formatEnvironmentPath,
  type OptionSpec,
  PRODUCTION_ENVIRONMENT,
  TRIAL_ENVIRONMENT,
} from '../command.js';
import {ExitCode} from '../exit_code.js';

/** Answer of the operator API to a diff. */
export interface DiffAnswer {
  environment: string;
  version: number;
  documentDigest: string;
  changes: EntityChange[];
}

/** Answer of the operator API to an apply or promote request. */
interface ChangeAnswer {
  version: number;
  documentDigest: string;
  isChanged: boolean;
}

/** A valid environment document with its source text. */
interface CheckedFile {
  toml: string;
  document: Environment;
}

const BASE_OPTION: OptionSpec = {
  usage: '--base <version>',
  description: 'Version that the change is based on (default: the newest)',
};

/** Command `diff`: shows what applying a document would change. */
export const DIFF_COMMAND: CommandSpec = {
  usage: 'diff <file>',
  description: 'Show what applying a document would change',
  options: [createEnvironmentOption(TRIAL_ENVIRONMENT)],
  run: async (context) => {
    const diff = await fetchDiff(context, TRIAL_ENVIRONMENT);
    return diff.map((answer) => ({text: renderDiff(answer), json: answer}));
  },
};

/** Command `apply`: applies a document to an environment. */
export const APPLY_COMMAND: CommandSpec = {
  usage: 'apply <file>',
  description: 'Apply a document to an environment, trial by default',
  options: [createEnvironmentOption(TRIAL_ENVIRONMENT), BASE_OPTION],
  run: runApply,
};

/** Command `promote`: applies the document of one environment to another. */
export const PROMOTE_COMMAND: CommandSpec = {
  usage: 'promote <digest>',
  description:
    'Promote the document with this digest, by default from trial to production',
  options: [
    {
      usage: '--from <name>',
      description: `Environment in which it was tried (default: ${TRIAL_ENVIRONMENT})`,
    },
    {
      usage: '--to <name>',
      description: `Environment to promote to (default: ${PRODUCTION_ENVIRONMENT})`,
    },
    BASE_OPTION,
  ],
  run: runPromote,
};

async function runApply(context: CommandContext): Promise<CommandResult> {
  const checked = readDocument(context);
  if (checked.isErr()) return err(checked.error);
  const client = context.getClient();
  if (client.isErr()) return err(client.error);
  const diff = await fetchDiff(context, TRIAL_ENVIRONMENT);
  if (diff.isErr()) return err(diff.error);
  const base = parseBaseVersion(context, diff.value.version);
  if (base.isErr()) return err(base.error);
  const path = formatEnvironmentPath(context, TRIAL_ENVIRONMENT);
  const applied = await client.value.post<ChangeAnswer>(`${path}/apply`, {
    toml: checked.value.toml,
    baseVersion: base.value,
    operator: context.operator,
  });
  return applied.map((answer) => ({
    text: `${renderDiff(diff.value)}${renderChange(answer)}`,
    json: {...answer, changes: diff.value.changes},
  }));
}

async function runPromote(context: CommandContext): Promise<CommandResult> {
  const client = context.getClient();
  if (client.isErr()) return err(client.error);
  const target = context.options.get('to') ?? PRODUCTION_ENVIRONMENT;
  const path = `/operator/v1/environments/${encodeURIComponent(target)}`;
  const current = await client.value.get<{version: number}>(path);
  if (current.isErr()) return err(current.error);
  const base = parseBaseVersion(context, current.value.version);
  if (base.isErr()) return err(base.error);
  const promoted = await client.value.post<ChangeAnswer>(`${path}/promote`, {
    from: context.options.get('from') ?? TRIAL_ENVIRONMENT,
    documentDigest: context.args[0],
    baseVersion: base.value,
    operator: context.operator,
  });
  return promoted.map((answer) => ({text: renderChange(answer), json: answer}));
}

function readDocument(context: CommandContext): Result<CheckedFile, CliError> {
  const [file = ''] = context.args;
  const read = context.readFile(file);
  if (read.isErr()) return err(read.error);
  const parsed = parseEnvironment(read.value);
  if (parsed.isOk()) return ok({toml: read.value, document: parsed.value});
  const lines = parsed.error.map(
    (error) => `${file}: ${formatDocumentError(error)}`,
  );
  return err({exitCode: ExitCode.INVALID_INPUT, message: lines.join('\n')});
}

async function fetchDiff(
  context: CommandContext,
  fallback: string,
): Promise<Result<DiffAnswer, CliError>> {
  const checked = readDocument(context);
  if (checked.isErr()) return err(checked.error);
  const client = context.getClient();
  if (client.isErr()) return err(client.error);
  const path = formatEnvironmentPath(context, fallback);
  const {toml} = checked.value;
  return client.value.post<DiffAnswer>(`${path}/diff`, {toml});
}

function parseBaseVersion(
  context: CommandContext,
  fallback: number,
): Result<number, CliError> {
  const text = context.options.get('base');
  if (text === undefined) return ok(fallback);
  const base = Number(text);
  if (Number.isInteger(base) && base >= 0) return ok(base);
  return err(createArgumentError('--base', text, 'a version such as 12'));
}

/** Renders the changes that applying a document would make. */
export function renderDiff(diff: DiffAnswer): string {
  const lines = diff.changes.map((change) => formatEntityChange(change));
  const head =
    `${diff.environment} is at version ${diff.version}; ` +
    `${diff.changes.length} changes; digest ${diff.documentDigest}`;
  return `${[head, ...lines].join('\n')}\n`;
}

function renderChange(answer: ChangeAnswer): string {
  const verb = answer.isChanged ? 'now at' : 'unchanged at';
  return `${verb} version ${answer.version}, digest ${answer.documentDigest}\n`;
}
