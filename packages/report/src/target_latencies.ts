/** Latency histograms by target over about one long window. */
import {LatencyHistogram} from '@savoryspur/common';
import type {TargetLatency} from '@savoryspur/schema';

/** Histograms of one target in one half window. */
interface LatencyHistograms {
  firstToken: LatencyHistogram;
  betweenTokens: LatencyHistogram;
}

/** Histograms by target for the current and the previous half window. */
export class TargetLatencies {
  private current = new Map<string, LatencyHistograms>();
  private previous = new Map<string, LatencyHistograms>();
  /** Number of the current half window since time 0. */
  private halfIndex = 0;

  /** @param halfWindowMs - half the length of the long window, milliseconds */
  constructor(private readonly halfWindowMs: number) {}

  /**
   * Records the latencies of one request.
   *
   * @param target - name of the model, or path of the route
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
    let histograms = this.current.get(target);
    if (!histograms) {
      histograms = createHistograms();
      this.current.set(target, histograms);
    }
    histograms.firstToken.record(firstTokenMs);
    if (betweenTokensMs !== undefined)
      histograms.betweenTokens.record(betweenTokensMs);
  }

  /** Encodes the merged histograms of both half windows. */
  encode(nowMs: number): TargetLatency[] {
    this.advance(nowMs);
    const targets = new Set([...this.previous.keys(), ...this.current.keys()]);
    return [...targets].sort().map((target) => {
      const merged = createHistograms();
      for (const histogramsByTarget of [this.previous, this.current]) {
        const histograms = histogramsByTarget.get(target);
        if (!histograms) continue;
        merged.firstToken.merge(histograms.firstToken);
        merged.betweenTokens.merge(histograms.betweenTokens);
      }
      return {
        target,
        firstToken: merged.firstToken.encode(),
        betweenTokens: merged.betweenTokens.encode(),
      };
    });
  }

  private advance(nowMs: number): void {
    const halfIndex = Math.floor(nowMs / this.halfWindowMs);
    if (halfIndex === this.halfIndex) return;
    this.previous = halfIndex === this.halfIndex + 1 ? this.current : new Map();
    this.current = new Map();
    this.halfIndex = halfIndex;
  }
}

function createHistograms(): LatencyHistograms {
  return {
    firstToken: LatencyHistogram.create(),
    betweenTokens: LatencyHistogram.create(),
  };
}
