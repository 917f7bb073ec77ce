/** Series of the serving path, bounded in number. */
import {type Labels, Metrics} from '@savoryspur/common';
import type {RouteKind} from './environment.js';

/** Highest rank that has a series of its own; less urgent ones share it. */
const MAX_RANK = 9;

/** Name of the ages of what a daemon believes. */
export const BELIEF_AGE_METRIC = 'savoryspur_belief_age_ms';

/** Age of a belief that was never confirmed. */
const UNCONFIRMED = -1;

/** Which requests a series counts. */
export interface RequestClass {
  kind: RouteKind;
  /** Rank of the workspace or route; 0 is the most urgent. */
  priority: number;
}

/** An answer that was passed on. */
export interface AnswerRecord extends RequestClass {
  isLate: boolean;
  /** Whether the server stands in another availability zone than this daemon. */
  isOtherZone: boolean;
  firstByteMs: number;
  totalMs: number;
}

/** Registry with what the serving path records. */
export class ServingMetrics extends Metrics {
  /** Counts an answer and its latencies. */
  recordAnswer(answer: AnswerRecord): void {
    const labels = {
      ...createLabels(answer),
      server_zone: answer.isOtherZone ? 'other' : 'same',
    };
    const outcome = answer.isLate ? 'late' : 'on_time';
    this.add('savoryspur_answers_total', {...labels, outcome});
    this.record('savoryspur_first_byte_ms', answer.firstByteMs, labels);
    this.record('savoryspur_answer_ms', answer.totalMs, labels);
  }

  /**
   * Counts a refusal or failure by its code.
   *
   * @param code - why
   * @param request - class of the request; undefined while it is not known
   */
  recordRefusal(code: string, request?: RequestClass): void {
    const labels = request ? createLabels(request) : {};
    this.add('savoryspur_refusals_total', {code, ...labels});
  }

  /**
   * Registers the age of a belief; it is -1 until the belief was first confirmed.
   *
   * @param belief - what is believed
   * @param getAgeMs - reads its age, milliseconds; infinity while there is none
   */
  registerAge(belief: string, getAgeMs: () => number): void {
    this.register(BELIEF_AGE_METRIC, {belief}, () => {
      const ageMs = getAgeMs();
      return Number.isFinite(ageMs) ? Math.round(ageMs) : UNCONFIRMED;
    });
  }
}

function createLabels({kind, priority}: RequestClass): Labels {
  const rank = Math.min(Math.max(0, priority), MAX_RANK);
  return {kind, workspace_class: `rank-${rank}`};
}
