/** Outcomes and latencies that a load generator measured. */
import {LatencyHistogram} from '@savoryspur/common';
import {LoadOutcome} from './answer_reader.js';

/** One request as its caller saw it. */
export interface LoadRecord {
  /** Number of the arrival, from 0. */
  index: number;
  /** Base URL that was called. */
  url: string;
  outcome: LoadOutcome;
  /** HTTP status of the answer; 0 when there was none. */
  statusCode: number;
  /** Time at which the request was due, milliseconds of the clock. */
  dueMs: number;
  /** Time from the due time to the end of the request, milliseconds. */
  totalMs: number;
  /** Time from the due time to the first token, milliseconds. */
  firstTokenMs?: number;
  /** Times between successive tokens, milliseconds. */
  betweenTokensMs: number[];
  /** Error or text of an unsuccessful answer; empty when there is none. */
  detail: string;
}

/**
 * Number of unsuccessful requests whose records are kept; a merge adds those of
 * the other report.
 */
const MAX_RECORDED_FAILURES = 100;

/** Summary of the requests of one or several generators. */
export class LoadReport {
  /** Times from the due time to the first token. */
  readonly firstToken = LatencyHistogram.create();
  /** Times between successive tokens. */
  readonly betweenTokens = LatencyHistogram.create();
  /** Times from the due time to the end of the request. */
  readonly total = LatencyHistogram.create();
  /** The first requests that did not get a complete and right answer. */
  readonly failures: LoadRecord[] = [];
  private readonly outcomes = new Map<LoadOutcome, number>();
  private readonly statuses = new Map<number, number>();
  private sent = 0;

  /** Adds one request. */
  add(record: LoadRecord): void {
    const {outcome, statusCode} = record;
    this.sent += 1;
    this.outcomes.set(outcome, this.count(outcome) + 1);
    this.statuses.set(statusCode, this.countStatus(statusCode) + 1);
    if (outcome !== LoadOutcome.COMPLETE) {
      if (this.failures.length < MAX_RECORDED_FAILURES)
        this.failures.push(record);
      return;
    }
    this.total.record(record.totalMs);
    if (record.firstTokenMs !== undefined) {
      this.firstToken.record(record.firstTokenMs);
    }
    for (const intervalMs of record.betweenTokensMs) {
      this.betweenTokens.record(intervalMs);
    }
  }

  /** Adds all requests of another report. */
  merge(other: LoadReport): void {
    this.firstToken.merge(other.firstToken);
    this.betweenTokens.merge(other.betweenTokens);
    this.total.merge(other.total);
    this.sent += other.sent;
    for (const [outcome, count] of other.outcomes) {
      this.outcomes.set(outcome, this.count(outcome) + count);
    }
    for (const [status, count] of other.statuses) {
      this.statuses.set(status, this.countStatus(status) + count);
    }
    this.failures.push(...other.failures);
  }

  /** Counts all requests. */
  countSent(): number {
    return this.sent;
  }

  /** Counts the requests with one outcome. */
  count(outcome: LoadOutcome): number {
    return this.outcomes.get(outcome) ?? 0;
  }

  /** Counts the answers with one status. */
  countStatus(statusCode: number): number {
    return this.statuses.get(statusCode) ?? 0;
  }

  /** Describes the report by plain values that can be printed as JSON. */
  describe(): Record<string, unknown> {
    return {
      sent: this.sent,
      outcomes: Object.fromEntries(this.outcomes),
      statuses: Object.fromEntries(this.statuses),
      firstTokenMs: describeHistogram(this.firstToken),
      betweenTokensMs: describeHistogram(this.betweenTokens),
      totalMs: describeHistogram(this.total),
    };
  }
}

function describeHistogram(
  histogram: LatencyHistogram,
): Record<string, number> {
  return {
    count: histogram.count(),
    p50: histogram.computePercentile(50),
    p95: histogram.computePercentile(95),
    p99: histogram.computePercentile(99),
    max: histogram.computePercentile(100),
  };
}
