/**
 * The holding side of delegation leases: what other daemons delegated to this
 * one, now and in the past minutes.
 */
import type {Clock} from '@savoryspur/common';
import type {HeartbeatAnswer} from '@savoryspur/schema';
import type {ShareHistory, ShareSegment} from './contract.js';
import {RankingCache} from './ranking_cache.js';

/** Time for which lapsed delegations are remembered, milliseconds. */
const HISTORY_MS = 120_000;

/** A delegation without change, renewed for as long as it lasted. */
interface DelegationSpan {
  fromMs: number;
  toMs: number;
  slots: number;
  /** Members of each view in which this daemon must own a key. */
  views: string[][];
  viewIds: string;
}

/** What is known of one run of a delegating daemon. */
interface Delegator {
  spans: DelegationSpan[];
  members: Map<number, string[]>;
  knownView: number;
  lastSequence: number;
}

/** Keeps the delegations to this daemon. */
export class DelegationHolder {
  private readonly delegators = new Map<string, Delegator>();
  private readonly rankings = new RankingCache();
  private knownSinceMs: number;
  private stopAtMs = Number.POSITIVE_INFINITY;
  private isReleased = false;

  /**
   * @param self - name of this host
   * @param clock - source of time
   */
  constructor(
    private readonly self: string,
    private readonly clock: Clock,
  ) {
    this.knownSinceMs = clock.now();
  }

  /**
   * Gets the newest view of a delegating daemon that is known here.
   *
   * @param delegator - host and incarnation
   */
  getKnownView(delegator: string): number {
    return this.delegators.get(delegator)?.knownView ?? 0;
  }

  /**
   * Gets the newest heartbeat whose answer was applied.
   *
   * @param delegator - host and incarnation
   */
  getLastSequence(delegator: string): number {
    return this.delegators.get(delegator)?.lastSequence ?? 0;
  }

  /**
   * Bounds the time for which anything may be given out on the delegations.
   *
   * @param stopAtMs - monotonic milliseconds
   */
  setStop(stopAtMs: number): void {
    this.stopAtMs = stopAtMs;
  }

  /** Ends all delegations now and for good. */
  release(): void {
    const nowMs = this.clock.now();
    this.isReleased = true;
    for (const {spans} of this.delegators.values()) {
      for (const span of spans) span.toMs = Math.min(span.toMs, nowMs);
    }
  }

  /**
   * Applies an answer to a heartbeat.
   *
   * @param delegator - host and incarnation that answered
   * @param answer - the answer
   * @param askedAtMs - when the heartbeat was sent, monotonic milliseconds
   * @returns whether slots are delegated by it
   */
  applyAnswer(
    delegator: string,
    answer: HeartbeatAnswer,
    askedAtMs: number,
  ): boolean {
    if (this.isReleased) return false;
    const record = this.getDelegator(delegator);
    if (answer.sequence <= record.lastSequence) return false;
    record.lastSequence = answer.sequence;
    for (const {view, hosts} of answer.members) {
      record.members.set(view, hosts);
      record.knownView = Math.max(record.knownView, view);
    }
    const oldest = Math.min(...answer.views);
    for (const view of record.members.keys()) {
      if (view < oldest) record.members.delete(view);
    }
    const isAppended = this.appendSpan(record, answer, askedAtMs);
    this.dropOldSpans();
    return isAppended;
  }

  /**
   * Sums the slots delegated for a key now, by delegating daemon.
   *
   * @param key - key of the budget
   */
  listDelegators(key: string): Map<string, number> {
    const nowMs = this.clock.now();
    const owned = this.createOwnership(key);
    const slots = new Map<string, number>();
    for (const [name, {spans}] of this.delegators) {
      const count = sumSlotsAt(spans, nowMs, owned);
      if (count > 0) slots.set(name, count);
    }
    return slots;
  }

  /** {@inheritDoc ShareLedger.getShareHistory} */
  getShareHistory(key: string, sinceMs: number | undefined): ShareHistory {
    const nowMs = this.clock.now();
    const owned = this.createOwnership(key);
    const relevant: DelegationSpan[][] = [];
    let startMs = Math.min(sinceMs ?? this.knownSinceMs, nowMs);
    for (const {spans} of this.delegators.values()) {
      const ours = spans.filter(
        (span) => (sinceMs === undefined || span.toMs > startMs) && owned(span),
      );
      if (ours.length > 0) relevant.push(ours);
      if (sinceMs !== undefined) continue;
      for (const span of ours) startMs = Math.min(startMs, span.fromMs);
    }
    return {
      completeSinceMs: this.knownSinceMs,
      segments: buildSegments(relevant, startMs, nowMs),
      leasedUntilMs: Math.min(
        this.stopAtMs,
        computeBackedUntil(relevant, nowMs),
      ),
    };
  }

