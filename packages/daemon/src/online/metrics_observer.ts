/** Records online requests as metrics. */
import type {Metrics} from '@savoryspur/common';
import type {OnlineObservation, OnlineObserver} from './observer.js';

/** Counts online requests by error code and records their latencies. */
export class MetricsObserver implements OnlineObserver {
  /**
   * @param metrics - registry of the metrics
   */
  constructor(private readonly metrics: Metrics) {}

  /** {@inheritDoc OnlineObserver.record} */
  record(observation: OnlineObservation): void {
    const {code, firstTokenMs, betweenTokensMs, totalMs} = observation;
    this.metrics.addToCounter('savoryspur_requests_total', {
      code: code ?? 'ok',
    });
    this.metrics.recordLatency('savoryspur_request_ms', totalMs);
    if (firstTokenMs !== undefined) {
      this.metrics.recordLatency('savoryspur_first_token_ms', firstTokenMs);
    }
    if (betweenTokensMs !== undefined) {
      this.metrics.recordLatency(
        'savoryspur_between_tokens_ms',
        betweenTokensMs,
      );
    }
  }
}
