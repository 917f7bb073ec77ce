/** Series of the serving path, bounded in number. */
import {Metrics} from '@savoryspur/common';
import type {RouteKind} from './environment.js';

/** Registry with what the serving path records. */
export class ServingMetrics extends Metrics {
  /** Counts an answer and its latencies. */
  recordAnswer(
    kind: RouteKind,
    isLate: boolean,
    firstByteMs: number,
    totalMs: number,
  ): void {
    const outcome = isLate ? 'late' : 'on_time';
    this.add('savoryspur_answers_total', {kind, outcome});
    this.record('savoryspur_first_byte_ms', firstByteMs, {kind});
    this.record('savoryspur_answer_ms', totalMs, {kind});
  }

  /** Counts a refusal or failure by its code. */
  recordRefusal(code: string): void {
    this.add('savoryspur_refusals_total', {code});
  }
}
