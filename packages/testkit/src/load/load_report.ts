/** What a load generator measured. */
import {LatencyHistogram} from '@savoryspur/common';
import {LoadOutcome} from './answer_reader.js';

/** One request as its caller saw it. */
export interface LoadRecord {
  /** Number of the arrival. */
  index: number;
  /** Base URL that was called. */
  url: string;
  outcome: LoadOutcome;
  /** Status of the answer; 0 when there was none. */
  statusCode: number;
  /** Start of the arrival on the clock, milliseconds. */
  dueMs: number;
  /** From the arrival to the end, milliseconds. */
  totalMs: number;
  /** From the arrival to the first token, milliseconds. */
  firstTokenMs?: number;
  /** Gaps between tokens, milliseconds. */
  betweenTokensMs: number[];
  /** What went wrong; empty when nothing did. */
  detail: string;
}

/** Records that are kept of requests that did not end whole. */
const MAX_FAILURES = 100;

/** Sums up the requests of one or several generators. */
export class LoadReport {
  /** Times to the first token, from the arrival. */
  readonly firstToken = LatencyHistogram.create();
  /** Times between tokens. */
  readonly betweenTokens = LatencyHistogram.create();
  /** Times to the end, from the arrival. */
  readonly total = LatencyHistogram.create();
  /** The first requests that did not end whole. */
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
      if (this.failures.length < MAX_FAILURES) this.failures.push(record);
      return;
    }
    this.total.record(record.totalMs);
    if (record.firstTokenMs !== undefined) {
      this.firstToken.record(record.firstTokenMs);
    }
    for (const gapMs of record.betweenTokensMs) {
      this.betweenTokens.record(gapMs);
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

  /** Describes the report as plain values for printing. */
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
