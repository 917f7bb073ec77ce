/** Compares two environment documents for display to operators. */
import type {EntityKind} from '@savoryspur/schema';
import {type Environment} from '@savoryspur/schema';
import {formatCanonicalJson, isSameEntity} from './digest.js';
import {
  compareIds,
  ENTITY_KINDS,
  getEntityId,
  getEntityLists,
  getField,
} from './entities.js';

/** How an entity differs between two documents. */
export enum DiffKind {
  ADDED = 'added',
  REMOVED = 'removed',
  CHANGED = 'changed',
}

/** One field that differs. */
export interface FieldChange {
  field: string;
  /** Value before the change; undefined when the field was added. */
  before?: unknown;
  /** Value after the change; undefined when the field was removed. */
  after?: unknown;
}

/** One entity that differs. */
export interface EntityChange {
  change: DiffKind;
  kind: EntityKind;
  id: string;
  /** Fields that differ; all fields of an entity that was added or removed. */
  fields: FieldChange[];
}

/**
 * Lists the entities that differ between two documents.
 *
 * @param before - document with sorted lists
 * @param after - document with sorted lists
 * @returns changes in the order of kinds and ids
 */
export function compareEnvironments(
  before: Environment,
  after: Environment,
): EntityChange[] {
  const changes: EntityChange[] = [];
  const oldLists = getEntityLists(before);
  const newLists = getEntityLists(after);
  for (const kind of ENTITY_KINDS) {
    const oldById = new Map(
      oldLists[kind].map((entity) => [getEntityId(kind, entity), entity]),
    );
    const newById = new Map(
      newLists[kind].map((entity) => [getEntityId(kind, entity), entity]),
    );
    const ids = [...new Set([...oldById.keys(), ...newById.keys()])].sort(
      compareIds,
    );
    for (const id of ids) {
      const change = compareEntity(kind, id, oldById.get(id), newById.get(id));
      if (change) changes.push(change);
    }
  }
  return changes;
}

/** Formats a change as one line. */
export function formatEntityChange(change: EntityChange): string {
  const mark = CHANGE_MARKS[change.change];
  if (change.change !== DiffKind.CHANGED) {
    return `${mark} ${change.kind} ${change.id}`;
  }
  const fields = change.fields.map(
    ({field, before, after}) =>
      `${field} ${formatValue(before)} -> ${formatValue(after)}`,
  );
  return `${mark} ${change.kind} ${change.id}: ${fields.join(', ')}`;
}

/** First character of the line of a change, by kind of change. */
const CHANGE_MARKS: Record<DiffKind, string> = {
  [DiffKind.ADDED]: '+',
  [DiffKind.REMOVED]: '-',
  [DiffKind.CHANGED]: '~',
};

function formatValue(value: unknown): string {
  return value === undefined ? 'nothing' : JSON.stringify(value);
}

function compareEntity(
  kind: EntityKind,
  id: string,
  before: object | undefined,
  after: object | undefined,
): EntityChange | undefined {
  if (before && after && isSameEntity(before, after)) return undefined;
  const change = before
    ? after
      ? DiffKind.CHANGED
      : DiffKind.REMOVED
    : DiffKind.ADDED;
  return {change, kind, id, fields: compareFields(before ?? {}, after ?? {})};
}

function compareFields(before: object, after: object): FieldChange[] {
  const names = new Set([...Object.keys(before), ...Object.keys(after)]);
  const changes: FieldChange[] = [];
  for (const field of [...names].sort(compareIds)) {
    const oldValue = getField(before, field);
    const newValue = getField(after, field);
    if (isSameValue(oldValue, newValue)) continue;
    changes.push({field, before: oldValue, after: newValue});
  }
  return changes;
}

function isSameValue(a: unknown, b: unknown): boolean {
  if (a === undefined || b === undefined) return a === b;
  return formatCanonicalJson(a) === formatCanonicalJson(b);
}
