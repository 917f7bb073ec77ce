/** Online observations as metrics. */
import type {Metrics} from '@savoryspur/common';
import type {OnlineObservation, OnlineObserver} from './observer.js';

/** Counts requests and records their latencies. */
export class MetricsObserver implements OnlineObserver {
  /**
   * @param metrics - registry
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
