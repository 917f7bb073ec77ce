/** Compares the answers of the target of a rollout with those of the old version, by route and over all routes. */
import type {CallStats, TimeStats} from './call_stats.js';
import {
  countWorst,
  dropWorst,
  sumBestServers,
  type Answers,
} from './rollout_evidence.js';
import {
  computeFailureEvidence,
  computeSlownessEvidence,
  type ServerFailures,
  type ServerTimes,
} from './version_comparison.js';

/** Answers of the old version on a route from which its failures are known. */
const MIN_BASELINE_ANSWERS = 20;

/** Times of the old version on a route from which its speed is known. */
const MIN_BASELINE_TIMES = 10;

/** Number of answers of the target below which nothing is rolled back: a few answers may all be of faulty servers. */
const MIN_ROLL_BACK_ANSWERS = 8;

/** Evidence from which a rollout is rolled back: the answers fit a bad version e^6 = 400 times better than a good one. */
const ROLL_BACK_EVIDENCE = 6;

/** Number of answers of the target that are many, and the evidence from which many roll back. With faulty servers of its own, a bad version of 4 servers doesn't reach {@link ROLL_BACK_EVIDENCE}. */
const MANY_ANSWERS = 50;
const ROLL_BACK_EVIDENCE_OF_MANY_ANSWERS = 4.5;

/** Failures that are added to those of the old version, and answers that are added to its answers: failures that it has by chance not had. */
const ADDED_FAILURES = 1;
const ADDED_ANSWERS = 20;

/** Part of the answers that any good version may fail. */
const MIN_FAILURE_RATE = 0.01;

/** Largest rate of failures of the old version with which the target's are compared. */
const MAX_FAILURE_RATE = 0.95;

/** What is measured of an answer. */
const TIME_MEASURES = ['firstEvent', 'event'] as const;
type TimeMeasure = (typeof TIME_MEASURES)[number];

/** Names of the measures in reasons. */
const MEASURE_NAMES: Record<TimeMeasure, string> = {
  firstEvent: 'first event',
  event: 'time between events',
};

/** Answers on one route. */
export interface RouteAnswers {
  /** Stats of the target by server. */
  target: Map<string, CallStats>;
  /** Number of answers of all versions. */
  calls: number;
  /** Sum of the servers of other versions without the worst quarter. */
  old: CallStats;
}

/** Answers that are compared. */
export interface ComparedAnswers {
  /** Answers of the time that is judged, by route. */
  routes: ReadonlyMap<string, RouteAnswers>;
  /** The same answers, in short spans of time. */
  spans: ReadonlyArray<ReadonlyMap<string, RouteAnswers>>;
  /** Answers of other times, the preferred first, with which a route is compared that the old version doesn't serve in that time. */
  baselines: ReadonlyArray<ReadonlyMap<string, RouteAnswers>>;
}

/** Result of a comparison. */
export interface Comparison {
  /** Greatest evidence that the target is bad: the logarithm of how much better the answers fit a bad version than a good one. */
  doubt: number;
  /** Reason to roll back; absent when there is none. */
  reason?: string;
}

/** Samples of a route, or of all routes, by server of the target. */
interface Samples {
  failures: Map<string, ServerFailures>;
  times: Record<TimeMeasure, TimeSamples>;
}

/** Times by server, as differences from the old version's average. */
interface TimeSamples {
  servers: Map<string, ServerTimes>;
  /** Sum of squared distances from the average of a server, and the number of times in it. */
  squares: number;
  count: number;
}

/** Splits answers by whether the target gave them. */
export function splitVersions(
  answers: Answers,
  target: string,
): Map<string, RouteAnswers> {
  const routes = new Map<string, RouteAnswers>();
  for (const [route, versions] of answers) {
    const others: CallStats[] = [];
    let calls = 0;
    for (const [version, servers] of versions) {
      for (const stats of servers.values()) {
        calls += stats.calls;
        if (version !== target) others.push(stats);
      }
    }
    routes.set(route, {
      target: versions.get(target) ?? new Map(),
      calls,
      old: sumBestServers(others),
    });
  }
  return routes;
}

/**
 * Compares the answers of the target with those of the old version. Times are
 * compared within short spans: after a restart of all daemons both versions answer
 * slowly, and the target may have most of its answers then.
 *
 * @param answers - the answers
 * @param knownServers - number of servers of the target that have answered since the order
 * @returns the comparison, of one route or over all, with the greatest evidence
 */
export function compareVersions(
  {routes, spans, baselines}: ComparedAnswers,
  knownServers: number,
): Comparison {
  const result: Comparison = {doubt: 0};
  const all = createSamples();
  let compared = 0;
  for (const [route, answers] of routes) {
    if (answers.target.size === 0) continue;
    const old = [answers.old];
    for (const baseline of baselines) {
      const known = baseline.get(route)?.old;
      if (known !== undefined) old.push(known);
    }
    const samples = createSamples();
    const isCompared = addFailures(samples, answers.target, old);
    const addSpans = (sums: Samples): void => {
      for (const span of spans) {
        const part = span.get(route);
        if (part) addTimes(sums, part.target, [part.old, ...old]);
      }
    };
    addSpans(samples);
    const finding = compareSamples(samples, knownServers);
    result.doubt = Math.max(result.doubt, finding.evidence);
    // Without answers of the old version there is nothing to roll back for.
    if (!isCompared) continue;
    updateReason(result, `route ${route}`, finding);
    compared += 1;
    addFailures(all, answers.target, old);
    addSpans(all);
  }
  if (compared > 1) {
    const finding = compareSamples(all, knownServers);
    result.doubt = Math.max(result.doubt, finding.evidence);
    updateReason(result, 'all routes', finding);
  }
  return result;
}

