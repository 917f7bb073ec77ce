/** Cache of rendezvous-hashing rankings. */
import {computeRendezvousRanking} from '@savoryspur/common';

/** Number of cached rankings at which the whole cache is cleared. */
const MAX_CACHED_RANKINGS = 20_000;

/** Caches the ranking of members for a key. */
export class RankingCache {
  private readonly rankings = new Map<string, Map<string, string[]>>();
  private size = 0;

  /**
   * Gets the members in the order of their rank for a key; the first one owns
   * it.
   *
   * @param key - key to rank the members for
   * @param members - candidates; the cache distinguishes their order
   */
  getRanking(key: string, members: readonly string[]): readonly string[] {
    const name = members.join(' ');
    let byKey = this.rankings.get(name);
    let ranking = byKey?.get(key);
    if (ranking !== undefined) return ranking;
    if (this.size >= MAX_CACHED_RANKINGS) this.clear();
    byKey = this.rankings.get(name) ?? new Map<string, string[]>();
    this.rankings.set(name, byKey);
    ranking = computeRendezvousRanking(key, members);
    byKey.set(key, ranking);
    this.size += 1;
    return ranking;
  }

  private clear(): void {
    this.rankings.clear();
    this.size = 0;
  }
}
