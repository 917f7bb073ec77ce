/**
 * Decides from the evidence whether a rollout is kept, rolled back or may be
 * completed. Performs no I/O; the current time is part of the view.
 */
import type {RolloutEvidence} from './rollout_evidence.js';
import {computeBucketStart} from './rollout_evidence.js';

/** What the evidence says about a rollout. */
export enum RolloutVerdict {
  /** Neither enough evidence to complete nor a reason to roll back. */
  KEEP = 'keep',
  ROLL_BACK = 'roll_back',
  /** The evidence is enough and good. */
  COMPLETE = 'complete',
}

/** What is known about a rollout besides the evidence. All times are on the clock of {@link RolloutEvidence.record}. */
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

/** Verdict on a rollout; the reason names route, found and expected values. */
export type RolloutDecision =
  | {kind: RolloutVerdict.KEEP}
  | {kind: RolloutVerdict.ROLL_BACK; reason: string}
  | {kind: RolloutVerdict.COMPLETE};

/** Decides a rollout. May be called again and again: a version that turns bad later is still rolled back. */
export function decideRollout(
  evidence: RolloutEvidence,
  view: RolloutView,
): RolloutDecision {
  const {target, startedMs} = view;
  const answers = evidence.collect(
    computeBucketStart(startedMs),
    Infinity,
    true,
  );
  let calls = 0;
  let bad = 0;
  for (const versions of answers.values()) {
    for (const stats of versions.get(target)?.values() ?? []) {
      calls += stats.calls;
      bad += stats.bad;
    }
  }
  if (bad >= 10 && bad >= calls * 0.1) {
    const reason = `${bad} of ${calls} answers failed`;
    return {kind: RolloutVerdict.ROLL_BACK, reason};
  }
  if (!view.hasTargetServers) return {kind: RolloutVerdict.KEEP};
  if (view.hasTraffic && calls < 30) return {kind: RolloutVerdict.KEEP};
  return {kind: RolloutVerdict.COMPLETE};
}
