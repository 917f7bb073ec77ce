/**
 * Prompt prefix cache of limited size. Its events are published after a delay,
 * and some of them never.
 */
import type {Clock} from '@savoryspur/common';
import type {SeededRandom} from '../seeded_random.js';

/** Kinds of cache event. */
export enum CacheEventKind {
  STORED = 'stored',
  EVICTED = 'evicted',
}

/** One event of the cache. */
export interface CacheEvent {
  sequence: number;
  kind: CacheEventKind;
  prefixHash: string;
}

/** Size of the cache and publication of its events. */
export interface PrefixCacheOptions {
  /** Number of prefixes that the cache holds. */
  maxEntries: number;
  /** Delay until an event is published, milliseconds. */
  lagMs: number;
  /** Probability that an event is never published. */
  gapProbability: number;
}

/** Event with the time of its publication. */
interface ScheduledEvent {
  publishAtMs: number;
  event: CacheEvent;
}

/** Number of events that are kept; the oldest are dropped first. */
const MAX_KEPT_EVENTS = 10_000;

/** Least recently used cache of prefix hashes. */
export class PrefixCache {
  private readonly entries = new Set<string>();
  private events: ScheduledEvent[] = [];
  private lastSequence = 0;

  /**
   * @param options - size and publication of events
   * @param clock - clock of the publication times
   * @param random - decides which events are never published
   */
  constructor(
    private readonly options: PrefixCacheOptions,
    private readonly clock: Clock,
    private readonly random: SeededRandom,
  ) {}

  /**
   * Looks a prefix up and marks it as the most recently used one; caches it if
   * it is missing.
   *
   * @returns whether the prefix was cached
   */
  use(prefixHash: string): boolean {
    const isHit = this.entries.delete(prefixHash);
    this.entries.add(prefixHash);
    if (isHit) return true;
    this.scheduleEvent(CacheEventKind.STORED, prefixHash);
    if (this.entries.size > this.options.maxEntries)
      this.removeLeastRecentlyUsed();
    return false;
  }

  /** Lists the events after a sequence number that are published by now. */
  listEvents(afterSequence: number): CacheEvent[] {
    const nowMs = this.clock.now();
    return this.events
      .filter((p) => p.publishAtMs <= nowMs && p.event.sequence > afterSequence)
      .map((p) => p.event);
  }

  /** Clears the cache and its events, and restarts the sequence numbers. */
  clear(): void {
    this.entries.clear();
    this.events = [];
    this.lastSequence = 0;
  }

  private removeLeastRecentlyUsed(): void {
    for (const oldest of this.entries) {
      this.entries.delete(oldest);
      this.scheduleEvent(CacheEventKind.EVICTED, oldest);
      return;
    }
  }

  private scheduleEvent(kind: CacheEventKind, prefixHash: string): void {
    this.lastSequence += 1;
    if (this.random.takeUniform() < this.options.gapProbability) return;
    this.events.push({
      publishAtMs: this.clock.now() + this.options.lagMs,
      event: {sequence: this.lastSequence, kind, prefixHash},
    });
    if (this.events.length > MAX_KEPT_EVENTS) this.events.shift();
  }
}
