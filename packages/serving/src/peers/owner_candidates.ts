/** Chooses the daemons that may own keys among those that are alive. */
import type {PeerInfo} from '@savoryspur/schema';

/** Fraction of the highest core count in the fleet at or above which a daemon has high capacity, unless it is cut off from the backend servers. Owners decide for the whole fleet, so low-capacity daemons own a key only when no high-capacity one can. */
const HIGH_CAPACITY_CORE_FRACTION = 0.5;

/** Time for which a daemon must be alive without interruption before it may own keys, milliseconds: keys of a daemon that comes and goes would move each time. */
const MIN_OWNER_ALIVE_MS = 5000;

/**
 * Time after the start of the oldest candidate within which others have started
 * together with it, milliseconds: longer than a fleet takes to start. Ownership
 * would move with each of them otherwise, as they become stable one after the other.
 */
const COMMON_START_MS = 2000;

/** Daemon that may own keys. */
export interface OwnerCandidate {
  peer: PeerInfo;
  /** Since when the daemon has been alive without interruption, monotonic milliseconds. */
  aliveSinceMs: number;
  cores: number;
  isCutOff: boolean;
}

/** Owner candidates with high and with low capacity; the arrays stay the same until the candidates change. */
export type OwnerCandidateLists = [
  highCapacity: readonly PeerInfo[],
  lowCapacity: readonly PeerInfo[],
];

/** Owner candidates, and the daemons that are used in their place. */
export interface OwnerChoice {
  lists: OwnerCandidateLists;
  recentlyStarted: readonly PeerInfo[];
  /** Until when the choice holds if the candidates stay the same, monotonic milliseconds. */
  expiresMs: number;
}

/**
 * Chooses the owner candidates: the daemons that have been alive for
 * {@link MIN_OWNER_ALIVE_MS}, or all that have started together while there are
 * none such.
 *
 * @param candidates - the daemons that are alive and don't leave
 * @param fallback - daemons that are chosen when there are no candidates at all
 * @param nowMs - current time, monotonic milliseconds
 */
export function chooseOwners(
  candidates: readonly OwnerCandidate[],
  fallback: readonly PeerInfo[],
  nowMs: number,
): OwnerChoice {
  const maxAliveSinceMs = computeMaxAliveSinceMs(candidates, nowMs);
  const owners: OwnerCandidate[] = [];
  const recent: OwnerCandidate[] = [];
  for (const candidate of candidates) {
    const isStable = candidate.aliveSinceMs <= maxAliveSinceMs;
    (isStable ? owners : recent).push(candidate);
  }
  return {
    lists: owners.length > 0 ? splitCandidates(owners) : [fallback, []],
    recentlyStarted:
      recent.length > owners.length ? recent.map(({peer}) => peer) : [],
    expiresMs: computeNextStableMs(candidates, nowMs),
  };
}

function splitCandidates(
  owners: readonly OwnerCandidate[],
): OwnerCandidateLists {
  let maxCores = 0;
  for (const {cores} of owners) maxCores = Math.max(maxCores, cores);
  const highCapacity: PeerInfo[] = [];
  const lowCapacity: PeerInfo[] = [];
  for (const {peer, cores, isCutOff} of owners) {
    (cores >= maxCores * HIGH_CAPACITY_CORE_FRACTION && !isCutOff
      ? highCapacity
      : lowCapacity
    ).push(peer);
  }
  return [highCapacity, lowCapacity];
}

/** Computes the latest start of a daemon that may own keys, monotonic milliseconds. */
function computeMaxAliveSinceMs(
  candidates: readonly OwnerCandidate[],
  nowMs: number,
): number {
  let oldestMs = Number.POSITIVE_INFINITY;
  for (const {aliveSinceMs} of candidates) {
    oldestMs = Math.min(oldestMs, aliveSinceMs);
  }
  return Math.max(nowMs - MIN_OWNER_ALIVE_MS, oldestMs + COMMON_START_MS);
}

/** Computes when the next candidate has been alive for long enough to own keys, monotonic milliseconds; infinity when all have been. */
function computeNextStableMs(
  candidates: readonly OwnerCandidate[],
  nowMs: number,
): number {
  let nextMs = Number.POSITIVE_INFINITY;
  for (const {aliveSinceMs} of candidates) {
    const stableMs = aliveSinceMs + MIN_OWNER_ALIVE_MS;
    if (stableMs > nowMs) nextMs = Math.min(nextMs, stableMs);
  }
  return nextMs;
}
