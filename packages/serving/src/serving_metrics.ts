/** Metrics of the serving path, with a bounded number of series. */
import {type Labels, Metrics} from '@savoryspur/common';
import type {RouteKind} from './environment.js';

/** Lowest priority (highest number) with series of its own; less urgent requests are counted in the same series. */
const MAX_PRIORITY_LABEL = 9;

/** Metric of the staleness of replicated state: time since a source last confirmed it. */
export const STALENESS_METRIC = 'savoryspur_belief_age_ms';

/** Metric value for state that was never confirmed. */
const NEVER_CONFIRMED_AGE = -1;

/** Class of requests that are counted in one series. */
export interface RequestClass {
  kind: RouteKind;
  /** Priority of the workspace or route; 0 is the most urgent. */
  priority: number;
}

/** Answer of a backend server that was passed on to the caller. */
export interface AnswerRecord extends RequestClass {
  /** Whether the answer missed the target latency. */
  isLate: boolean;
  /** Whether the server is in another availability zone than this daemon. */
  isOtherZone: boolean;
  firstByteMs: number;
  totalMs: number;
}

/** Metrics registry of the serving path. */
export class ServingMetrics extends Metrics {
  /** Counts an answer and records its latencies. */
  recordAnswer(answer: AnswerRecord): void {
    const labels = {
      ...createLabels(answer),
      server_zone: answer.isOtherZone ? 'other' : 'same',
    };
    const outcome = answer.isLate ? 'late' : 'on_time';
    this.addToCounter('savoryspur_answers_total', {...labels, outcome});
    this.recordLatency('savoryspur_first_byte_ms', answer.firstByteMs, labels);
    this.recordLatency('savoryspur_answer_ms', answer.totalMs, labels);
  }

  /**
   * Counts a refused or failed request.
   *
   * @param code - code of the refusal or failure
   * @param request - class of the request; undefined when it is not known yet
   */
  recordRefusal(code: string, request?: RequestClass): void {
    const labels = request ? createLabels(request) : {};
    this.addToCounter('savoryspur_refusals_total', {code, ...labels});
  }

  /**
   * Registers a gauge of the staleness of replicated state. The gauge is -1 until
   * the state is confirmed for the first time.
   *
   * @param belief - name of the state, as the value of the label `belief`
   * @param getAgeMs - returns the time since the state was last confirmed,
   *     milliseconds; infinity when it never was
   */
  registerStaleness(belief: string, getAgeMs: () => number): void {
    this.registerGauge(STALENESS_METRIC, {belief}, () => {
      const ageMs = getAgeMs();
      return Number.isFinite(ageMs) ? Math.round(ageMs) : NEVER_CONFIRMED_AGE;
    });
  }
}

function createLabels({kind, priority}: RequestClass): Labels {
  const priorityLabel = Math.min(Math.max(0, priority), MAX_PRIORITY_LABEL);
  return {kind, workspace_class: `rank-${priorityLabel}`};
}
