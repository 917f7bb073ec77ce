/**
 * Checks environment documents for operators, before they are applied: errors,
 * and warnings of entries that have no effect.
 */
import {
  EntityKind,
  type Environment,
  type FieldError,
  KeyState,
  PoolKind,
  ZoneState,
} from '@savoryspur/schema';
import {parse} from 'smol-toml';
import {isSameEntity} from './digest.js';
import {
  buildSortedDocument,
  createEmptyDocument,
  ENTITY_KINDS,
  getEntityLists,
  getField,
} from './entities.js';
import {compareEnvironments, type EntityChange} from './environment_diff.js';
import {mergeDocument} from './merge_document.js';
import {
  addLines,
  type DocumentError,
  parseUnsortedEnvironment,
} from './parse_environment.js';

/** Severity of a finding. */
export enum Severity {
  /** The document is not applied. */
  ERROR = 'error',
  /** The document can be applied, but a part of it has no effect. */
  WARNING = 'warning',
}

/** An error or a warning of a document. */
export interface Finding extends DocumentError {
  severity: Severity;
}

/** Result of the check of a document by itself. */
export interface DocumentCheck {
  /** Document with sorted lists; absent when the document has errors. */
  document?: Environment;
  findings: Finding[];
}

/** Result of the comparison of a document with the state in force. */
export interface LiveCheck {
  findings: Finding[];
  /** What applying the document would change; absent when it is refused. */
  differences?: EntityChange[];
}

/** Warns of entries of a document with lists in the order of its text. */
type WarningRule = (document: Environment) => FieldError[];

/**
 * Tolerance for rounding errors in the part of a burst that batch items may
 * use, tokens; the token buckets have the same one.
 */
const ROUNDING_TOLERANCE_TOKENS = 1e-9;

/** Rules of a document by itself, in the order of their findings. */
const WARNING_RULES: readonly WarningRule[] = [
  listRedundantRoutes,
  listEmptyPools,
  listPoolsInZonesOut,
  listWorkspacesWithoutCallers,
  listWithdrawnKeys,
  listExcessiveHeadrooms,
  listVoidBatchShares,
];

/**
 * Checks a document by itself.
 *
 * @param toml - text of the document
 */
export function checkDocument(toml: string): DocumentCheck {
  const parsed = parseUnsortedEnvironment(toml);
  if (parsed.isErr()) {
    return {findings: addSeverity(Severity.ERROR, parsed.error)};
  }
  const warnings = WARNING_RULES.flatMap((rule) => rule(parsed.value));
  return {
    document: buildSortedDocument(parsed.value),
    findings: addSeverity(Severity.WARNING, addLines(toml, warnings)),
  };
}

/**
 * Compares a document with the state in force, and warns of what the document
 * requests but only commands can do.
 *
 * @param toml - text of the document
 * @param live - state in force, with sorted lists
 * @returns the differences and warnings, or the errors for which the document
 *     is refused
 */
export function checkAgainstLive(toml: string, live: Environment): LiveCheck {
  const parsed = parseUnsortedEnvironment(toml);
  if (parsed.isErr()) {
    return {findings: addSeverity(Severity.ERROR, parsed.error)};
  }
  const merged = mergeDocument(live, buildSortedDocument(parsed.value));
  if (merged.isErr()) {
    return {findings: addSeverity(Severity.ERROR, merged.error)};
  }
  const warnings = [
    ...listKeptZoneStates(live, parsed.value, listStatedZones(toml)),
    ...listKeptWithdrawals(live, parsed.value),
    ...listRemovedIssuers(live, parsed.value),
  ];
  return {
    findings: addSeverity(Severity.WARNING, addLines(toml, warnings)),
    differences: compareEnvironments(live, merged.value),
  };
}

/**
 * Parses the document of a state in the answer of a daemon. A daemon answers
 * with an empty document before the first version.
 *
 * @returns undefined when the value has not all lists of a document
 */
export function parseLiveDocument(value: unknown): Environment | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  const document = {...createEmptyDocument(), ...value};
  const hasLists = ENTITY_KINDS.every((kind) =>
    Array.isArray(getField(value, kind)),
  );
  return hasLists ? document : undefined;
}

