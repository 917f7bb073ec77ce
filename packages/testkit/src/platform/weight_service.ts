/** Weight store that refuses reads above its rate limit. */
import type {Clock} from '@savoryspur/common';
import {
  createJsonAnswer,
  type StandInAnswer,
  type StandInRequest,
} from '../http_stand_in.js';

const MS_PER_SECOND = 1000;

/** Size of the weights of each model version, bytes. */
const WEIGHT_BYTES = 1024;

/**
 * Generates the weights of any model version, whose bytes repeat the names of
 * model and version. A token bucket limits the reads.
 */
export class WeightService {
  private tokens = 1;
  private refilledAtMs: number;

  /**
   * @param clock - clock by which the token bucket is refilled
   * @param ratePerSecond - reads per second; the burst is the reads of one
   *     second, at least one read
   */
  constructor(
    private readonly clock: Clock,
    private readonly ratePerSecond: number,
  ) {
    this.refilledAtMs = clock.now();
    this.tokens = Math.max(1, ratePerSecond);
  }

  /** Reads the weights of one version of a model. */
  get(request: StandInRequest): StandInAnswer {
    if (!this.takeToken()) {
      const headers = {'retry-after': '1'};
      return createJsonAnswer({error: {code: 'rate_limited'}}, 429, headers);
    }
    const [model, version] = request.groups;
    const body = Buffer.alloc(WEIGHT_BYTES, `${model}/${version};`);
    return {statusCode: 200, body};
  }

  private takeToken(): boolean {
    const nowMs = this.clock.now();
    const refill =
      ((nowMs - this.refilledAtMs) / MS_PER_SECOND) * this.ratePerSecond;
    this.refilledAtMs = nowMs;
    this.tokens = Math.min(
      Math.max(1, this.ratePerSecond),
      this.tokens + refill,
    );
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
