/**
 * Holds delegation leases: the quota slots that other daemons delegate to this
 * one, now and over the past minutes.
 */
import type {Clock} from '@savoryspur/common';
import type {HeartbeatAnswer} from '@savoryspur/schema';
import type {ShareHistory, ShareSegment} from './contract.js';
import {RankingCache} from './ranking_cache.js';

/** Time for which expired delegations are retained, milliseconds. */
const HISTORY_RETENTION_MS = 120_000;

/** Time span in which a delegation was renewed without a change. */
interface DelegationSpan {
  fromMs: number;
  toMs: number;
  slots: number;
  /** Members of each view; this daemon must own a key in all of them. */
  views: string[][];
  viewsKey: string;
}

/** Delegations and views of one incarnation of a delegating daemon. */
interface DelegatorRecord {
  spans: DelegationSpan[];
  members: Map<number, string[]>;
  knownView: number;
  lastSequence: number;
}

/** Records the delegations to this daemon. */
export class DelegationHolder {
  private readonly delegators = new Map<string, DelegatorRecord>();
  private readonly rankings = new RankingCache();
  private completeSinceMs: number;
  private grantDeadlineMs = Number.POSITIVE_INFINITY;
  private isReleased = false;

  /**
   * @param self - name of this host
   * @param clock - source of time
   */
  constructor(
    private readonly self: string,
    private readonly clock: Clock,
  ) {
    this.completeSinceMs = clock.now();
  }

  /**
   * Gets the newest view of a delegating daemon that this daemon knows.
   *
   * @param delegator - delegating daemon, as `host:incarnation`
   * @returns number of the view; 0 when none is known
   */
  getKnownView(delegator: string): number {
    return this.delegators.get(delegator)?.knownView ?? 0;
  }

  /**
   * Gets the newest heartbeat whose answer was applied.
   *
   * @param delegator - delegating daemon, as `host:incarnation`
   * @returns number of the heartbeat; 0 when there is none
   */
  getLastSequence(delegator: string): number {
    return this.delegators.get(delegator)?.lastSequence ?? 0;
  }

  /**
   * Limits the time until which grants and loans on the delegations may last.
   *
   * @param deadlineMs - monotonic milliseconds
   */
  setGrantDeadline(deadlineMs: number): void {
    this.grantDeadlineMs = deadlineMs;
  }

  /** Ends all delegations now; later answers are ignored. */
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
   * @param delegator - delegating daemon, as `host:incarnation`
   * @param answer - answer of that daemon
   * @param sentAtMs - when the heartbeat was sent, monotonic milliseconds
   * @returns whether the answer delegates quota slots
   */
  applyAnswer(
    delegator: string,
    answer: HeartbeatAnswer,
    sentAtMs: number,
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
    const isDelegated = this.appendSpan(record, answer, sentAtMs);
    this.dropOldSpans();
    return isDelegated;
  }

  /**
   * Lists the quota slots that are delegated for a key now.
   *
   * @param key - quota key
   * @returns quota slots by delegating daemon, as `host:incarnation`
   */
  listDelegators(key: string): Map<string, number> {
    const nowMs = this.clock.now();
    const isOwned = this.createOwnerCheck(key);
    const slots = new Map<string, number>();
    for (const [name, {spans}] of this.delegators) {
      const count = computeSlotsAt(spans, nowMs, isOwned);
      if (count > 0) slots.set(name, count);
    }
    return slots;
  }

  /** {@inheritDoc ShareHistorySource.getShareHistory} */
  getShareHistory(key: string, sinceMs: number | undefined): ShareHistory {
    const nowMs = this.clock.now();
    const isOwned = this.createOwnerCheck(key);
    const ownedSpans: DelegationSpan[][] = [];
    let startMs = Math.min(sinceMs ?? this.completeSinceMs, nowMs);
    for (const {spans} of this.delegators.values()) {
      const keySpans = spans.filter(
        (span) =>
          (sinceMs === undefined || span.toMs > startMs) && isOwned(span),
      );
      if (keySpans.length > 0) ownedSpans.push(keySpans);
      if (sinceMs !== undefined) continue;
      for (const span of keySpans) startMs = Math.min(startMs, span.fromMs);
    }
    return {
      completeSinceMs: this.completeSinceMs,
      segments: buildSegments(ownedSpans, startMs, nowMs),
      leasedUntilMs: Math.min(
        this.grantDeadlineMs,
        computeLeasedUntilMs(ownedSpans, nowMs),
      ),
    };
  }

