/** Command `check`: reports errors and warnings of an environment document. */
import {
  checkAgainstLive,
  checkDocument,
  computeDigest,
  type EntityChange,
  type Finding,
  formatDocumentError,
  parseLiveDocument,
  Severity,
} from '@savoryspur/config';
import type {Environment} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';
import {type CliError, createFieldError} from '../cli_error.js';
import {
  type CommandContext,
  type CommandResult,
  type CommandSpec,
  createArgumentError,
  PRODUCTION_ENVIRONMENT,
  TRIAL_ENVIRONMENT,
} from '../command.js';
import {ExitCode} from '../exit_code.js';
import {type DiffAnswer, renderDiff} from './document_commands.js';

/** Answer of the operator API to a request for the version in force. */
interface StateAnswer {
  version?: number;
  document?: unknown;
}

/** Comparison with the version in force. */
interface Comparison {
  /** What applying the document would change; absent when it is refused. */
  diff?: DiffAnswer;
  findings: Finding[];
}

/** Environments whose version in force a document can be compared with. */
const COMPARED_ENVIRONMENTS: readonly string[] = [
  PRODUCTION_ENVIRONMENT,
  TRIAL_ENVIRONMENT,
];

/** Command `check`: validates a document; calls a daemon only with `--against`. */
export const CHECK_COMMAND: CommandSpec = {
  usage: 'check <file>',
  description: 'Check an environment document',
  options: [
    {
      usage: '--against <name>',
      description: 'Compare with the version in force: production or trial',
    },
    {usage: '--strict', description: 'Fail with exit code 3 on warnings'},
  ],
  run: runCheck,
};

async function runCheck(context: CommandContext): Promise<CommandResult> {
  const against = context.options.get('against');
  if (against !== undefined && !COMPARED_ENVIRONMENTS.includes(against)) {
    const expected = `one of ${COMPARED_ENVIRONMENTS.join(', ')}`;
    return err(createArgumentError('--against', against, expected));
  }
  const [file = ''] = context.args;
  const read = context.readFile(file);
  if (read.isErr()) return err(read.error);
  const {document, findings} = checkDocument(read.value);
  const compared =
    document && against !== undefined
      ? await compareWithDaemon(
          context,
          {toml: read.value, documentDigest: computeDigest(document)},
          against,
        )
      : undefined;
  const comparison = compared?.unwrapOr(undefined);
  const all = [...findings, ...(comparison?.findings ?? [])];
  const failure = compared?.isErr()
    ? compared.error
    : findFailure(context, file, all);
  return ok({
    text: renderCheck(file, document, all, comparison?.diff),
    json: describeCheck(document, all, comparison?.diff?.changes),
    ...(failure && {failure}),
  });
}

/**
 * Compares a document with the version in force. The version is read by a GET
 * request, whose lost answer leaves no doubt that nothing was changed.
 */
async function compareWithDaemon(
  context: CommandContext,
  {toml, documentDigest}: {toml: string; documentDigest: string},
  environment: string,
): Promise<Result<Comparison, CliError>> {
  const client = context.getClient();
  if (client.isErr()) return err(client.error);
  const path = `/operator/v1/environments/${encodeURIComponent(environment)}`;
  const answer = await client.value.get<StateAnswer | null>(path);
  if (answer.isErr()) return err(answer.error);
  const live = parseLiveDocument(answer.value?.document);
  const version = answer.value?.version;
  if (!live || typeof version !== 'number') {
    return err(
      createFieldError(
        ExitCode.REFUSED,
        'answer',
        'no environment document',
        'an answer of a savoryspur daemon',
      ),
    );
  }
  const {findings, differences} = checkAgainstLive(toml, live);
  if (!differences) return ok({findings});
  const diff = {environment, version, documentDigest, changes: differences};
  return ok({diff, findings});
}

/** Finds the failure that findings cause; warnings cause one with `--strict`. */
function findFailure(
  context: CommandContext,
  file: string,
  findings: readonly Finding[],
): CliError | undefined {
  const errors = findings.filter((f) => f.severity === Severity.ERROR);
  if (errors.length > 0) {
    const lines = errors.map((error) => formatFinding(file, error));
    return {exitCode: ExitCode.INVALID_INPUT, message: lines.join('\n')};
  }
  if (findings.length === 0 || !context.options.has('strict')) return undefined;
  return createFieldError(
    ExitCode.INVALID_INPUT,
    '--strict',
    `${findings.length} warnings`,
    'none',
  );
}

function formatFinding(file: string, finding: Finding): string {
  const mark = finding.severity === Severity.WARNING ? 'warning: ' : '';
  return `${file}: ${mark}${formatDocumentError(finding)}`;
}

/** Renders all but the errors, which go to the standard error stream. */
function renderCheck(
  file: string,
  document: Environment | undefined,
  findings: readonly Finding[],
  diff: DiffAnswer | undefined,
): string {
  if (!document) return '';
  const counts = Object.entries(countEntities(document));
  const parts = counts.map(([name, count]) => `${count} ${name}`);
  const warnings = findings.filter((f) => f.severity === Severity.WARNING);
  const lines = [
    `${document.name}: ${parts.join(', ')}`,
    `digest ${computeDigest(document)}`,
    ...warnings.map((warning) => formatFinding(file, warning)),
  ];
  return `${lines.join('\n')}\n${diff ? renderDiff(diff) : ''}`;
}

/**
 * Describes a check as JSON. The name, `documentDigest` and the counts of a
 * valid document are kept for scripts that read them.
 */
function describeCheck(
  document: Environment | undefined,
  findings: readonly Finding[],
  differences: readonly EntityChange[] | undefined,
) {
  const digest = document ? computeDigest(document) : null;
  return {
    digest,
    findings,
    differences: differences ?? null,
    ...(document && {
      name: document.name,
      documentDigest: digest,
      ...countEntities(document),
    }),
  };
}

function countEntities(document: Environment) {
  return {
    zones: document.zones.length,
    pools: document.pools.length,
    servers: document.servers.length,
    models: document.models.length,
    workspaces: document.workspaces.length,
    keys: document.keys.length,
    routes: document.routes.length,
  };
}