/** Sets the reason to roll back if there is none yet and the evidence is enough. */
function updateReason(
  result: Comparison,
  subject: string,
  {evidence, answers, reason}: Finding,
): void {
  const required =
    answers < MANY_ANSWERS
      ? ROLL_BACK_EVIDENCE
      : ROLL_BACK_EVIDENCE_OF_MANY_ANSWERS;
  if (answers < MIN_ROLL_BACK_ANSWERS || evidence < required) return;
  result.reason ??= `${subject}: ${reason}`;
}

/** Evidence on one measure. */
interface Finding {
  evidence: number;
  /** Number of answers of the target that are compared. */
  answers: number;
  reason: string;
}

/** Creates samples without answers. */
function createSamples(): Samples {
  const createTimes = (): TimeSamples => ({
    servers: new Map(),
    squares: 0,
    count: 0,
  });
  return {
    failures: new Map(),
    times: {firstEvent: createTimes(), event: createTimes()},
  };
}

/**
 * Adds the target's failures on a route to samples.
 *
 * @param old - answers of the old version on the route, the preferred first
 * @returns whether enough answers of the old version are known
 */
function addFailures(
  samples: Samples,
  target: ReadonlyMap<string, CallStats>,
  old: readonly CallStats[],
): boolean {
  const baseline = old.find(({calls}) => calls >= MIN_BASELINE_ANSWERS);
  const rate = computeFailureRate(baseline);
  for (const [serverId, {calls, bad}] of target) {
    if (calls === 0) continue;
    const sum = samples.failures.get(serverId) ?? {
      calls: 0,
      bad: 0,
      expectedBad: 0,
    };
    sum.calls += calls;
    sum.bad += bad;
    sum.expectedBad += calls * rate;
    samples.failures.set(serverId, sum);
  }
  return baseline !== undefined;
}

/**
 * Adds the target's times on a route to samples.
 *
 * @param old - answers of the old version on the route, the preferred first
 */
function addTimes(
  samples: Samples,
  target: ReadonlyMap<string, CallStats>,
  old: readonly CallStats[],
): void {
  if (target.size === 0) return;
  for (const measure of TIME_MEASURES) {
    const times = old
      .map((stats) => stats[measure])
      .find(({count}) => count >= MIN_BASELINE_TIMES);
    if (times === undefined) continue;
    const sums = samples.times[measure];
    sums.squares += times.getSquares();
    sums.count += times.count;
    for (const [serverId, stats] of target) {
      addServerTimes(sums, serverId, stats[measure], times.getMean());
    }
  }
}

/** Adds the times of a server of the target to samples. */
function addServerTimes(
  sums: TimeSamples,
  serverId: string,
  times: TimeStats,
  oldMean: number,
): void {
  if (times.count === 0) return;
  const server = sums.servers.get(serverId) ?? {count: 0, excess: 0};
  server.count += times.count;
  server.excess += times.sum - times.count * oldMean;
  sums.servers.set(serverId, server);
  sums.squares += times.getSquares();
  sums.count += times.count;
}

/** Computes the rate of failures that a good version may have. */
function computeFailureRate(old?: CallStats): number {
  if (old === undefined) return MIN_FAILURE_RATE;
  const rate = (old.bad + ADDED_FAILURES) / (old.calls + ADDED_ANSWERS);
  return Math.min(MAX_FAILURE_RATE, Math.max(MIN_FAILURE_RATE, rate));
}

/** Compares samples with what the old version leads to expect, by the measure with the greatest evidence. */
function compareSamples(samples: Samples, knownServers: number): Finding {
  const failures = dropWorst(
    [...samples.failures.values()],
    countWorst(knownServers),
    ({calls, bad}) => bad / calls,
  );
  let worst: Finding = {
    evidence: computeFailureEvidence(failures, knownServers),
    answers: failures.reduce((sum, {calls}) => sum + calls, 0),
    reason: describeFailures([...samples.failures.values()]),
  };
  for (const measure of TIME_MEASURES) {
    const {servers, squares, count} = samples.times[measure];
    const times = dropWorst(
      [...servers.values()],
      countWorst(knownServers),
      (server) => server.excess / server.count,
    );
    const variance = count === 0 ? 0 : squares / count;
    const evidence = computeSlownessEvidence(times, variance, knownServers);
    if (evidence <= worst.evidence) continue;
    const answers = times.reduce((sum, server) => sum + server.count, 0);
    const reason = describeTimes(MEASURE_NAMES[measure], times);
    worst = {evidence, answers, reason};
  }
  return worst;
}

/** Describes failures in the reason of a rollback. */
function describeFailures(servers: readonly ServerFailures[]): string {
  let calls = 0;
  let bad = 0;
  let expectedBad = 0;
  for (const server of servers) {
    calls += server.calls;
    bad += server.bad;
    expectedBad += server.expectedBad;
  }
  const expected = expectedBad.toFixed(1);
  return `${bad} of ${calls} answers failed, at most ${expected} expected`;
}

/** Describes slowness in the reason of a rollback. */
function describeTimes(name: string, servers: readonly ServerTimes[]): string {
  let count = 0;
  let excess = 0;
  for (const server of servers) {
    count += server.count;
    excess += server.excess;
  }
  const factor = Math.exp(excess / count).toFixed(1);
  return `${name} ${factor} times the old version's in ${count} answers`;
}
