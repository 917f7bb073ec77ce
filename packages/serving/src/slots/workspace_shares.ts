/**
 * Weighs the workspaces of one pool: by their rate limit where one is configured,
 * else by their usual rate, so that a large workspace is not mistaken for one that
 * sends a multiple of what it usually does.
 */

/** Time constant of the usual rate, milliseconds: long compared to peaks of some seconds. */
const USUAL_RATE_MS = 120_000;

/** Smallest weight, as a fraction of the mean usual rate: a workspace that rarely sends is not kept waiting for it. */
const MIN_WEIGHT_FRACTION = 0.5;

/** Most workspaces with a recorded rate. */
const MAX_WORKSPACES = 10_000;

const MS_PER_SECOND = 1000;

/** Decaying count of the requests of a workspace. Times are monotonic milliseconds. */
interface RequestCount {
  count: number;
  updatedMs: number;
}

/** Weights of the workspaces of one pool. */
export class WorkspaceShares {
  /** Rate limits of the named workspaces, requests a second; undefined where the environment names none. */
  private limits: ReadonlyMap<string, number> | undefined;
  private readonly counts = new Map<string, RequestCount>();
  private readonly total: RequestCount = {count: 0, updatedMs: 0};
  private startedMs: number | undefined;

  /** Whether requests are queued by workspace. */
  isEnabled(): boolean {
    return this.limits !== undefined;
  }

  /**
   * Sets the workspaces that the environment names.
   *
   * @param limits - rate limit of each workspace, requests a second, 0 for no
   *     limit; undefined where the environment names no workspaces
   */
  setLimits(limits: ReadonlyMap<string, number> | undefined): void {
    this.limits = limits;
    for (const name of this.counts.keys()) {
      if (!limits?.has(name)) this.counts.delete(name);
    }
  }

  /** Records a request of a workspace. */
  recordRequest(workspace: string, nowMs: number): void {
    if (!this.limits) return;
    this.startedMs ??= nowMs;
    addRequest(this.total, nowMs);
    const count = this.counts.get(workspace);
    if (count) addRequest(count, nowMs);
    else if (this.counts.size < MAX_WORKSPACES) {
      this.counts.set(workspace, {count: 1, updatedMs: nowMs});
    }
  }

  /**
   * Gets the weight of a workspace. Until its usual rate has been observed for long
   * enough, the mean of all workspaces counts for the rest: after a change of owner,
   * a workspace at a multiple of its rate must not pass for a large one.
   *
   * @param workspace - name of the workspace
   * @param nowMs - current time, monotonic milliseconds
   * @returns requests a second
   */
  getWeight(workspace: string, nowMs: number): number {
    const limit = this.limits?.get(workspace) ?? 0;
    if (limit > 0) return limit;
    if (this.startedMs === undefined) return 1;
    const observedMs = Math.max(1, nowMs - this.startedMs);
    // Share of a full average that the requests since the start amount to.
    const maturity = 1 - Math.exp(-observedMs / USUAL_RATE_MS);
    const fullMs = USUAL_RATE_MS * maturity;
    const toRate = MS_PER_SECOND / fullMs;
    const meanRate =
      (computeCount(this.total, nowMs) * toRate) /
      Math.max(1, this.counts.size);
    const counted = this.counts.get(workspace);
    const ownRate = counted ? computeCount(counted, nowMs) * toRate : 0;
    const rate = maturity * ownRate + (1 - maturity) * meanRate;
    return Math.max(rate, MIN_WEIGHT_FRACTION * meanRate, Number.MIN_VALUE);
  }
}

function computeCount({count, updatedMs}: RequestCount, nowMs: number): number {
  return count * Math.exp((updatedMs - nowMs) / USUAL_RATE_MS);
}

function addRequest(counted: RequestCount, nowMs: number): void {
  counted.count = computeCount(counted, nowMs) + 1;
  counted.updatedMs = nowMs;
}