function addSeverity(
  severity: Severity,
  errors: readonly DocumentError[],
): Finding[] {
  return errors.map((error) => ({severity, ...error}));
}

/** Lists routes that treat calls as the route above them would do. */
function listRedundantRoutes({routes}: Environment): FieldError[] {
  const indexes = new Map(routes.map(({path}, index) => [path, index]));
  const warnings: FieldError[] = [];
  for (const [index, route] of routes.entries()) {
    const above = findRouteAbove(indexes, route.path);
    const other = above === undefined ? undefined : routes[above];
    if (!other || !isSameEntity({...route, path: other.path}, other)) continue;
    warnings.push({
      field: `routes[${index}].path`,
      found: `${JSON.stringify(route.path)}, whose calls go the same way without it`,
      expected: `other fields than those of routes[${above}], or no such route unless the burn report shall list it`,
    });
  }
  return warnings;
}

/** Finds the index of the route with the longest path above a path. */
function findRouteAbove(
  indexes: ReadonlyMap<string, number>,
  path: string,
): number | undefined {
  let end = path.lastIndexOf('/');
  while (end > 0) {
    const index = indexes.get(path.slice(0, end));
    if (index !== undefined) return index;
    end = path.lastIndexOf('/', end - 1);
  }
  return undefined;
}

/** Lists pools without servers, and the models and routes of such pools. */
function listEmptyPools(document: Environment): FieldError[] {
  const pools = new Set(document.servers.map((server) => server.pool));
  const lists = getEntityLists(document);
  const references = [
    {kind: EntityKind.POOLS, field: 'name'},
    {kind: EntityKind.MODELS, field: 'pool'},
    {kind: EntityKind.ROUTES, field: 'pool'},
  ];
  const warnings: FieldError[] = [];
  for (const {kind, field} of references) {
    for (const [index, entity] of lists[kind].entries()) {
      const pool = String(getField(entity, field));
      if (pools.has(pool)) continue;
      warnings.push({
        field: `${kind}[${index}].${field}`,
        found: `${JSON.stringify(pool)}, a pool without servers`,
        expected: 'a pool of one of the servers',
      });
    }
  }
  return warnings;
}

/** Lists pools whose servers get no work, as their zones are declared out. */
function listPoolsInZonesOut(document: Environment): FieldError[] {
  const {pools, servers, zones} = document;
  const zonesIn = new Set(
    zones.filter((z) => z.state === ZoneState.IN).map((z) => z.name),
  );
  const poolsWithServers = new Set(servers.map((server) => server.pool));
  const poolsIn = new Set(
    servers.filter((s) => zonesIn.has(s.zone)).map((server) => server.pool),
  );
  const warnings: FieldError[] = [];
  for (const [index, {name}] of pools.entries()) {
    if (!poolsWithServers.has(name) || poolsIn.has(name)) continue;
    warnings.push({
      field: `pools[${index}].name`,
      found: `${JSON.stringify(name)}, a pool with servers only in zones that are declared out`,
      expected: 'a server in a zone of state "in"',
    });
  }
  return warnings;
}

/** Lists workspaces that no call can be charged to, issued keys apart. */
function listWorkspacesWithoutCallers(document: Environment): FieldError[] {
  const {keys, routes, workspaces} = document;
  const active = keys.filter((key) => key.state === KeyState.ACTIVE);
  const reached = new Set<string | undefined>([
    ...active.map((key) => key.workspace),
    ...routes.map((route) => route.workspace),
  ]);
  const warnings: FieldError[] = [];
  for (const [index, {name}] of workspaces.entries()) {
    if (reached.has(name)) continue;
    warnings.push({
      field: `workspaces[${index}].name`,
      found: `${JSON.stringify(name)} without an active key or an open route in the document`,
      expected: 'one of them, unless a command issues its keys',
    });
  }
  return warnings;
}

/** An entry may withdraw an issued key, so that it is needed until it is applied. */
function listWithdrawnKeys({keys}: Environment): FieldError[] {
  const warnings: FieldError[] = [];
  for (const [index, {state}] of keys.entries()) {
    if (state !== KeyState.WITHDRAWN) continue;
    warnings.push({
      field: `keys[${index}].state`,
      found: `${JSON.stringify(state)}, so that the key never matches`,
      expected:
        'an active key, or no such entry once the key is withdrawn in force',
    });
  }
  return warnings;
}

