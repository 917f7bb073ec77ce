/**
 * Time between tokens that the warm servers of a pool need at each load, to
 * tell a server that has turned cold without a new boot marker.
 */

/** Ranges into which the load of a server is divided. */
const LOAD_RANGES = 4;

/** Samples of the other servers before a range is compared. */
const MIN_SAMPLES = 20;

/** Weight of a new sample in the mean: what slows all servers is in it after a few answers. */
const SAMPLE_WEIGHT = 0.3;

/** Largest part over the mean with which a sample counts. */
const MAX_SAMPLE_FACTOR = 1.5;

/** Mean of one range of load on one server. */
interface RangeMean {
  meanMs: number;
  samples: number;
}

/** Mean time between tokens by server and load. */
export class TokenIntervalBaseline {
  private readonly ranges = Array.from(
    {length: LOAD_RANGES},
    () => new Map<string, RangeMean>(),
  );

  /** Forgets the servers that are not among those of the pool. */
  keep(serverIds: ReadonlySet<string>): void {
    for (const means of this.ranges) {
      for (const id of means.keys()) {
        if (!serverIds.has(id)) means.delete(id);
      }
    }
  }

  /**
   * Compares a sample of a warm server with the other servers, and adds it.
   * What slows all servers alike cancels out; the samples of the server itself
   * would hide that it has become slower, so they serve only while it has no
   * others to be compared with.
   *
   * @param serverId - the server
   * @param load - places in use over places that the server can carry
   * @param betweenTokensMs - the sample, milliseconds
   * @returns the sample over the mean; 1 while too little is known
   */
  compare(serverId: string, load: number, betweenTokensMs: number): number {
    const index = Math.floor(Math.max(load, 0) * LOAD_RANGES);
    const means = this.ranges[Math.min(index, LOAD_RANGES - 1)];
    if (!means || betweenTokensMs <= 0) return 1;
    const own = means.get(serverId) ?? {meanMs: betweenTokensMs, samples: 0};
    means.set(serverId, own);
    const baseMs = computeOthersMean(means, serverId) ?? findTrusted(own);
    own.samples += 1;
    const limited = Math.min(betweenTokensMs / own.meanMs, MAX_SAMPLE_FACTOR);
    own.meanMs *= 1 + (limited - 1) * SAMPLE_WEIGHT;
    return baseMs === undefined ? 1 : betweenTokensMs / baseMs;
  }
}

/** Averages the servers other than one; undefined while too little is known. */
function computeOthersMean(
  means: ReadonlyMap<string, RangeMean>,
  serverId: string,
): number | undefined {
  let sumMs = 0;
  let samples = 0;
  let servers = 0;
  for (const [id, mean] of means) {
    if (id === serverId) continue;
    sumMs += mean.meanMs;
    samples += mean.samples;
    servers += 1;
  }
  return samples < MIN_SAMPLES ? undefined : sumMs / servers;
}

/** Gets the mean of a server once it rests on enough samples. */
function findTrusted(mean: RangeMean): number | undefined {
  return mean.samples < MIN_SAMPLES ? undefined : mean.meanMs;
}
