/**
 * Relative speed of the servers of a pool, learned from the times of calls.
 * Performs no I/O; times are monotonic milliseconds.
 */

/** Time after which what the calls of a holder have shown is dropped, milliseconds. */
const MAX_AGE_MS = 60_000;

/** Holders that are kept for each server; the one that was not heard for longest is dropped. */
const MAX_HOLDERS_PER_SERVER = 32;

/** Share of the newest call in the average of a holder. */
const SMOOTHING_FACTOR = 0.3;

/** Holders that a speed needs, or all holders of the pool when there are fewer. */
const MIN_HOLDERS = 3;

/** Calls that a speed needs. */
const MIN_CALLS = 8;

/** Servers with a known speed that a comparison needs. */
const MIN_SERVERS = 3;

/** Period in which the speeds are computed, milliseconds. */
const UPDATE_PERIOD_MS = 500;

/** Logarithm of the difference from the pool's median up to which speeds are alike. New connections are costly, so measuring errors must not move requests. */
const ALIKE_LOG_RATIO = Math.log(1.15);

/** Load for each unit of the logarithm beyond {@link ALIKE_LOG_RATIO}, as a fraction of a server's slots. */
const LOAD_PER_LOG_RATIO = 0.4;

/** Largest load, as a fraction of a server's slots: less than an open connection counts (0.15). */
const MAX_LOAD = 0.14;

/** Counts of the servers of a pool by speed. The field names are values of a metric label. */
export interface SpeedCounts {
  slow: number;
  alike: number;
  fast: number;
  unknown: number;
}

/** Times that one holder has measured at a server. */
interface HolderTimes {
  /** Moving average of the logarithm of the times relative to the norm. */
  average: number;
  lastMs: number;
}

/** Calls to one server. */
interface ServerTimes {
  calls: number;
  /** By holder, the one that was not heard for longest first. */
  holders: Map<string, HolderTimes>;
  /** Load that the server's slowness counts as in the choice for online requests; undefined while the speed is unknown. */
  load?: number;
}

/** Speeds of the servers of one pool. */
export class ServerSpeed {
  private readonly servers = new Map<string, ServerTimes>();
  /** Whether the speed of any server counts; saves a look-up for each server and request. */
  private isAnyWeighed = false;
  private updatedMs = Number.NEGATIVE_INFINITY;

  /** Drops what is known of a server, which has started again or is no longer listed. */
  drop(serverId: string): void {
    this.servers.delete(serverId);
  }

  /**
   * Records a call.
   *
   * @param serverId - the server
   * @param holder - host of the daemon that made the call
   * @param logRatio - logarithm of its time relative to the norm at the same load
   * @param nowMs - current time
   */
  record(
    serverId: string,
    holder: string,
    logRatio: number,
    nowMs: number,
  ): void {
    let server = this.servers.get(serverId);
    if (!server) {
      server = {calls: 0, holders: new Map()};
      this.servers.set(serverId, server);
    }
    server.calls += 1;
    const {holders} = server;
    const average = holders.get(holder)?.average ?? logRatio;
    holders.delete(holder);
    holders.set(holder, {
      average: average + SMOOTHING_FACTOR * (logRatio - average),
      lastMs: nowMs,
    });
    if (holders.size <= MAX_HOLDERS_PER_SERVER) return;
    for (const oldest of holders.keys()) {
      holders.delete(oldest);
      return;
    }
  }

  /**
   * Gets the load that the speed of a server counts as, as a fraction of its
   * slots: online requests prefer fast servers and batch items slow ones.
   */
  getLoadPenalty(serverId: string, isBatch: boolean, nowMs: number): number {
    if (nowMs - this.updatedMs >= UPDATE_PERIOD_MS) this.updateLoads(nowMs);
    if (!this.isAnyWeighed) return 0;
    const load = this.servers.get(serverId)?.load ?? 0;
    return isBatch ? -load : load;
  }

  /** Counts the servers with a known speed. */
  count(): Omit<SpeedCounts, 'unknown'> {
    const counts = {slow: 0, alike: 0, fast: 0};
    for (const {load} of this.servers.values()) {
      if (load === undefined) continue;
      if (load > 0) counts.slow += 1;
      else if (load < 0) counts.fast += 1;
      else counts.alike += 1;
    }
    return counts;
  }

  private updateLoads(nowMs: number): void {
    this.updatedMs = nowMs;
    this.dropOld(nowMs);
    const poolHolders = new Set<string>();
    for (const {holders} of this.servers.values()) {
      if (poolHolders.size >= MIN_HOLDERS) break;
      for (const holder of holders.keys()) poolHolders.add(holder);
    }
    const minHolders = Math.min(MIN_HOLDERS, poolHolders.size);
    const slowness = new Map<ServerTimes, number>();
    for (const server of this.servers.values()) {
      server.load = undefined;
      const {calls, holders} = server;
      if (calls < MIN_CALLS || holders.size < minHolders) continue;
      const averages = [...holders.values()].map(({average}) => average);
      slowness.set(server, computeLowerMedian(averages));
    }
    this.isAnyWeighed = false;
    if (slowness.size < MIN_SERVERS) return;
    const median = computeMedian([...slowness.values()]);
    for (const [server, value] of slowness) {
      server.load = computeLoad(value - median);
      if (server.load !== 0) this.isAnyWeighed = true;
    }
  }

  private dropOld(nowMs: number): void {
    for (const [id, {holders}] of this.servers) {
      for (const [holder, {lastMs}] of holders) {
        if (nowMs - lastMs <= MAX_AGE_MS) break;
        holders.delete(holder);
      }
      if (holders.size === 0) this.servers.delete(id);
    }
  }
}

/** Computes the load of a server, continuous and zero for speeds that are alike. */
function computeLoad(logRatio: number): number {
  const excess = Math.max(0, Math.abs(logRatio) - ALIKE_LOG_RATIO);
  if (excess === 0) return 0;
  const load = Math.min(MAX_LOAD, excess * LOAD_PER_LOG_RATIO);
  return logRatio > 0 ? load : -load;
}

/** Computes the median; of two middle values the lower one, because a bad link only adds time. */
function computeLowerMedian(values: number[]): number {
  values.sort((a, b) => a - b);
  return values[Math.floor((values.length - 1) / 2)] ?? 0;
}

function computeMedian(values: number[]): number {
  const lower = computeLowerMedian(values);
  const upper = values[Math.floor(values.length / 2)] ?? 0;
  return (lower + upper) / 2;
}
