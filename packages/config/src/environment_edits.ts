/** Changes that commands make to a document: keys and zone states. */
import {ErrorCode, SavoryspurError} from '@savoryspur/common';
import {
  EntityKind,
  type Environment,
  type Key,
  KeyState,
  type ZoneState,
} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';
import type {Entity} from './entities.js';
import {applyDelta} from './environment_delta.js';

/**
 * Adds a key to an existing workspace.
 *
 * @returns an error with code NOT_FOUND for an unknown workspace, or CONFLICT
 *     when the id of the key is in use
 */
export function addKey(
  document: Environment,
  key: Key,
): Result<Environment, SavoryspurError> {
  if (!document.workspaces.some((other) => other.name === key.workspace)) {
    return err(createNotFoundError('workspace', key.workspace));
  }
  if (document.keys.some((other) => other.id === key.id)) {
    return err(
      new SavoryspurError(
        ErrorCode.CONFLICT,
        {step: 'config.issueKey', peer: key.id},
        `id: found the id of another key, expected a new id`,
      ),
    );
  }
  return ok(replaceEntity(document, EntityKind.KEYS, key));
}

/**
 * Withdraws a key; has no effect on a withdrawn key.
 *
 * @returns an error with code NOT_FOUND for an unknown id
 */
export function withdrawKey(
  document: Environment,
  id: string,
): Result<Environment, SavoryspurError> {
  const key = document.keys.find((candidate) => candidate.id === id);
  if (!key) return err(createNotFoundError('key', id));
  const withdrawn = {...key, state: KeyState.WITHDRAWN};
  return ok(replaceEntity(document, EntityKind.KEYS, withdrawn));
}

/**
 * Sets the state of a zone.
 *
 * @returns an error with code NOT_FOUND for an unknown zone
 */
export function setZoneState(
  document: Environment,
  name: string,
  state: ZoneState,
): Result<Environment, SavoryspurError> {
  const zone = document.zones.find((candidate) => candidate.name === name);
  if (!zone) return err(createNotFoundError('zone', name));
  return ok(replaceEntity(document, EntityKind.ZONES, {...zone, state}));
}

/** Adds or replaces one entity; the other lists are shared, not copied. */
function replaceEntity(
  document: Environment,
  kind: EntityKind,
  entity: Entity,
): Environment {
  const upserts = [{kind, value: {...entity}}];
  return applyDelta(document, {upserts, removals: []});
}

function createNotFoundError(field: string, found: string): SavoryspurError {
  return new SavoryspurError(
    ErrorCode.NOT_FOUND,
    {step: 'config.find', peer: found},
    `${field}: found ${JSON.stringify(found)}, expected a ${field} of the ` +
      'environment',
  );
}
