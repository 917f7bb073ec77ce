/**
 * Merges a declared document into the state in force. Issued keys, withdrawn
 * keys and zone states are set by commands; a document never reverts them.
 */
import {
  type Environment,
  type FieldError,
  type Key,
  KeyState,
  type Zone,
} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';
import {buildSortedDocument} from './entities.js';

/**
 * Merges a document into the state in force.
 *
 * - An existing zone keeps its state; a new zone takes the declared state.
 * - A withdrawn key stays withdrawn, also when the document omits the key.
 * - An issued key stays; the key is withdrawn when its workspace is removed.
 *
 * @param live - state in force, with sorted lists
 * @param declared - document with sorted lists
 * @returns the new document, or the errors for keys whose id or hash is already
 *     used by another issued or withdrawn key
 */
export function mergeDocument(
  live: Environment,
  declared: Environment,
): Result<Environment, FieldError[]> {
  const errors = checkKeyConflicts(live.keys, declared.keys);
  if (errors.length > 0) return err(errors);
  return ok(
    buildSortedDocument({
      ...declared,
      zones: mergeZones(live.zones, declared.zones),
      keys: mergeKeys(live, declared),
    }),
  );
}

/** Gets the declared part of a state: the document without issued keys. */
export function getDeclaredPart(state: Environment): Environment {
  return {...state, keys: state.keys.filter((key) => !key.issued)};
}

function mergeZones(live: Zone[], declared: Zone[]): Zone[] {
  const states = new Map(live.map((zone) => [zone.name, zone.state]));
  return declared.map((zone) => {
    const state = states.get(zone.name) ?? zone.state;
    return state === zone.state ? zone : {...zone, state};
  });
}

function mergeKeys(live: Environment, declared: Environment): Key[] {
  const workspaces = new Set(declared.workspaces.map((w) => w.name));
  const merged = new Map(declared.keys.map((key) => [key.id, key]));
  for (const key of live.keys) {
    const other = merged.get(key.id);
    if (key.state === KeyState.WITHDRAWN) merged.set(key.id, key);
    else if (other && key.issued) merged.set(key.id, {...key, ...other});
    else if (key.issued)
      merged.set(key.id, withdrawWithoutWorkspace(key, workspaces));
  }
  return [...merged.values()];
}

/** Withdraws a key whose workspace does not exist any more. */
function withdrawWithoutWorkspace(
  key: Key,
  workspaces: ReadonlySet<string>,
): Key {
  if (workspaces.has(key.workspace)) return key;
  return {...key, state: KeyState.WITHDRAWN};
}

/**
 * Checks that a document does not reuse the id or the hash of an issued or
 * withdrawn key for another key.
 */
function checkKeyConflicts(live: Key[], declared: Key[]): FieldError[] {
  const byId = new Map(live.map((key) => [key.id, key]));
  const byHash = new Map(live.map((key) => [key.hash, key]));
  const errors: FieldError[] = [];
  for (const key of declared) {
    const sameId = byId.get(key.id);
    const isIdProtected =
      sameId?.issued || sameId?.state === KeyState.WITHDRAWN;
    if (sameId && isIdProtected && sameId.hash !== key.hash) {
      errors.push({
        field: `keys.${key.id}.hash`,
        found: 'another hash under the id of an issued or withdrawn key',
        expected: 'a new id',
      });
    }
    const sameHash = byHash.get(key.hash);
    const isHashProtected =
      sameHash?.issued || sameHash?.state === KeyState.WITHDRAWN;
    if (sameHash && isHashProtected && sameHash.id !== key.id) {
      errors.push({
        field: `keys.${key.id}.hash`,
        found: `the hash of the issued or withdrawn key ${sameHash.id}`,
        expected: 'the hash of another key',
      });
    }
  }
  return errors;
}
