/** Commands on the running fleet: status, batch jobs, engine orders and reports. */
import {
  renderBurnPage,
  renderBurnText,
  renderColumns,
} from '@savoryspur/report';
import {
  type BurnReport,
  type EngineOrder,
  type FleetStatus,
  type OperatorJob,
  type OperatorJobList,
  OrderKind,
} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';
import type {CliError} from '../cli_error.js';
import {
  type CommandContext,
  type CommandResult,
  type CommandSpec,
  createArgumentError,
} from '../command.js';
import {runAction} from './environment_commands.js';

/** Command `status`: shows the fleet as one daemon sees it. */
export const STATUS_COMMAND: CommandSpec = {
  usage: 'status',
  description: 'Show the fleet as one daemon sees it',
  options: [],
  run: async (context) => {
    const client = context.getClient();
    if (client.isErr()) return err(client.error);
    const answer = await client.value.get<FleetStatus>('/operator/v1/status');
    return answer.map((json) => ({json, text: renderStatus(json)}));
  },
};

/** Command `jobs`: lists, shows and cancels batch jobs. */
export const JOBS_COMMAND: CommandSpec = {
  usage: 'jobs <action> [job]',
  description: 'list, show ID, or cancel ID: handle batch jobs',
  options: [
    {usage: '--workspace <name>', description: 'Only jobs of this workspace'},
    {
      usage: '--after <mark>',
      description: 'Mark printed at the end of the previous list',
    },
  ],
  run: (context) => runAction(context, JOB_ACTIONS),
};

/** Command `order`: sends an order to an engine or shows the current one. */
export const ORDER_COMMAND: CommandSpec = {
  usage: 'order <server> [...order]',
  description:
    'load MODEL VERSION [ADAPTER], unload MODEL, role ROLE, or nothing to ' +
    'show: order an engine',
  options: [
    {
      usage: '--base <fencing>',
      description: 'Fencing token that the order is based on',
    },
  ],
  run: runOrder,
};

/** Command `report`: shows the burn of the service-level error budget. */
export const REPORT_COMMAND: CommandSpec = {
  usage: 'report <action>',
  description: 'burn: show the burn of the service-level error budget',
  options: [
    {
      usage: '--html <file>',
      description: 'Write the report as one HTML page as well',
    },
  ],
  run: (context) => runAction(context, REPORT_ACTIONS),
};

const JOB_ACTIONS = new Map([
  ['list', runListJobs],
  ['show', (context: CommandContext) => runJob(context, false)],
  ['cancel', (context: CommandContext) => runJob(context, true)],
]);

const REPORT_ACTIONS = new Map([['burn', runBurn]]);

/** Parsers of the arguments of an order, by the kind of the order. */
const ORDER_PARSERS = new Map<
  string,
  (args: string[]) => EngineOrder | undefined
>([
  ['load', parseLoad],
  ['unload', parseUnload],
  ['role', parseRole],
]);

function renderStatus(status: FleetStatus): string {
  const rows = status.zones.map((zone) => [
    zone.zone,
    zone.isOut ? 'out' : 'in',
    String(zone.hosts.length),
    String(zone.servers),
    zone.hosts.map((host) => host.host).join(' '),
  ]);
  const headings = ['ZONE', 'STATE', 'HOSTS', 'SERVERS', 'ALIVE'];
  return (
    `${status.host} serves ${status.environment} at version ` +
    `${status.configVersion}, digest ${status.configDigest}\n` +
    `${renderColumns([headings, ...rows])}\n`
  );
}

async function runListJobs(context: CommandContext): Promise<CommandResult> {
  const client = context.getClient();
  if (client.isErr()) return err(client.error);
  const query = new URLSearchParams();
  for (const name of ['workspace', 'after']) {
    const value = context.options.get(name);
    if (value !== undefined) query.set(name, value);
  }
  const answer = await client.value.get<OperatorJobList>(
    `/operator/v1/jobs?${query.toString()}`,
  );
  return answer.map((json) => {
    const more = json.next === undefined ? '' : `more: --after ${json.next}\n`;
    return {json, text: `${renderJobs(json.jobs)}${more}`};
  });
}

