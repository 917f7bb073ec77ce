/** State of an environment at one version, and how changes are applied to it. */
import {EnvironmentIndex} from '@savoryspur/common';
import {
  type Environment,
  type EnvironmentChange,
  type EnvironmentDelta,
  type EnvironmentSnapshot,
} from '@savoryspur/schema';
import {computeDigest} from './digest.js';
import {createEmptyDocument, ENTITY_KINDS, getEntityLists} from './entities.js';
import {applyDelta} from './environment_delta.js';

/**
 * Complete state of an environment: the declared document with issued keys and
 * zone states. A state is immutable.
 */
export interface EnvironmentState {
  /** Version, which grows by 1 with each change; 0 before the first change. */
  version: number;
  /** Digest of the complete document of this state. */
  digest: string;
  /** Digest of the declared document that was applied or promoted last. */
  documentDigest: string;
  document: Environment;
}

/** A change that contains its delta. */
export type LoadedChange = EnvironmentChange & {delta: EnvironmentDelta};

/** Creates the state before the first change. */
export function createEmptyState(): EnvironmentState {
  const document = createEmptyDocument();
  const digest = computeDigest(document);
  return {version: 0, digest, documentDigest: digest, document};
}

/**
 * Applies changes in order. Changes that the state already contains are skipped.
 *
 * @param state - state to start from
 * @param changes - changes in the order of their versions
 * @returns the new state, or undefined when a change or its delta is missing or
 *     the digest does not match
 */
export function applyChanges(
  state: EnvironmentState,
  changes: readonly EnvironmentChange[],
): EnvironmentState | undefined {
  let {version, document} = state;
  let last: EnvironmentChange | undefined;
  for (const change of changes) {
    if (change.version <= version) continue;
    if (change.version !== version + 1 || !change.delta) return undefined;
    document = applyDelta(document, change.delta);
    version = change.version;
    last = change;
  }
  if (!last) return state;
  const digest = computeDigest(document);
  if (digest !== last.digest) return undefined;
  return {version, digest, documentDigest: last.documentDigest, document};
}

/**
 * Converts a snapshot to a state.
 *
 * @param snapshot - snapshot from the object store or a peer
 * @returns undefined when a list is missing or the digest does not match
 */
export function convertSnapshot(
  snapshot: EnvironmentSnapshot,
): EnvironmentState | undefined {
  const document = snapshot.document as unknown as Environment;
  const lists = getEntityLists(document);
  if (!ENTITY_KINDS.every((kind) => Array.isArray(lists[kind]))) {
    return undefined;
  }
  const digest = computeDigest(document);
  if (digest !== snapshot.digest) return undefined;
  return {...snapshot, document};
}

/** Creates a snapshot of a state. */
export function createSnapshot(state: EnvironmentState): EnvironmentSnapshot {
  return {...state, document: {...state.document}};
}

/**
 * Creates the index of a state. The index reuses lookup maps of the previous
 * index for unchanged lists.
 */
export function createIndex(
  state: EnvironmentState,
  previous?: EnvironmentIndex,
): EnvironmentIndex {
  const {version, digest, document} = state;
  return new EnvironmentIndex(version, digest, document, previous);
}
