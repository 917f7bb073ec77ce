/** Environment documents for the tests. */
import {randomBytes} from 'node:crypto';
import {MemoryEventLog, SystemClock} from '@savoryspur/common';
import type {Environment} from '@savoryspur/schema';
import {ConfigStore, parseEnvironment} from '../src/index.js';
import {MemoryObjects, MemoryTable} from './memory_storage.js';

/** A small valid document. */
export const SMALL_DOCUMENT = `name = "fraser-valley"

[[zones]]
name = "lower-1"
region = "west"

[[zones]]
name = "lower-2"
region = "west"

[[pools]]
name = "assistant"
kind = "engine"

[[pools]]
name = "ledger"
kind = "service"

[[servers]]
id = "engine-1"
pool = "assistant"
zone = "lower-1"
url = "http://127.0.0.1:9001"

[[models]]
name = "plating"
pool = "assistant"

[[workspaces]]
name = "kitchens"
rate = 20
burst = 40

[[keys]]
id = "kitchens-1"
workspace = "kitchens"
hash = "${'a'.repeat(64)}"

[[routes]]
path = "/ledger"
pool = "ledger"
`;

/** Parses a valid document; throws when the document is invalid. */
export function parseValid(toml: string): Environment {
  return parseEnvironment(toml)._unsafeUnwrap();
}

/** Creates a config store over empty storage in memory. */
export function createMemoryStore() {
  const table = new MemoryTable();
  const objects = new MemoryObjects();
  const context = {
    table,
    objects,
    clock: new SystemClock(),
    log: new MemoryEventLog(),
    options: {maxAttempts: 5, retryMs: 1},
  };
  return {table, objects, context, store: new ConfigStore(context)};
}

/** Creates a document with many workspaces and servers. */
export function createLargeDocument(
  workspaces: number,
  servers: number,
): Environment {
  const toml = ['name = "fleet"', '[[zones]]', 'name="z"', 'region="r"'];
  toml.push('[[pools]]', 'name="p"', 'kind="engine"');
  for (let n = 0; n < servers; n++) {
    toml.push('[[servers]]', `id="server-${n}"`, 'pool="p"', 'zone="z"');
    toml.push(`url="http://10.0.0.1:${n + 1}"`);
  }
  for (let n = 0; n < workspaces; n++) {
    toml.push('[[workspaces]]', `name="workspace-${n}"`, 'rate=4', 'burst=8');
    toml.push('[[keys]]', `id="key-${n}"`, `workspace="workspace-${n}"`);
    toml.push(`hash="${randomBytes(32).toString('hex')}"`);
  }
  return parseValid(toml.join('\n'));
}
