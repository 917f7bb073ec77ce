/**
 * Computes the digest of an environment document as a hash tree: the digest
 * covers the hashes of the lists, and each list hash covers the hashes of the
 * entities. The hashes of lists and entities are cached, so that after a small
 * change only the hash of one list has to be computed from its entity hashes.
 */
import {createHash} from 'node:crypto';
import type {Environment} from '@savoryspur/schema';
import {type Entity, ENTITY_KINDS, getEntityLists} from './entities.js';

/** Length of a SHA-256 digest, bytes. */
const DIGEST_BYTES = 32;

/** Cached digests of entities. */
const entityDigests = new WeakMap<object, Buffer>();

/** Cached digests of lists, hexadecimal. */
const listDigests = new WeakMap<readonly Entity[], string>();

/** Formats a JSON value with sorted keys and without white space. */
export function formatCanonicalJson(value: unknown): string {
  if (Array.isArray(value)) {
    return `[${value.map((item) => formatCanonicalJson(item)).join(',')}]`;
  }
  if (value === null || typeof value !== 'object') return JSON.stringify(value);
  const fields = Object.entries(value)
    .filter(([, field]) => field !== undefined)
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(
      ([key, field]) => `${JSON.stringify(key)}:${formatCanonicalJson(field)}`,
    );
  return `{${fields.join(',')}}`;
}

/** Computes the SHA-256 of a text, hexadecimal. */
export function hashText(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/**
 * Computes the digest of a document. The digest does not depend on the order of
 * the entities in the text when {@link buildSortedDocument} sorted the lists.
 *
 * @param document - document with sorted lists; its lists and entities must not
 *     be changed afterwards, since their hashes are cached
 * @returns SHA-256, hexadecimal
 */
export function computeDigest(document: Environment): string {
  const lists = getEntityLists(document);
  const digests = ENTITY_KINDS.map((kind) => [
    kind,
    lists[kind].length,
    getListDigest(lists[kind]),
  ]);
  return hashText(formatCanonicalJson([document.name, ...digests]));
}

/** Tells whether two entities are equal, by their digests. */
export function isSameEntity(a: object, b: object): boolean {
  return a === b || getEntityDigest(a).equals(getEntityDigest(b));
}

/** Gets the cached digest of a list, or computes it from the entity digests. */
function getListDigest(list: readonly Entity[]): string {
  const known = listDigests.get(list);
  if (known !== undefined) return known;
  const bytes = Buffer.allocUnsafe(list.length * DIGEST_BYTES);
  for (const [index, entity] of list.entries()) {
    getEntityDigest(entity).copy(bytes, index * DIGEST_BYTES);
  }
  const digest = createHash('sha256').update(bytes).digest('hex');
  listDigests.set(list, digest);
  return digest;
}

/** Gets the cached digest of an entity, or computes it from canonical JSON. */
function getEntityDigest(entity: object): Buffer {
  const known = entityDigests.get(entity);
  if (known !== undefined) return known;
  const text = formatCanonicalJson(entity);
  const digest = createHash('sha256').update(text).digest();
  entityDigests.set(entity, digest);
  return digest;
}
