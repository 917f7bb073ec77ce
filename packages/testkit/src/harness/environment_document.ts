/** Environment documents of test fleets. */
import {createHash} from 'node:crypto';
import type {
  Environment,
  Key,
  Model,
  Pool,
  Route,
  Server,
  Workspace,
  Zone,
} from '@savoryspur/schema';
import {KeyState} from '@savoryspur/schema';

/** Entry of a document in which fields with defaults may be left out. */
type DocumentEntry<T, TRequired extends keyof T> = Pick<T, TRequired> &
  Partial<T>;

/** Environment document before defaults are filled in. */
export interface EnvironmentDocument {
  name: Environment['name'];
  zones: Array<DocumentEntry<Zone, 'name' | 'region'>>;
  pools?: Array<DocumentEntry<Pool, 'name' | 'kind'>>;
  servers?: Server[];
  models?: Array<DocumentEntry<Model, 'name' | 'pool'>>;
  workspaces?: Array<DocumentEntry<Workspace, 'name' | 'rate' | 'burst'>>;
  keys?: Array<DocumentEntry<Key, 'id' | 'workspace' | 'hash'>>;
  routes?: Array<DocumentEntry<Route, 'path' | 'pool'>>;
}

/**
 * Creates the entry of a key in a document.
 *
 * @param id - public id of the key
 * @param workspace - workspace that the key belongs to
 * @param secret - secret that callers present, of which the entry holds the hash
 */
export function createKeyEntry(
  id: string,
  workspace: string,
  secret: string,
): Key {
  const hash = createHash('sha256').update(secret).digest('hex');
  return {id, workspace, hash, state: KeyState.ACTIVE};
}