  private createOwnership(key: string): (span: DelegationSpan) => boolean {
    const owners = new Map<string, boolean>();
    return (span) => {
      let isOwner = owners.get(span.viewIds);
      if (isOwner === undefined) {
        isOwner = span.views.every(
          (hosts) => this.rankings.getRanking(key, hosts)[0] === this.self,
        );
        owners.set(span.viewIds, isOwner);
      }
      return isOwner;
    };
  }

  private appendSpan(
    record: Delegator,
    answer: HeartbeatAnswer,
    askedAtMs: number,
  ): boolean {
    const views = answer.views.map((view) => record.members.get(view));
    if (answer.slots === 0 || views.some((hosts) => hosts === undefined)) {
      return false;
    }
    const known = views as string[][];
    const nowMs = this.clock.now();
    const toMs = askedAtMs + answer.termMs;
    const viewIds = known.map((hosts) => hosts.join(' ')).join(';');
    const last = record.spans.at(-1);
    if (
      last !== undefined &&
      last.toMs > nowMs &&
      last.slots === answer.slots &&
      last.viewIds === viewIds
    ) {
      last.toMs = Math.max(last.toMs, toMs);
      return true;
    }
    if (toMs <= nowMs) return false;
    const isFirst = record.spans.length === 0;
    const fromMs = answer.fresh && isFirst ? Number.NEGATIVE_INFINITY : nowMs;
    record.spans.push({
      fromMs,
      toMs,
      slots: answer.slots,
      views: known,
      viewIds,
    });
    return true;
  }

  private dropOldSpans(): void {
    const oldestMs = this.clock.now() - HISTORY_MS;
    for (const [name, record] of this.delegators) {
      const kept = record.spans.filter((span) => span.toMs > oldestMs);
      if (kept.length === record.spans.length) continue;
      this.knownSinceMs = Math.max(this.knownSinceMs, oldestMs);
      record.spans = kept;
      if (kept.length === 0) this.delegators.delete(name);
    }
  }

  private getDelegator(name: string): Delegator {
    let record = this.delegators.get(name);
    if (record === undefined) {
      record = {
        spans: [],
        members: new Map(),
        knownView: 0,
        lastSequence: 0,
      };
      this.delegators.set(name, record);
    }
    return record;
  }
}

/** Overlapping spans of one delegator stand for the same slots. */
function sumSlotsAt(
  spans: DelegationSpan[],
  atMs: number,
  owned: (span: DelegationSpan) => boolean,
): number {
  let slots = 0;
  for (const span of spans) {
    if (span.fromMs > atMs || span.toMs <= atMs || !owned(span)) continue;
    slots = Math.max(slots, span.slots);
  }
  return slots;
}

function buildSegments(
  delegators: DelegationSpan[][],
  startMs: number,
  nowMs: number,
): ShareSegment[] {
  const edges = new Set([startMs, nowMs]);
  for (const span of delegators.flat()) {
    for (const edge of [span.fromMs, span.toMs]) {
      if (edge > startMs && edge < nowMs) edges.add(edge);
    }
  }
  const times = [...edges].sort((a, b) => a - b);
  const segments: ShareSegment[] = [];
  for (const [index, fromMs] of times.entries()) {
    const toMs = times[index + 1] ?? nowMs;
    let slots = 0;
    for (const spans of delegators) {
      slots += sumSlotsAt(spans, fromMs, () => true);
    }
    if (toMs > fromMs || index === times.length - 1) {
      segments.push({fromMs, toMs, slots});
    }
  }
  return segments;
}

function computeBackedUntil(
  delegators: DelegationSpan[][],
  nowMs: number,
): number {
  let untilMs = Number.POSITIVE_INFINITY;
  for (const spans of delegators) {
    const current = spans.filter((s) => s.fromMs <= nowMs && s.toMs > nowMs);
    if (current.length === 0) continue;
    untilMs = Math.min(untilMs, Math.max(...current.map((s) => s.toMs)));
  }
  return Number.isFinite(untilMs) ? untilMs : nowMs;
}
