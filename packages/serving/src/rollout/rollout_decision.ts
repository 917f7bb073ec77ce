/**
 * Decides from the evidence whether a rollout is kept, rolled back or may be
 * completed. Performs no I/O; the current time is part of the view.
 */
import {
  EVIDENCE_RETENTION_MS,
  computeBucketStart,
  type RolloutEvidence,
} from './rollout_evidence.js';
import {
  compareVersions,
  splitVersions,
  type RouteAnswers,
} from './target_comparison.js';

/** What the evidence says about a rollout. */
export enum RolloutVerdict {
  /** Neither enough evidence to complete nor a reason to roll back. */
  KEEP = 'keep',
  ROLL_BACK = 'roll_back',
  /** The evidence is enough and good. */
  COMPLETE = 'complete',
}

/** What is known about a rollout besides the evidence. All times are on the clock of `RolloutEvidence.record`. */
export interface RolloutView {
  /** The software version that traffic moves to. */
  target: string;
  /** Time of the order, milliseconds. */
  startedMs: number;
  deadlineMs: number;
  nowMs: number;
  /** Whether servers of the target accept work. */
  hasTargetServers: boolean;
  /** Whether the service gets requests. */
  hasTraffic: boolean;
}

/** Verdict on a rollout; the reason names the route, what was found and what was expected. */
export type RolloutDecision =
  | {kind: RolloutVerdict.KEEP}
  | {kind: RolloutVerdict.ROLL_BACK; reason: string}
  | {kind: RolloutVerdict.COMPLETE};

/** Times that are judged besides the whole time since the order, milliseconds: a version may turn bad later, or be bad under load only. */
const WINDOWS_MS = [15_000, 6_000, 2_000];

/** Evidence up to which one of {@link WINDOWS_MS} doesn't prevent completion: single failures of a good version exceed 0. */
const COMPLETE_WINDOW_EVIDENCE = 2;

/** Evidence up to which the whole time since the order doesn't prevent completion: with two faulty servers a good version exceeds 0. */
const COMPLETE_EVIDENCE = 1.5;

/** Answers of the target on a route that are enough to complete: a version that fails 10 % has none failed among them in 4 % of cases. */
const ENOUGH_ANSWERS = 30;

/** Share of a service's requests that the target gets at least while there is traffic. */
const MIN_TARGET_SHARE = 0.04;

/** Part of the answers that the target may be expected to get until the deadline which is enough where {@link ENOUGH_ANSWERS} can't be had. */
const ENOUGH_PART = 0.5;

/** Answers of the target, of those beyond its share, that are required of a service with little traffic. */
const MIN_ANSWERS = 5;

/** Part of all answers of a service beyond which no answers of the target are required. */
const MAX_REQUIRED_SHARE = 0.25;

/** Number of servers that a target usually has, on which the probability of faults of single servers is based. */
const USUAL_SERVERS = 4;

/** Answers of the target from which a server would have been seen if the target had it. */
const MIN_ANSWERS_OF_FEW_SERVERS = 20;

/** Decides a rollout. May be called again and again: a version that turns bad later is still rolled back. */
export function decideRollout(
  evidence: RolloutEvidence,
  view: RolloutView,
): RolloutDecision {
  const {target, startedMs, nowMs} = view;
  const orderMs = computeBucketStart(startedMs);
  const since = splitVersions(
    evidence.collect(orderMs, Infinity, true),
    target,
  );
  const before = splitVersions(
    evidence.collect(-Infinity, orderMs, false),
    target,
  );
  const allSpans = evidence.listSpans(orderMs).map(({startMs, answers}) => ({
    startMs,
    answers: splitVersions(answers, target),
  }));
  const knownServers = countKnownServers(since);
  let canComplete = view.hasTargetServers && hasEnoughAnswers(since, view);
  for (const windowMs of [Infinity, ...WINDOWS_MS]) {
    const isWhole = windowMs === Infinity;
    const fromMs = Math.max(orderMs, computeBucketStart(nowMs - windowMs));
    const routes = isWhole
      ? since
      : splitVersions(evidence.collect(fromMs, Infinity, false), target);
    const spans = allSpans
      .filter(({startMs}) => isWhole || startMs >= fromMs)
      .map(({answers}) => answers);
    const baselines = [since, before];
    const found = compareVersions({routes, spans, baselines}, knownServers);
    if (found.reason !== undefined) {
      const span = isWhole ? 'since the order' : `in ${windowMs / 1_000} s`;
      const reason = `${found.reason} ${span}`;
      return {kind: RolloutVerdict.ROLL_BACK, reason};
    }
    const limit = isWhole ? COMPLETE_EVIDENCE : COMPLETE_WINDOW_EVIDENCE;
    canComplete &&= found.doubt <= limit;
  }
  return {kind: canComplete ? RolloutVerdict.COMPLETE : RolloutVerdict.KEEP};
}

/** Counts the servers of the target that have answered; at least 4 until there are enough answers to know that it has fewer. */
function countKnownServers(routes: ReadonlyMap<string, RouteAnswers>): number {
  const servers = new Set<string>();
  let answers = 0;
  for (const {target} of routes.values()) {
    for (const [serverId, {calls}] of target) {
      servers.add(serverId);
      answers += calls;
    }
  }
  return answers < MIN_ANSWERS_OF_FEW_SERVERS
    ? Math.max(USUAL_SERVERS, servers.size)
    : servers.size;
}

/** Whether the target has as many answers as the traffic allows, over all and on each route. */
function hasEnoughAnswers(
  routes: ReadonlyMap<string, RouteAnswers>,
  {startedMs, deadlineMs, nowMs, hasTraffic}: RolloutView,
): boolean {
  if (!hasTraffic) return true;
  const durationMs = Math.min(deadlineMs - startedMs, EVIDENCE_RETENTION_MS);
  const elapsedMs = Math.min(nowMs - startedMs, EVIDENCE_RETENTION_MS);
  // Answers of the whole time until the deadline, at the rate so far.
  const scale = Math.max(1, durationMs / Math.max(1, elapsedMs));
  let targetSum = 0;
  let expectedSum = 0;
  for (const {target, calls} of routes.values()) {
    let answers = 0;
    for (const stats of target.values()) answers += stats.calls;
    const expected = calls * scale;
    const share = Math.floor(expected * MIN_TARGET_SHARE * ENOUGH_PART);
    if (answers < Math.min(ENOUGH_ANSWERS, share)) return false;
    targetSum += answers;
    expectedSum += expected;
  }
  const required = Math.min(
    ENOUGH_ANSWERS,
    MIN_ANSWERS + expectedSum * MIN_TARGET_SHARE * ENOUGH_PART,
    expectedSum * MAX_REQUIRED_SHARE,
  );
  return targetSum >= Math.max(1, Math.floor(required));
}
