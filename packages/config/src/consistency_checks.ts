/** Checks that the entities of a document are consistent with each other. */
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

/** A field that has to name an entity of another list. */
interface Reference {
  from: EntityKind;
  field: string;
  to: EntityKind;
}

/** Paths that the daemon serves itself; routes may not be below them. */
const RESERVED_PATHS = ['/v1', '/operator', '/health', '/ready', '/metrics'];

/** All fields that refer to entities of other lists. */
const REFERENCES: readonly Reference[] = [
  {from: EntityKind.SERVERS, field: 'pool', to: EntityKind.POOLS},
  {from: EntityKind.SERVERS, field: 'zone', to: EntityKind.ZONES},
  {from: EntityKind.MODELS, field: 'pool', to: EntityKind.POOLS},
  {from: EntityKind.KEYS, field: 'workspace', to: EntityKind.WORKSPACES},
  {from: EntityKind.ROUTES, field: 'pool', to: EntityKind.POOLS},
  {from: EntityKind.ROUTES, field: 'workspace', to: EntityKind.WORKSPACES},
];

/**
 * Checks the consistency of a document that matches its schema.
 *
 * @param document - document with lists in the order of its text
 * @returns the errors, check by check, each in the order of the list
 */
export function checkConsistency(document: Environment): FieldError[] {
  return [
    ...checkUniqueFields(document),
    ...checkReferenceTargets(document),
    ...checkPoolCapacities(document),
    ...checkPoolKinds(document),
    ...checkServerUrls(document),
    ...checkRoutes(document),
  ];
}

/**
 * Checks that a document sets no field that only commands may set.
 *
 * @param document - document with lists in the order of its text
 */
export function checkNoCommandFields(document: Environment): FieldError[] {
  const errors: FieldError[] = [];
  for (const [index, key] of document.keys.entries()) {
    if (key.issued === undefined) continue;
    errors.push({
      field: `keys[${index}].issued`,
      found: String(key.issued),
      expected: 'no such field in a document',
    });
  }
  return errors;
}

function checkUniqueFields(document: Environment): FieldError[] {
  const errors: FieldError[] = [];
  const lists = getEntityLists(document);
  for (const kind of ENTITY_KINDS) {
    const field = ID_FIELDS[kind];
    errors.push(...checkFieldIsUnique(kind, lists[kind], field));
  }
  errors.push(...checkFieldIsUnique(EntityKind.KEYS, document.keys, 'hash'));
  errors.push(
    ...checkFieldIsUnique(EntityKind.SERVERS, document.servers, 'url'),
  );
  return errors;
}

function checkFieldIsUnique(
  kind: EntityKind,
  entities: readonly Entity[],
  field: string,
): FieldError[] {
  const errors: FieldError[] = [];
  const firstIndexes = new Map<unknown, number>();
  for (const [index, entity] of entities.entries()) {
    const value = getField(entity, field);
    const firstIndex = firstIndexes.get(value);
    if (firstIndex === undefined) {
      firstIndexes.set(value, index);
      continue;
    }
    errors.push({
      field: `${kind}[${index}].${field}`,
      found: `${JSON.stringify(value)} again`,
      expected: `a ${field} other than that of ${kind}[${firstIndex}]`,
    });
  }
  return errors;
}

/**
 * Checks that each reference names an existing entity. A withdrawn key may name
 * a workspace that no longer exists.
 */
function checkReferenceTargets(document: Environment): FieldError[] {
  const errors: FieldError[] = [];
  const lists = getEntityLists(document);
  for (const {from, field, to} of REFERENCES) {
    const names = new Set(lists[to].map((entity) => getEntityId(to, entity)));
    for (const [index, entity] of lists[from].entries()) {
      const name = getField(entity, field);
      if (name === undefined || names.has(String(name))) continue;
      if (getField(entity, 'state') === KeyState.WITHDRAWN) continue;
      errors.push({
        field: `${from}[${index}].${field}`,
        found: JSON.stringify(name),
        expected: `the ${ID_FIELDS[to]} of one of the ${to}`,
      });
    }
  }
  return errors;
}

function checkPoolKinds(document: Environment): FieldError[] {
  const kinds = new Map(document.pools.map((pool) => [pool.name, pool.kind]));
  const errors: FieldError[] = [];
  for (const [index, model] of document.models.entries()) {
    if (kinds.get(model.pool) !== PoolKind.SERVICE) continue;
    errors.push({
      field: `models[${index}].pool`,
      found: `${JSON.stringify(model.pool)} of kind "service"`,
      expected: 'a pool of kind "engine"',
    });
  }
  for (const [index, route] of document.routes.entries()) {
    if (kinds.get(route.pool) !== PoolKind.ENGINE) continue;
    errors.push({
      field: `routes[${index}].pool`,
      found: `${JSON.stringify(route.pool)} of kind "engine"`,
      expected: 'a pool of kind "service"',
    });
  }
  return errors;
}

function checkPoolCapacities(document: Environment): FieldError[] {
  const errors: FieldError[] = [];
  for (const [index, pool] of document.pools.entries()) {
    if (pool.coldCapacity <= pool.warmCapacity) continue;
    errors.push({
      field: `pools[${index}].coldCapacity`,
      found: String(pool.coldCapacity),
      expected: `at most the warmCapacity of ${pool.warmCapacity}`,
    });
  }
  return errors;
}

function checkServerUrls(document: Environment): FieldError[] {
  const errors: FieldError[] = [];
  for (const [index, server] of document.servers.entries()) {
    if (URL.canParse(server.url)) continue;
    errors.push({
      field: `servers[${index}].url`,
      found: JSON.stringify(server.url),
      expected: 'a URL such as "http://10.0.0.1:8000"',
    });
  }
  return errors;
}

function checkRoutes(document: Environment): FieldError[] {
  const errors: FieldError[] = [];
  for (const [index, route] of document.routes.entries()) {
    for (const check of ROUTE_CHECKS) {
      const error = check(route);
      if (!error) continue;
      errors.push({...error, field: `routes[${index}].${error.field}`});
    }
  }
  return errors;
}

/** Checks of one route; each returns an error, or undefined for a valid route. */
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
    expected: 'no workspace, since the key of a call determines it',
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
