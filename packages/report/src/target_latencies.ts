/** Latency histograms of each target over about one long window. */
import {LatencyHistogram} from '@savoryspur/common';
import type {TargetLatency} from '@savoryspur/schema';

/** Histograms of one half window. */
interface LatencyHistograms {
  firstToken: LatencyHistogram;
  betweenTokens: LatencyHistogram;
}

/** Two half windows of each target: the one that runs and the one before. */
export class TargetLatencies {
  private current = new Map<string, LatencyHistograms>();
  private previous = new Map<string, LatencyHistograms>();
  private half = 0;

  /** @param halfWindowMs - half of the long window, milliseconds */
  constructor(private readonly halfWindowMs: number) {}

  /**
   * Records the latencies of one request.
   *
   * @param target - model or path of the route
   * @param firstTokenMs - time to the first token, milliseconds
   * @param betweenTokensMs - mean time between tokens, milliseconds
   * @param nowMs - monotonic time, milliseconds
   */
  record(
    target: string,
    firstTokenMs: number,
    betweenTokensMs: number | undefined,
    nowMs: number,
  ): void {
    this.advance(nowMs);
    let pair = this.current.get(target);
    if (!pair) {
      pair = createHistograms();
      this.current.set(target, pair);
    }
    pair.firstToken.record(firstTokenMs);
    if (betweenTokensMs !== undefined)
      pair.betweenTokens.record(betweenTokensMs);
  }

  /** Encodes both halves together. */
  encode(nowMs: number): TargetLatency[] {
    this.advance(nowMs);
    const targets = new Set([...this.previous.keys(), ...this.current.keys()]);
    return [...targets].sort().map((target) => {
      const merged = createHistograms();
      for (const half of [this.previous, this.current]) {
        const pair = half.get(target);
        if (!pair) continue;
        merged.firstToken.merge(pair.firstToken);
        merged.betweenTokens.merge(pair.betweenTokens);
      }
      return {
        target,
        firstToken: merged.firstToken.encode(),
        betweenTokens: merged.betweenTokens.encode(),
      };
    });
  }

  private advance(nowMs: number): void {
    const half = Math.floor(nowMs / this.halfWindowMs);
    if (half === this.half) return;
    this.previous = half === this.half + 1 ? this.current : new Map();
    this.current = new Map();
    this.half = half;
  }
}

function createHistograms(): LatencyHistograms {
  return {
    firstToken: LatencyHistogram.create(),
    betweenTokens: LatencyHistogram.create(),
  };
}
