/**
 * Compares the answers of a software version's servers with what the old version
 * leads to expect. The result is the logarithm of a likelihood ratio: how much
 * better the answers fit a version that is bad on all of its servers than a good
 * one of which each server may be faulty by itself.
 */

/** Probability that a server of a good version is faulty by itself: 15 % are grey in the worst expected case. */
const MAX_FAULTY = 0.15;

/** Upper limit of the probability that all servers of a good version are faulty; it decides when the target has fewer than 4 servers. */
const MAX_ALL_FAULTY = MAX_FAULTY ** 4;

/** Share of the answers, of those that the old version does not fail, that a bad version or faulty server fails. The lowest stands for a version that is bad part of the time. */
const FAILED_SHARES = [0.05, 0.1, 0.2, 0.4, 0.7, 0.97];

/** Logarithms of the factors by which a bad version or faulty server is slower. */
const SLOWNESS = [2.6, 3.2, 4.5, 7, 12].map(Math.log);

/** Standard deviation of the logarithm of the speed of good servers, which differs by a factor of 0.55 to 1.2. */
const SPEED_DEVIATION = 0.25;

/** Smallest standard deviation of the logarithm of the times of one server. */
const MIN_TIME_DEVIATION = 0.3;

/** Failures of one server of the target. */
export interface ServerFailures {
  calls: number;
  bad: number;
  /** Number of failures that the old version leads to expect. */
  expectedBad: number;
}

/** Times of one server of the target. */
export interface ServerTimes {
  count: number;
  /** Sum of the differences from the old version's average, in logarithms. */
  excess: number;
}

/** Log likelihoods of one server's answers. */
interface ServerLikelihood {
  /** For a sound server of a good version. */
  good: number;
  /** For a fault of either the version or the server, by its degree. */
  faulty: readonly number[];
  /** For a faulty server of a bad version, by the degree of the version's fault and that of the server's. */
  both: ReadonlyArray<readonly number[]>;
}

/**
 * Computes the evidence that a version fails too many answers.
 *
 * @param servers - failures by server
 * @param knownServers - number of servers of the target that have answered since the order
 */
export function computeFailureEvidence(
  servers: readonly ServerFailures[],
  knownServers: number,
): number {
  const likelihoods = servers.map(({calls, bad, expectedBad}) => {
    const rate = expectedBad / calls;
    const compute = (passed: number): number =>
      computeFailureLikelihood(calls, bad, 1 - (1 - rate) * passed);
    return {
      good: compute(1),
      faulty: FAILED_SHARES.map((share) => compute(1 - share)),
      both: FAILED_SHARES.map((version) =>
        FAILED_SHARES.map((server) => compute((1 - version) * (1 - server))),
      ),
    };
  });
  return computeEvidence(likelihoods, knownServers);
}

/**
 * Computes the evidence that a version is several times slower.
 *
 * @param servers - times by server
 * @param variance - variance of the logarithm of the times of one server
 * @param knownServers - number of servers of the target that have answered since the order
 */
export function computeSlownessEvidence(
  servers: readonly ServerTimes[],
  variance: number,
  knownServers: number,
): number {
  const likelihoods = servers.map(({count, excess}) => {
    const mean = excess / count;
    const spread =
      SPEED_DEVIATION ** 2 +
      Math.max(variance, MIN_TIME_DEVIATION ** 2) / count;
    const compute = (slow: number): number =>
      -((mean - slow) ** 2) / (2 * spread);
    return {
      good: compute(0),
      faulty: SLOWNESS.map(compute),
      both: SLOWNESS.map((version) =>
        SLOWNESS.map((own) => compute(version + own)),
      ),
    };
  });
  return computeEvidence(likelihoods, knownServers);
}

/**
 * Computes the logarithm of the likelihood ratio of a bad and a good version. The
 * faults of a bad version and of its server add up: otherwise a server that is slow
 * by itself fits no degree of a slow version and is no evidence against it.
 */
function computeEvidence(
  servers: readonly ServerLikelihood[],
  knownServers: number,
): number {
  const degrees = servers[0]?.faulty.length;
  if (degrees === undefined) return 0;
  const faultyRate = Math.min(MAX_FAULTY, MAX_ALL_FAULTY ** (1 / knownServers));
  const logFaulty = Math.log(faultyRate);
  const logSound = Math.log(1 - faultyRate);
  let good = 0;
  const bad = new Array<number>(degrees).fill(0);
  for (const server of servers) {
    good += addLogs(
      logSound + server.good,
      logFaulty + computeLogMean(server.faulty),
    );
    server.both.forEach((likelihoods, degree) => {
      const sum = addLogs(
        logSound + (server.faulty[degree] ?? -Infinity),
        logFaulty + computeLogMean(likelihoods),
      );
      bad[degree] = (bad[degree] ?? 0) + sum;
    });
  }
  return computeLogMean(bad) - good;
}

/** Computes the log likelihood of a number of failures. */
function computeFailureLikelihood(
  calls: number,
  bad: number,
  rate: number,
): number {
  return bad * Math.log(rate) + (calls - bad) * Math.log1p(-rate);
}

/** Computes the logarithm of the average of numbers given by their logarithms. */
function computeLogMean(logs: readonly number[]): number {
  let sum = -Infinity;
  for (const log of logs) sum = addLogs(sum, log);
  return sum - Math.log(logs.length);
}

/** Computes the logarithm of the sum of two numbers given by their logarithms. */
function addLogs(a: number, b: number): number {
  const [low, high] = a < b ? [a, b] : [b, a];
  return low === -Infinity ? high : high + Math.log1p(Math.exp(low - high));
}