async function runJob(
  context: CommandContext,
  isCancel: boolean,
): Promise<CommandResult> {
  const [id] = context.args;
  if (id === undefined) {
    return err(createArgumentError('job', id, 'the id of a job'));
  }
  const client = context.getClient();
  if (client.isErr()) return err(client.error);
  const path = `/operator/v1/jobs/${encodeURIComponent(id)}`;
  const answer = isCancel
    ? await client.value.post<OperatorJob>(`${path}/cancel`, {})
    : await client.value.get<OperatorJob>(path);
  return answer.map((json) => ({json, text: renderJobs([json])}));
}

function renderJobs(jobs: readonly OperatorJob[]): string {
  const rows = jobs.map((job) => [
    job.jobId,
    job.workspace,
    job.state,
    `${job.completed + job.failed}/${job.items}`,
    String(job.failed),
    job.dueAt,
  ]);
  const headings = ['JOB', 'WORKSPACE', 'STATE', 'DONE', 'FAILED', 'DUE'];
  return `${renderColumns([headings, ...rows])}\n`;
}

async function runOrder(context: CommandContext): Promise<CommandResult> {
  const [server = '', ...words] = context.args;
  const path = `/operator/v1/servers/${encodeURIComponent(server)}/order`;
  const order = words.length > 0 ? parseOrder(words) : ok(undefined);
  if (order.isErr()) return err(order.error);
  const base = context.options.get('base');
  if (base !== undefined && !/^\d+$/.test(base)) {
    return err(createArgumentError('--base', base, 'a fencing token'));
  }
  const client = context.getClient();
  if (client.isErr()) return err(client.error);
  const answer = order.value
    ? await client.value.post<object>(path, {
        order: order.value,
        operator: context.operator,
        ...(base !== undefined && {baseFencing: Number(base)}),
      })
    : await client.value.get<object>(path);
  return answer.map((json) => ({
    json,
    text: `${JSON.stringify(json, undefined, 2)}\n`,
  }));
}

function parseOrder(words: string[]): Result<EngineOrder, CliError> {
  const [kind = '', ...args] = words;
  const parser = ORDER_PARSERS.get(kind);
  const kinds = [...ORDER_PARSERS.keys()].join(', ');
  if (!parser) {
    return err(createArgumentError('order', kind, `one of ${kinds}`));
  }
  const order = parser(args);
  if (order) return ok(order);
  const expected = 'load MODEL VERSION [ADAPTER], unload MODEL or role ROLE';
  return err(createArgumentError('order', words.join(' '), expected));
}

function parseLoad(args: string[]): EngineOrder | undefined {
  const [model, version, adapter, ...others] = args;
  if (!model || !version || others.length > 0) return undefined;
  const order = {kind: OrderKind.LOAD, model, version};
  return adapter === undefined ? order : {...order, adapter};
}

function parseUnload(args: string[]): EngineOrder | undefined {
  const [model, ...others] = args;
  if (!model || others.length > 0) return undefined;
  return {kind: OrderKind.UNLOAD, model};
}

function parseRole(args: string[]): EngineOrder | undefined {
  const [role, ...others] = args;
  if (!role || others.length > 0) return undefined;
  return {kind: OrderKind.ROLE, role};
}

async function runBurn(context: CommandContext): Promise<CommandResult> {
  const client = context.getClient();
  if (client.isErr()) return err(client.error);
  const answer = await client.value.get<BurnReport>('/operator/v1/report/burn');
  if (answer.isErr()) return err(answer.error);
  const file = context.options.get('html');
  if (file !== undefined) {
    const written = context.writeFile(file, renderBurnPage(answer.value));
    if (written.isErr()) return err(written.error);
  }
  return ok({json: answer.value, text: renderBurnText(answer.value)});
}
