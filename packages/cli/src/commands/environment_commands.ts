/** Commands on the parts of an environment: history, workspaces, keys and zones. */
import {renderColumns} from '@savoryspur/report';
import type {EnvironmentChange, Key, Workspace} from '@savoryspur/schema';
import {err} from 'neverthrow';
import {
  type CommandContext,
  type CommandResult,
  type CommandSpec,
  createArgumentError,
  createEnvironmentOption,
  formatEnvironmentPath,
  PRODUCTION_ENVIRONMENT,
} from '../command.js';

/** Runs one action of a command. */
type ActionHandler = (context: CommandContext) => Promise<CommandResult>;

/** Answer of the operator API to a request for a new key. */
interface IssuedKeyAnswer {
  id: string;
  workspace: string;
  secret: string;
  version: number;
}

/** Command `history`: shows past changes of an environment. */
export const HISTORY_COMMAND: CommandSpec = {
  usage: 'history',
  description: 'Show past changes of an environment, the newest first',
  options: [
    createEnvironmentOption(PRODUCTION_ENVIRONMENT),
    {
      usage: '--limit <count>',
      description: 'Maximum number of changes to show (default: 20)',
    },
    {usage: '--before <version>', description: 'Only older versions'},
  ],
  run: runHistory,
};

/** Command `workspaces`: lists the workspaces of an environment. */
export const WORKSPACES_COMMAND: CommandSpec = {
  usage: 'workspaces <action>',
  description: 'list: show the workspaces of an environment',
  options: [createEnvironmentOption(PRODUCTION_ENVIRONMENT)],
  run: (context) => runAction(context, WORKSPACE_ACTIONS),
};

/** Command `keys`: issues, withdraws and lists the keys of callers. */
export const KEYS_COMMAND: CommandSpec = {
  usage: 'keys <action> [...names]',
  description:
    'issue WORKSPACE [ID], withdraw ID, or list: handle keys of callers',
  options: [createEnvironmentOption(PRODUCTION_ENVIRONMENT)],
  run: (context) => runAction(context, KEY_ACTIONS),
};

/** Command `zone`: takes zones out of service and puts them back. */
export const ZONE_COMMAND: CommandSpec = {
  usage: 'zone <action> <zone>',
  description:
    'out ZONE or back ZONE: take an availability zone out of service or put it back',
  options: [createEnvironmentOption(PRODUCTION_ENVIRONMENT)],
  run: (context) => runAction(context, ZONE_ACTIONS),
};

const WORKSPACE_ACTIONS = new Map<string, ActionHandler>([
  ['list', runListWorkspaces],
]);

const KEY_ACTIONS = new Map<string, ActionHandler>([
  ['issue', runIssueKey],
  ['withdraw', runWithdrawKey],
  ['list', runListKeys],
]);

const ZONE_ACTIONS = new Map<string, ActionHandler>([
  ['out', (context) => runSetZone(context, true)],
  ['back', (context) => runSetZone(context, false)],
]);

/**
 * Runs the action of a command.
 *
 * @param context - input of the command; its first argument names the action
 * @param actions - handlers by the name of their action
 */
export async function runAction(
  context: CommandContext,
  actions: ReadonlyMap<string, ActionHandler>,
): Promise<CommandResult> {
  const [name, ...args] = context.args;
  const handler = actions.get(name ?? '');
  if (handler) return handler({...context, args});
  const expected = `one of ${[...actions.keys()].join(', ')}`;
  return err(createArgumentError('action', name, expected));
}

async function runHistory(context: CommandContext): Promise<CommandResult> {
  const client = context.getClient();
  if (client.isErr()) return err(client.error);
  const query = new URLSearchParams();
  for (const name of ['limit', 'before']) {
    const value = context.options.get(name);
    if (value !== undefined) query.set(name, value);
  }
  const path = formatEnvironmentPath(context, PRODUCTION_ENVIRONMENT);
  const answer = await client.value.get<{changes: EnvironmentChange[]}>(
    `${path}/history?${query.toString()}`,
  );
  return answer.map((json) => ({text: renderHistory(json.changes), json}));
}

function renderHistory(changes: readonly EnvironmentChange[]): string {
  const rows = changes.map((change) => [
    String(change.version),
    change.changedAt,
    change.operator,
    change.action,
    describeChange(change),
    change.documentDigest.slice(0, 12),
  ]);
  const headings = ['VERSION', 'TIME', 'OPERATOR', 'ACTION', 'WHAT', 'DIGEST'];
  return `${renderColumns([headings, ...rows])}\n`;
}