  private createOwnerCheck(key: string): (span: DelegationSpan) => boolean {
    const owners = new Map<string, boolean>();
    return (span) => {
      let isOwner = owners.get(span.viewsKey);
      if (isOwner === undefined) {
        isOwner = span.views.every(
          (hosts) => this.rankings.getRanking(key, hosts)[0] === this.self,
        );
        owners.set(span.viewsKey, isOwner);
      }
      return isOwner;
    };
  }

  private appendSpan(
    record: DelegatorRecord,
    answer: HeartbeatAnswer,
    sentAtMs: number,
  ): boolean {
    const foundViews = answer.views.map((view) => record.members.get(view));
    if (answer.slots === 0 || foundViews.some((hosts) => hosts === undefined)) {
      return false;
    }
    const views = foundViews as string[][];
    const nowMs = this.clock.now();
    const toMs = sentAtMs + answer.termMs;
    const viewsKey = views.map((hosts) => hosts.join(' ')).join(';');
    const last = record.spans.at(-1);
    if (
      last !== undefined &&
      last.toMs > nowMs &&
      last.slots === answer.slots &&
      last.viewsKey === viewsKey
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
      views,
      viewsKey,
    });
    return true;
  }

  private dropOldSpans(): void {
    const oldestMs = this.clock.now() - HISTORY_RETENTION_MS;
    for (const [name, record] of this.delegators) {
      const retained = record.spans.filter((span) => span.toMs > oldestMs);
      if (retained.length === record.spans.length) continue;
      this.completeSinceMs = Math.max(this.completeSinceMs, oldestMs);
      record.spans = retained;
      if (retained.length === 0) this.delegators.delete(name);
    }
  }

  private getDelegator(name: string): DelegatorRecord {
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

/**
 * Computes the quota slots of one delegator at a point in time. Overlapping
 * spans are for the same slots, so the largest one counts.
 */
function computeSlotsAt(
  spans: DelegationSpan[],
  atMs: number,
  isOwned: (span: DelegationSpan) => boolean,
): number {
  let slots = 0;
  for (const span of spans) {
    if (span.fromMs > atMs || span.toMs <= atMs || !isOwned(span)) continue;
    slots = Math.max(slots, span.slots);
  }
  return slots;
}

function buildSegments(
  delegators: DelegationSpan[][],
  startMs: number,
  nowMs: number,
): ShareSegment[] {
  const changeTimes = new Set([startMs, nowMs]);
  for (const span of delegators.flat()) {
    for (const time of [span.fromMs, span.toMs]) {
      if (time > startMs && time < nowMs) changeTimes.add(time);
    }
  }
  const times = [...changeTimes].sort((a, b) => a - b);
  const segments: ShareSegment[] = [];
  for (const [index, fromMs] of times.entries()) {
    const toMs = times[index + 1] ?? nowMs;
    let slots = 0;
    for (const spans of delegators) {
      slots += computeSlotsAt(spans, fromMs, () => true);
    }
    if (toMs > fromMs || index === times.length - 1) {
      segments.push({fromMs, toMs, slots});
    }
  }
  return segments;
}

function computeLeasedUntilMs(
  delegators: DelegationSpan[][],
  nowMs: number,
): number {
  let earliestMs = Number.POSITIVE_INFINITY;
  for (const spans of delegators) {
    const current = spans.filter(
      (span) => span.fromMs <= nowMs && span.toMs > nowMs,
    );
    if (current.length === 0) continue;
    earliestMs = Math.min(
      earliestMs,
      Math.max(...current.map((span) => span.toMs)),
    );
  }
  return Number.isFinite(earliestMs) ? earliestMs : nowMs;
}
