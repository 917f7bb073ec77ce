/** Uniform access to the entities of an environment document. */
import {
  EntityKind,
  type Environment,
  type Key,
  type Model,
  type Pool,
  type Route,
  type Server,
  type Workspace,
  type Zone,
} from '@savoryspur/schema';

/** Any entity of an environment document. */
export type Entity = Zone | Pool | Server | Model | Workspace | Key | Route;

/** Lists of an environment document, by kind. */
export type EntityLists = Record<EntityKind, Entity[]>;

/** Field that identifies an entity within its list, by kind. */
export const ID_FIELDS: Record<EntityKind, string> = {
  [EntityKind.ZONES]: 'name',
  [EntityKind.POOLS]: 'name',
  [EntityKind.SERVERS]: 'id',
  [EntityKind.MODELS]: 'name',
  [EntityKind.WORKSPACES]: 'name',
  [EntityKind.KEYS]: 'id',
  [EntityKind.ROUTES]: 'path',
};

/** All kinds of entities, in a fixed order. */
export const ENTITY_KINDS: readonly EntityKind[] = Object.values(EntityKind);

/** Reads one field of an entity. */
export function getField(entity: object, field: string): unknown {
  return (entity as Record<string, unknown>)[field];
}

/** Gets the identifier of an entity: its name, id or path. */
export function getEntityId(kind: EntityKind, entity: object): string {
  return String(getField(entity, ID_FIELDS[kind]));
}

/** Gets the lists of a document by kind; the lists are not copied. */
export function getEntityLists(document: Environment): EntityLists {
  return {
    [EntityKind.ZONES]: document.zones,
    [EntityKind.POOLS]: document.pools,
    [EntityKind.SERVERS]: document.servers,
    [EntityKind.MODELS]: document.models,
    [EntityKind.WORKSPACES]: document.workspaces,
    [EntityKind.KEYS]: document.keys,
    [EntityKind.ROUTES]: document.routes,
  };
}

/**
 * Builds a document from lists.
 *
 * @param name - name of the document
 * @param lists - entities by kind, each list sorted by id
 */
export function buildDocument(name: string, lists: EntityLists): Environment {
  return {name, ...lists} as Environment;
}

/** Creates a document without entities. */
export function createEmptyDocument(): Environment {
  return {
    name: '',
    zones: [],
    pools: [],
    servers: [],
    models: [],
    workspaces: [],
    keys: [],
    routes: [],
  };
}

/** Compares two ids by UTF-16 code units, independently of the locale. */
export function compareIds(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}

/** Copies a document with its lists sorted by id; the entities are shared. */
export function buildSortedDocument(document: Environment): Environment {
  const lists = getEntityLists(document);
  for (const kind of ENTITY_KINDS) {
    lists[kind] = [...lists[kind]].sort((a, b) =>
      compareIds(getEntityId(kind, a), getEntityId(kind, b)),
    );
  }
  return buildDocument(document.name, lists);
}