function describeChange(change: EnvironmentChange): string {
  if (!change.delta) return 'large change';
  const {upserts, removals} = change.delta;
  const [upsert] = upserts;
  if (upserts.length === 1 && upsert && removals.length === 0) {
    const {id, name, path, state} = upsert.value;
    const label = String(id ?? name ?? path);
    return `${upsert.kind} ${label}${state ? ` ${String(state)}` : ''}`;
  }
  return `${upserts.length} set, ${removals.length} removed`;
}

async function runListWorkspaces(
  context: CommandContext,
): Promise<CommandResult> {
  const client = context.getClient();
  if (client.isErr()) return err(client.error);
  const path = formatEnvironmentPath(context, PRODUCTION_ENVIRONMENT);
  const answer = await client.value.get<{workspaces: Workspace[]}>(
    `${path}/workspaces`,
  );
  return answer.map((json) => ({
    json,
    text: renderWorkspaces(json.workspaces),
  }));
}

function renderWorkspaces(workspaces: readonly Workspace[]): string {
  const rows = workspaces.map((workspace) => [
    workspace.name,
    String(workspace.rate),
    String(workspace.burst),
    String(workspace.weight),
    String(workspace.batchShare),
    String(workspace.objective),
  ]);
  const headings = ['WORKSPACE', 'RATE/S', 'BURST', 'WEIGHT', 'BATCH SHARE'];
  return `${renderColumns([[...headings, 'OBJECTIVE'], ...rows])}\n`;
}

async function runListKeys(context: CommandContext): Promise<CommandResult> {
  const client = context.getClient();
  if (client.isErr()) return err(client.error);
  const path = formatEnvironmentPath(context, PRODUCTION_ENVIRONMENT);
  const answer = await client.value.get<{keys: Key[]}>(`${path}/keys`);
  return answer.map((json) => {
    const rows = json.keys.map((key) => [key.id, key.workspace, key.state]);
    const headings = ['KEY', 'WORKSPACE', 'STATE'];
    return {json, text: `${renderColumns([headings, ...rows])}\n`};
  });
}

async function runIssueKey(context: CommandContext): Promise<CommandResult> {
  const [workspace, id] = context.args;
  if (workspace === undefined) {
    return err(createArgumentError('workspace', workspace, 'a workspace'));
  }
  const client = context.getClient();
  if (client.isErr()) return err(client.error);
  const path = formatEnvironmentPath(context, PRODUCTION_ENVIRONMENT);
  const {operator} = context;
  const body = {workspace, operator, ...(id !== undefined && {id})};
  const answer = await client.value.post<IssuedKeyAnswer>(`${path}/keys`, body);
  return answer.map((json) => ({
    json,
    text:
      `${json.secret}\n` +
      `key ${json.id} of ${json.workspace}, version ${json.version}; the ` +
      'secret is shown this once\n',
  }));
}

async function runWithdrawKey(context: CommandContext): Promise<CommandResult> {
  const [id] = context.args;
  if (id === undefined) {
    return err(createArgumentError('key', id, 'the id of a key'));
  }
  const client = context.getClient();
  if (client.isErr()) return err(client.error);
  const base = formatEnvironmentPath(context, PRODUCTION_ENVIRONMENT);
  const path = `${base}/keys/${encodeURIComponent(id)}/withdraw`;
  const {operator} = context;
  const answer = await client.value.post<{version: number}>(path, {operator});
  return answer.map((json) => ({
    json,
    text: `key ${id} is withdrawn, version ${json.version}\n`,
  }));
}

async function runSetZone(
  context: CommandContext,
  isOut: boolean,
): Promise<CommandResult> {
  const [zone] = context.args;
  if (zone === undefined) {
    return err(createArgumentError('zone', zone, 'an availability zone'));
  }
  const client = context.getClient();
  if (client.isErr()) return err(client.error);
  const base = formatEnvironmentPath(context, PRODUCTION_ENVIRONMENT);
  const path = `${base}/zones/${encodeURIComponent(zone)}`;
  const {operator} = context;
  const body = {isOut, operator};
  const answer = await client.value.post<{version: number}>(path, body);
  return answer.map((json) => ({
    json,
    text: `zone ${zone} is ${isOut ? 'out' : 'in'}, version ${json.version}\n`,
  }));
}
