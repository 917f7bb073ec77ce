/** Load, speed and warm-up of one engine. */
import {randomUUID} from 'node:crypto';
import type {Clock} from '@savoryspur/common';
import type {EngineTuning} from '@savoryspur/schema';

/** Factor by which all token times grow while the engine is cold. */
const COLD_SLOWDOWN = 2;

/**
 * Slowdown that is added for each multiple of the capacity that runs above the
 * capacity itself.
 */
const OVERLOAD_SLOWDOWN_PER_CAPACITY = 3;

/** Factor of the time to the first token when the prompt prefix is cached. */
const CACHED_FIRST_TOKEN_FACTOR = 0.4;

/** Speed and capacity of an engine, with all fields set. */
export type EngineSpeed = Required<EngineTuning>;

/** Counts running requests and computes the token times under this load. */
export class EngineLoad {
  /** Boot marker: random id of this engine incarnation. */
  boot = randomUUID();
  /** Requests that run now. */
  running = 0;
  /** Highest number of requests that ran at once. */
  maxRunning = 0;
  /** Highest number of requests that ran at once while the engine was cold. */
  maxRunningCold = 0;
  private warmupRequestsLeft: number;
  private graceEndsAtMs = 0;

  /**
   * @param speed - speed and capacity
   * @param clock - clock of the grace period after the engine became cold
   * @param isWarm - whether the engine starts warm
   */
  constructor(
    private speed: EngineSpeed,
    private readonly clock: Clock,
    isWarm: boolean,
  ) {
    this.warmupRequestsLeft = isWarm ? 0 : speed.coldRequests;
  }

  /** Changes the speed and capacity fields that are given. */
  adjust(tuning: EngineTuning): void {
    this.speed = {...this.speed, ...tuning};
  }

  /** Tells whether the engine is cold. */
  isCold(): boolean {
    return this.warmupRequestsLeft > 0;
  }

  /** Starts a new incarnation: new boot marker, no running requests, cold. */
  reset(): void {
    this.boot = randomUUID();
    this.running = 0;
    this.setCold(0);
  }

  /**
   * Makes the engine cold without a new boot marker.
   *
   * @param graceMs - grace period in which more requests than the cold capacity
   *     do not crash the engine, milliseconds
   */
  setCold(graceMs: number): void {
    this.warmupRequestsLeft = this.speed.coldRequests;
    this.graceEndsAtMs = this.clock.now() + graceMs;
  }

  /** Makes the engine warm. */
  setWarm(): void {
    this.warmupRequestsLeft = 0;
  }

  /**
   * Starts to count one request as running.
   *
   * @returns false when the engine is cold and the request exceeds its cold
   *     capacity, which crashes the engine
   */
  addRunning(): boolean {
    this.running += 1;
    this.maxRunning = Math.max(this.maxRunning, this.running);
    if (!this.isCold()) return true;
    this.maxRunningCold = Math.max(this.maxRunningCold, this.running);
    if (this.clock.now() < this.graceEndsAtMs) return true;
    return this.running <= this.speed.coldCapacity;
  }

  /**
   * Stops counting one request as running.
   *
   * @param isCompleted - whether the request was completed and so counts towards
   *     the warm-up
   */
  removeRunning(isCompleted: boolean): void {
    this.running -= 1;
    if (isCompleted && this.warmupRequestsLeft > 0)
      this.warmupRequestsLeft -= 1;
  }

  /** Computes the time to the first token at the present load, milliseconds. */
  computeFirstTokenMs(isCached: boolean): number {
    const cacheFactor = isCached ? CACHED_FIRST_TOKEN_FACTOR : 1;
    return this.speed.firstTokenMs * cacheFactor * this.computeSlowdown();
  }

  /** Computes the time to the next token at the present load, milliseconds. */
  computeBetweenTokensMs(): number {
    return this.speed.betweenTokensMs * this.computeSlowdown();
  }

  /** Counts the running requests above the capacity. */
  countQueued(): number {
    return Math.max(0, this.running - this.speed.capacity);
  }

  private computeSlowdown(): number {
    const otherRequests = Math.max(0, this.running - 1);
    const load = otherRequests / this.speed.capacity;
    const overloadSlowdown =
      Math.max(0, load - 1) * OVERLOAD_SLOWDOWN_PER_CAPACITY;
    return (1 + load + overloadSlowdown) * (this.isCold() ? COLD_SLOWDOWN : 1);
  }
}
