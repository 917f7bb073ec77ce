/** Checks that the entities of a document fit together. */
import {
  EntityKind,
  type Environment,
  type FieldError,
  KeyState,
  PoolKind,
  type Route,
} from '@savoryspur/schema';
import {
  type Entity,
  ENTITY_KINDS,
  getEntityId,
  getEntityLists,
  getField,
  ID_FIELDS,
} from './entities.js';

/** A field that must name an entity of another list. */
interface Reference {
  from: EntityKind;
  field: string;
  to: EntityKind;
}

/** Paths that the daemon serves itself. */
const RESERVED_PATHS = ['/v1', '/operator', '/health', '/ready', '/metrics'];

const REFERENCES: readonly Reference[] = [
  {from: EntityKind.SERVERS, field: 'pool', to: EntityKind.POOLS},
  {from: EntityKind.SERVERS, field: 'zone', to: EntityKind.ZONES},
  {from: EntityKind.MODELS, field: 'pool', to: EntityKind.POOLS},
  {from: EntityKind.KEYS, field: 'workspace', to: EntityKind.WORKSPACES},
  {from: EntityKind.ROUTES, field: 'pool', to: EntityKind.POOLS},
  {from: EntityKind.ROUTES, field: 'workspace', to: EntityKind.WORKSPACES},
];

/**
 * Checks a document that matches its schema.
 *
 * @param document - document in the order of its text
 * @returns the faults, in the order of the document's lists
 */
export function checkReferences(document: Environment): FieldError[] {
  return [
    ...checkUnique(document),
    ...checkNamed(document),
    ...checkPools(document),
    ...checkPoolKinds(document),
    ...checkServers(document),
    ...checkRoutes(document),
  ];
}

/**
 * Checks that a document declares nothing that only commands may set.
 *
 * @param document - document in the order of its text
 */
export function checkDeclared(document: Environment): FieldError[] {
  const faults: FieldError[] = [];
  for (const [index, key] of document.keys.entries()) {
    if (key.issued === undefined) continue;
    faults.push({
      field: `keys[${index}].issued`,
      found: String(key.issued),
      expected: 'no such field in a document',
    });
  }
  return faults;
}

function checkUnique(document: Environment): FieldError[] {
  const faults: FieldError[] = [];
  const lists = getEntityLists(document);
  for (const kind of ENTITY_KINDS) {
    const field = ID_FIELDS[kind];
    faults.push(...checkUniqueField(kind, lists[kind], field));
  }
  faults.push(...checkUniqueField(EntityKind.KEYS, document.keys, 'hash'));
  faults.push(...checkUniqueField(EntityKind.SERVERS, document.servers, 'url'));
  return faults;
}

function checkUniqueField(
  kind: EntityKind,
  entities: readonly Entity[],
  field: string,
): FieldError[] {
  const faults: FieldError[] = [];
  const seen = new Map<unknown, number>();
  for (const [index, entity] of entities.entries()) {
    const value = getField(entity, field);
    const first = seen.get(value);
    if (first === undefined) {
      seen.set(value, index);
      continue;
    }
    faults.push({
      field: `${kind}[${index}].${field}`,
      found: `${JSON.stringify(value)} again`,
      expected: `a ${field} other than that of ${kind}[${first}]`,
    });
  }
  return faults;
}

function checkNamed(document: Environment): FieldError[] {
  const faults: FieldError[] = [];
  const lists = getEntityLists(document);
  for (const {from, field, to} of REFERENCES) {
    const names = new Set(lists[to].map((entity) => getEntityId(to, entity)));
    for (const [index, entity] of lists[from].entries()) {
      const name = getField(entity, field);
      if (name === undefined || names.has(String(name))) continue;
      if (getField(entity, 'state') === KeyState.WITHDRAWN) continue;
      faults.push({
        field: `${from}[${index}].${field}`,
        found: JSON.stringify(name),
        expected: `the ${ID_FIELDS[to]} of one of the ${to}`,
      });
    }
  }
  return faults;
}

function checkPoolKinds(document: Environment): FieldError[] {
  const kinds = new Map(document.pools.map((pool) => [pool.name, pool.kind]));
  const faults: FieldError[] = [];
  for (const [index, model] of document.models.entries()) {
    if (kinds.get(model.pool) !== PoolKind.SERVICE) continue;
    faults.push({
      field: `models[${index}].pool`,
      found: `${JSON.stringify(model.pool)} of kind "service"`,
      expected: 'a pool of kind "engine"',
    });
  }
  for (const [index, route] of document.routes.entries()) {
    if (kinds.get(route.pool) !== PoolKind.ENGINE) continue;
    faults.push({
      field: `routes[${index}].pool`,
      found: `${JSON.stringify(route.pool)} of kind "engine"`,
      expected: 'a pool of kind "service"',
    });
  }
  return faults;
}

function checkPools(document: Environment): FieldError[] {
  const faults: FieldError[] = [];
  for (const [index, pool] of document.pools.entries()) {
    if (pool.coldCapacity <= pool.warmCapacity) continue;
    faults.push({
      field: `pools[${index}].coldCapacity`,
      found: String(pool.coldCapacity),
      expected: `at most the warmCapacity of ${pool.warmCapacity}`,
    });
  }
  return faults;
}

function checkServers(document: Environment): FieldError[] {
  const faults: FieldError[] = [];
  for (const [index, server] of document.servers.entries()) {
    if (URL.canParse(server.url)) continue;
    faults.push({
      field: `servers[${index}].url`,
      found: JSON.stringify(server.url),
      expected: 'a URL such as "http://10.0.0.1:8000"',
    });
  }
  return faults;
}

function checkRoutes(document: Environment): FieldError[] {
  const faults: FieldError[] = [];
  for (const [index, route] of document.routes.entries()) {
    for (const check of ROUTE_CHECKS) {
      const fault = check(route);
      if (!fault) continue;
      faults.push({...fault, field: `routes[${index}].${fault.field}`});
    }
  }
  return faults;
}

/** Checks of one route; each gives the fault, or nothing. */
const ROUTE_CHECKS: ReadonlyArray<(route: Route) => FieldError | undefined> = [
  checkOpenWorkspace,
  checkClosedWorkspace,
  checkReservedPath,
  checkTrailingSlash,
];

function checkOpenWorkspace(route: Route): FieldError | undefined {
  if (!route.open || route.workspace !== undefined) return undefined;
  return {
    field: 'workspace',
    found: 'nothing on an open route',
    expected: 'the workspace that is charged for its calls',
  };
}

function checkClosedWorkspace(route: Route): FieldError | undefined {
  if (route.open || route.workspace === undefined) return undefined;
  return {
    field: 'workspace',
    found: `${JSON.stringify(route.workspace)} on a route that is not open`,
    expected: 'no workspace, since the key of a call tells it',
  };
}

function checkReservedPath(route: Route): FieldError | undefined {
  const reserved = RESERVED_PATHS.find(
    (path) => route.path === path || route.path.startsWith(`${path}/`),
  );
  if (reserved === undefined) return undefined;
  return {
    field: 'path',
    found: JSON.stringify(route.path),
    expected: `a path that is not below ${reserved}`,
  };
}

function checkTrailingSlash(route: Route): FieldError | undefined {
  if (!route.path.endsWith('/')) return undefined;
  return {
    field: 'path',
    found: JSON.stringify(route.path),
    expected: 'a path that does not end with a slash',
  };
}
