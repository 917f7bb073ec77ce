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

/** Entry of a document whose fields with defaults may be left out. */
type Entry<T, TRequired extends keyof T> = Pick<T, TRequired> & Partial<T>;

/** Environment document before defaults are filled in. */
export interface EnvironmentDocument {
  name: Environment['name'];
  zones: Array<Entry<Zone, 'name' | 'region'>>;
  pools?: Array<Entry<Pool, 'name' | 'kind'>>;
  servers?: Server[];
  models?: Array<Entry<Model, 'name' | 'pool'>>;
  workspaces?: Array<Entry<Workspace, 'name' | 'rate' | 'burst'>>;
  keys?: Array<Entry<Key, 'id' | 'workspace' | 'hash'>>;
  routes?: Array<Entry<Route, 'path' | 'pool'>>;
}

/**
 * Creates the entry of a key in a document.
 *
 * @param id - public id
 * @param workspace - workspace of the key
 * @param secret - what the caller presents
 */
export function createKeyEntry(
  id: string,
  workspace: string,
  secret: string,
): Key {
  const hash = createHash('sha256').update(secret).digest('hex');
  return {id, workspace, hash, state: KeyState.ACTIVE};
}
