/**
 * Chooses among servers with a free place: prefix affinity bounded by load,
 * otherwise the least loaded.
 */
import {SlotTrafficClass} from '@savoryspur/schema';
import {computeWeight} from '@savoryspur/common';

/** Servers that a prefix may go to. */
const AFFINITY_CHOICES = 2;

/** Load over the mean up to which affinity is kept. */
const AFFINITY_LOAD_FACTOR = 1.25;

/** Added to the load of a cold server, by class: batch work warms it. */
const COLD_PENALTY: Record<SlotTrafficClass, number> = {
  [SlotTrafficClass.ONLINE]: 0.5,
  [SlotTrafficClass.BATCH]: -0.5,
};

/** What the choice sees of a server. */
export interface Candidate {
  /** Backend server. */
  readonly id: string;
  /** Places in use over places that it can carry. */
  readonly load: number;
  /** Whether it carries full load. */
  readonly isWarm: boolean;
  /** Whether it has a free place for the request. */
  readonly isFree: boolean;
}

/** Compares two servers for a class; the lesser is the better. */
function compareLoad(a: Candidate, b: Candidate, penalty: number): number {
  const loadOfA = a.load + (a.isWarm ? 0 : penalty);
  const loadOfB = b.load + (b.isWarm ? 0 : penalty);
  return loadOfA - loadOfB;
}

/** Finds the least loaded free server; ties go to the first after `start`. */
function findLeastLoaded<T extends Candidate>(
  servers: readonly T[],
  trafficClass: SlotTrafficClass,
  start: number,
): T | undefined {
  const penalty = COLD_PENALTY[trafficClass];
  let best: T | undefined;
  for (let i = 0; i < servers.length; i++) {
    const server = servers[(start + i) % servers.length];
    if (!server?.isFree) continue;
    if (!best || compareLoad(server, best, penalty) < 0) best = server;
  }
  return best;
}

/** Remembers which servers a prefix prefers, and chooses. */
export class ServerSelector {
  private readonly rankings = new Map<string, string[]>();
  private turn = 0;

  /**
   * @param maxPrefixes - prefixes whose ranking is remembered
   */
  constructor(private readonly maxPrefixes = 4096) {}

  /** Forgets all rankings, as after a change of the servers. */
  reset(): void {
    this.rankings.clear();
  }

  /**
   * Chooses a server.
   *
   * @param servers - all servers of the pool in the zone
   * @param trafficClass - class of the request
   * @param prefixHash - hash of the start of the prompt; may be empty
   */
  choose<T extends Candidate>(
    servers: readonly T[],
    trafficClass: SlotTrafficClass,
    prefixHash: string,
  ): T | undefined {
    this.turn = (this.turn + 1) % Math.max(servers.length, 1);
    const preferred = this.findPreferred(servers, prefixHash);
    return preferred ?? findLeastLoaded(servers, trafficClass, this.turn);
  }

  private findPreferred<T extends Candidate>(
    servers: readonly T[],
    prefixHash: string,
  ): T | undefined {
    if (prefixHash === '') return undefined;
    const warm = servers.filter((server) => server.isWarm);
    if (warm.length === 0) return undefined;
    const sum = warm.reduce((total, server) => total + server.load, 0);
    const bound = (sum / warm.length) * AFFINITY_LOAD_FACTOR;
    let best: T | undefined;
    for (const id of this.getRanking(servers, prefixHash)) {
      const server = warm.find((candidate) => candidate.id === id);
      if (!server?.isFree || server.load > bound) continue;
      if (!best || server.load < best.load) best = server;
    }
    return best;
  }

  /** Gets the servers that a prefix prefers, warm or not. */
  private getRanking(
    servers: readonly Candidate[],
    prefixHash: string,
  ): string[] {
    const known = this.rankings.get(prefixHash);
    if (known) return known;
    const weighted = servers.map((server) => ({
      id: server.id,
      weight: computeWeight(prefixHash, server.id),
    }));
    weighted.sort((a, b) => b.weight - a.weight);
    const best = weighted.slice(0, AFFINITY_CHOICES).map((entry) => entry.id);
    if (this.rankings.size >= this.maxPrefixes) this.rankings.clear();
    this.rankings.set(prefixHash, best);
    return best;
  }
}