/** Batch items go only to models, so that pools of services are left out. */
function listExcessiveHeadrooms({pools}: Environment): FieldError[] {
  const warnings: FieldError[] = [];
  for (const [index, pool] of pools.entries()) {
    const {kind, headroom, warmCapacity} = pool;
    if (kind !== PoolKind.ENGINE || headroom < warmCapacity) continue;
    warnings.push({
      field: `pools[${index}].headroom`,
      found: `${headroom}, which leaves batch items no slot on a warm server`,
      expected: `less than the warmCapacity of ${warmCapacity}`,
    });
  }
  return warnings;
}

/**
 * Lists workspaces whose batch items never get a token: the token buckets hold
 * at most `burst * batchShare` tokens for them, and an item takes a whole one.
 * A share of 0 is a choice and no contradiction.
 */
function listVoidBatchShares({workspaces}: Environment): FieldError[] {
  const warnings: FieldError[] = [];
  for (const [index, {burst, batchShare}] of workspaces.entries()) {
    const tokens = burst * batchShare + ROUNDING_TOLERANCE_TOKENS;
    if (batchShare === 0 || tokens >= 1) continue;
    warnings.push({
      field: `workspaces[${index}].batchShare`,
      found: `${batchShare} of a burst of ${burst}, which is less than the one token of a batch item`,
      expected: '0, or a share that is at least one token',
    });
  }
  return warnings;
}

/** Lists the names of the zones whose state the text gives. */
function listStatedZones(toml: string): Set<string> {
  const {zones} = parse(toml) as unknown as Environment;
  const stated = zones.filter((zone) => getField(zone, 'state') !== undefined);
  return new Set(stated.map((zone) => zone.name));
}

function listKeptZoneStates(
  live: Environment,
  declared: Environment,
  statedZones: ReadonlySet<string>,
): FieldError[] {
  const states = new Map(live.zones.map((zone) => [zone.name, zone.state]));
  const warnings: FieldError[] = [];
  for (const [index, {name, state}] of declared.zones.entries()) {
    const liveState = states.get(name);
    if (!statedZones.has(name) || !liveState || liveState === state) continue;
    warnings.push({
      field: `zones[${index}].state`,
      found: JSON.stringify(state),
      expected: `${JSON.stringify(liveState)}, which is in force and which only the command zone changes`,
    });
  }
  return warnings;
}

function listKeptWithdrawals(
  live: Environment,
  declared: Environment,
): FieldError[] {
  const withdrawn = live.keys.filter((k) => k.state === KeyState.WITHDRAWN);
  const ids = new Set(withdrawn.map((key) => key.id));
  const warnings: FieldError[] = [];
  for (const [index, {id, state}] of declared.keys.entries()) {
    if (state !== KeyState.ACTIVE || !ids.has(id)) continue;
    warnings.push({
      field: `keys[${index}].state`,
      found: `${JSON.stringify(state)} for a key that was withdrawn`,
      expected: 'a new key under a new id, since a withdrawal is permanent',
    });
  }
  return warnings;
}

/** Lists removed workspaces whose issued keys the removal withdraws. */
function listRemovedIssuers(
  live: Environment,
  declared: Environment,
): FieldError[] {
  const kept = new Set(declared.workspaces.map((w) => w.name));
  const declaredKeys = new Set(declared.keys.map((key) => key.id));
  const counts = new Map<string, number>();
  for (const {id, issued, state, workspace} of live.keys) {
    if (!issued || state !== KeyState.ACTIVE) continue;
    if (kept.has(workspace) || declaredKeys.has(id)) continue;
    counts.set(workspace, (counts.get(workspace) ?? 0) + 1);
  }
  return [...counts].map(([name, count]) => ({
    field: 'workspaces',
    found: `no ${JSON.stringify(name)}, which has issued keys (${count})`,
    expected: 'the workspace, as its issued keys are withdrawn without it',
  }));
}
