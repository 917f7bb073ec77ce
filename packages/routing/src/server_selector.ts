/**
 * Selects a server among those with a free slot: a server that the prompt
 * prefix prefers, as long as its load is not far above the mean, otherwise the
 * least loaded server.
 */
import {SlotTrafficClass} from '@savoryspur/schema';
import {computeRendezvousWeight} from '@savoryspur/common';

/** Number of servers that a prefix prefers. */
const MAX_AFFINITY_SERVERS = 2;

/**
 * Ratio of a server's load to the mean load up to which prefix affinity
 * applies.
 */
const MAX_AFFINITY_LOAD_RATIO = 1.25;

/**
 * Load added to that of a cold server in comparisons: online requests avoid
 * cold servers, while batch work prefers them and warms them up.
 */
const COLD_LOAD_PENALTY: Record<SlotTrafficClass, number> = {
  [SlotTrafficClass.ONLINE]: 0.5,
  [SlotTrafficClass.BATCH]: -0.5,
};

/** A server as the selection sees it. */
export interface Candidate {
  /** Id of the backend server. */
  readonly id: string;
  /** Ratio of slots in use to the slots that the owner may grant. */
  readonly load: number;
  /** Whether the server is warm. */
  readonly isWarm: boolean;
  /** Whether the server has a free slot for the request. */
  readonly isFree: boolean;
}

/**
 * Compares the load of two servers; negative when the first is the better
 * choice.
 *
 * @param penalty - load added to that of a cold server
 */
function compareLoad(a: Candidate, b: Candidate, penalty: number): number {
  const loadOfA = a.load + (a.isWarm ? 0 : penalty);
  const loadOfB = b.load + (b.isWarm ? 0 : penalty);
  return loadOfA - loadOfB;
}

/**
 * Finds the least loaded server with a free slot; of servers with equal load,
 * takes the first from index `start` on.
 */
function findLeastLoaded<T extends Candidate>(
  servers: readonly T[],
  trafficClass: SlotTrafficClass,
  start: number,
): T | undefined {
  const penalty = COLD_LOAD_PENALTY[trafficClass];
  let best: T | undefined;
  for (let i = 0; i < servers.length; i++) {
    const server = servers[(start + i) % servers.length];
    if (!server?.isFree) continue;
    if (!best || compareLoad(server, best, penalty) < 0) best = server;
  }
  return best;
}

/** Selects servers and caches which servers each prefix prefers. */
export class ServerSelector {
  private readonly preferredServers = new Map<string, string[]>();
  private startIndex = 0;

  /**
   * @param maxPrefixes - prefixes whose preferred servers are cached; the cache
   *     is cleared when it is full
   */
  constructor(private readonly maxPrefixes = 4096) {}

  /** Clears the cache; called when the servers have changed. */
  reset(): void {
    this.preferredServers.clear();
  }

  /**
   * Selects a server with a free slot.
   *
   * @param servers - all servers of the pool in the zone
   * @param trafficClass - class of the request
   * @param prefixHash - hash of the start of the prompt; empty for a request
   *     without prefix affinity
   */
  selectServer<T extends Candidate>(
    servers: readonly T[],
    trafficClass: SlotTrafficClass,
    prefixHash: string,
  ): T | undefined {
    this.startIndex = (this.startIndex + 1) % Math.max(servers.length, 1);
    const preferred = this.findFreePreferredServer(servers, prefixHash);
    return preferred ?? findLeastLoaded(servers, trafficClass, this.startIndex);
  }

  private findFreePreferredServer<T extends Candidate>(
    servers: readonly T[],
    prefixHash: string,
  ): T | undefined {
    if (prefixHash === '') return undefined;
    const warm = servers.filter((server) => server.isWarm);
    if (warm.length === 0) return undefined;
    const loadSum = warm.reduce((total, server) => total + server.load, 0);
    const maxLoad = (loadSum / warm.length) * MAX_AFFINITY_LOAD_RATIO;
    let best: T | undefined;
    for (const id of this.getPreferredServers(servers, prefixHash)) {
      const server = warm.find((candidate) => candidate.id === id);
      if (!server?.isFree || server.load > maxLoad) continue;
      if (!best || server.load < best.load) best = server;
    }
    return best;
  }

  /**
   * Gets the ids of the servers that a prefix prefers, by rendezvous hashing
   * over warm and cold servers.
   */
  private getPreferredServers(
    servers: readonly Candidate[],
    prefixHash: string,
  ): string[] {
    const known = this.preferredServers.get(prefixHash);
    if (known) return known;
    const weightedServers = servers.map((server) => ({
      id: server.id,
      weight: computeRendezvousWeight(prefixHash, server.id),
    }));
    weightedServers.sort((a, b) => b.weight - a.weight);
    const preferred = weightedServers
      .slice(0, MAX_AFFINITY_SERVERS)
      .map((entry) => entry.id);
    if (this.preferredServers.size >= this.maxPrefixes)
      this.preferredServers.clear();
    this.preferredServers.set(prefixHash, preferred);
    return preferred;
  }
}
