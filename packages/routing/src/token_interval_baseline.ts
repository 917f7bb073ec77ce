/**
 * Baseline of the token intervals (inter-token latencies) of a pool's warm
 * servers by load. Cold detection uses it to recognize a server that has become
 * cold without a new boot marker.
 */

/** Number of ranges into which the load of a server is divided. */
const LOAD_RANGE_COUNT = 4;

/** Samples that a baseline needs before a sample is compared with it. */
const MIN_BASELINE_SAMPLES = 20;

/**
 * Weight of a new sample in the exponential moving average: a slowdown of all
 * servers is part of the mean after a few answers.
 */
const TOKEN_INTERVAL_SAMPLE_WEIGHT = 0.3;

/**
 * Ratio of a sample to the mean at which the sample is clipped before it enters
 * the mean.
 */
const MAX_SAMPLE_TO_MEAN_RATIO = 1.5;

/** Exponential moving average for one server in one load range. */
interface LoadRangeMean {
  meanMs: number;
  samples: number;
}

/** Mean token interval by load range and server. */
export class TokenIntervalBaseline {
  private readonly meansByLoadRange = Array.from(
    {length: LOAD_RANGE_COUNT},
    () => new Map<string, LoadRangeMean>(),
  );

  /** Drops the means of all servers except the given ones. */
  keepServers(serverIds: ReadonlySet<string>): void {
    for (const means of this.meansByLoadRange) {
      for (const id of means.keys()) {
        if (!serverIds.has(id)) means.delete(id);
      }
    }
  }

  /**
   * Compares a sample of a warm server with the other servers' mean, and adds
   * the sample to the server's own mean. A slowdown of all servers cancels out
   * in this ratio. The server's own mean would hide that the server has become
   * slower, so it is the baseline only while the other servers have too few
   * samples.
   *
   * @param serverId - the server
   * @param load - ratio of slots in use to the slots that the server can carry
   * @param betweenTokensMs - mean token interval of one answer, milliseconds
   * @returns ratio of the sample to the baseline; 1 while there are too few
   *     samples for a baseline
   */
  compare(serverId: string, load: number, betweenTokensMs: number): number {
    const index = Math.floor(Math.max(load, 0) * LOAD_RANGE_COUNT);
    const means = this.meansByLoadRange[Math.min(index, LOAD_RANGE_COUNT - 1)];
    if (!means || betweenTokensMs <= 0) return 1;
    const ownMean = means.get(serverId) ?? {
      meanMs: betweenTokensMs,
      samples: 0,
    };
    means.set(serverId, ownMean);
    const baselineMs =
      computeOthersMean(means, serverId) ?? findReliableMean(ownMean);
    ownMean.samples += 1;
    const limitedRatio = Math.min(
      betweenTokensMs / ownMean.meanMs,
      MAX_SAMPLE_TO_MEAN_RATIO,
    );
    ownMean.meanMs *= 1 + (limitedRatio - 1) * TOKEN_INTERVAL_SAMPLE_WEIGHT;
    return baselineMs === undefined ? 1 : betweenTokensMs / baselineMs;
  }
}

/**
 * Averages the means of all other servers; undefined while they have too few
 * samples.
 */
function computeOthersMean(
  means: ReadonlyMap<string, LoadRangeMean>,
  serverId: string,
): number | undefined {
  let meansSumMs = 0;
  let samples = 0;
  let servers = 0;
  for (const [id, mean] of means) {
    if (id === serverId) continue;
    meansSumMs += mean.meanMs;
    samples += mean.samples;
    servers += 1;
  }
  return samples < MIN_BASELINE_SAMPLES ? undefined : meansSumMs / servers;
}

/**
 * Gets the mean of a server; undefined while the server has too few samples.
 */
function findReliableMean(mean: LoadRangeMean): number | undefined {
  return mean.samples < MIN_BASELINE_SAMPLES ? undefined : mean.meanMs;
}
