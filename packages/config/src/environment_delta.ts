/** Computes and applies deltas between two environment documents. */
import type {EntityKind} from '@savoryspur/schema';
import {
  type EntityRemoval,
  type EntityUpsert,
  type Environment,
  type EnvironmentDelta,
} from '@savoryspur/schema';
import {isSameEntity} from './digest.js';
import {
  buildDocument,
  compareIds,
  type Entity,
  ENTITY_KINDS,
  getEntityId,
  getEntityLists,
} from './entities.js';

/**
 * Maximum number of entities that are inserted one by one by binary search;
 * above it, the whole list is sorted once.
 */
const MAX_BINARY_INSERTIONS = 32;

/**
 * Computes the delta that turns one document into another.
 *
 * @param before - document with sorted lists
 * @param after - document with sorted lists
 */
export function computeDelta(
  before: Environment,
  after: Environment,
): EnvironmentDelta {
  const delta: EnvironmentDelta = {upserts: [], removals: []};
  if (before.name !== after.name) delta.name = after.name;
  const oldLists = getEntityLists(before);
  const newLists = getEntityLists(after);
  for (const kind of ENTITY_KINDS) {
    if (oldLists[kind] === newLists[kind]) continue;
    const old = new Map(
      oldLists[kind].map((entity) => [getEntityId(kind, entity), entity]),
    );
    for (const entity of newLists[kind]) {
      const id = getEntityId(kind, entity);
      const previous = old.get(id);
      old.delete(id);
      if (previous && isSameEntity(previous, entity)) continue;
      delta.upserts.push({kind, value: {...entity}});
    }
    for (const id of old.keys()) delta.removals.push({kind, id});
  }
  return delta;
}

/** Tells whether a delta changes nothing. */
export function isEmptyDelta(delta: EnvironmentDelta): boolean {
  return (
    delta.name === undefined &&
    delta.upserts.length === 0 &&
    delta.removals.length === 0
  );
}

/**
 * Applies a delta. Lists that the delta does not change are shared with the old
 * document.
 *
 * @param document - document with sorted lists
 * @param delta - upserts and removals
 * @returns a new document with sorted lists
 */
export function applyDelta(
  document: Environment,
  delta: EnvironmentDelta,
): Environment {
  const lists = getEntityLists(document);
  for (const kind of ENTITY_KINDS) {
    const upserts = delta.upserts.filter((upsert) => upsert.kind === kind);
    const removals = delta.removals.filter((removal) => removal.kind === kind);
    if (upserts.length === 0 && removals.length === 0) continue;
    lists[kind] = replaceEntities(kind, lists[kind], upserts, removals);
  }
  return buildDocument(delta.name ?? document.name, lists);
}

function replaceEntities(
  kind: EntityKind,
  entities: readonly Entity[],
  upserts: readonly EntityUpsert[],
  removals: readonly EntityRemoval[],
): Entity[] {
  const changedIds = new Set(removals.map((removal) => removal.id));
  const added: Entity[] = [];
  for (const upsert of upserts) {
    changedIds.add(getEntityId(kind, upsert.value));
    added.push(upsert.value as unknown as Entity);
  }
  const kept = entities.filter(
    (entity) => !changedIds.has(getEntityId(kind, entity)),
  );
  if (added.length > MAX_BINARY_INSERTIONS)
    return buildSortedList(kind, kept, added);
  for (const entity of added) addEntity(kind, kept, entity);
  return kept;
}

function buildSortedList(
  kind: EntityKind,
  kept: readonly Entity[],
  added: readonly Entity[],
): Entity[] {
  return [...kept, ...added].sort((a, b) =>
    compareIds(getEntityId(kind, a), getEntityId(kind, b)),
  );
}

/** Inserts an entity into a sorted list by binary search. */
function addEntity(kind: EntityKind, list: Entity[], entity: Entity): void {
  const id = getEntityId(kind, entity);
  let start = 0;
  let end = list.length;
  while (start < end) {
    const middle = (start + end) >>> 1;
    const other = list[middle];
    if (other && compareIds(getEntityId(kind, other), id) < 0) {
      start = middle + 1;
    } else {
      end = middle;
    }
  }
  list.splice(start, 0, entity);
}
