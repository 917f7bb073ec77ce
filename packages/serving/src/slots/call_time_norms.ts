/**
 * Typical times of the calls to the servers of a pool, with which the times of
 * one call are compared. Performs no I/O.
 */
import type {CallTimes} from '@savoryspur/schema';

/** Classes of the load of a server in which times are compared with each other. */
const LOAD_CLASSES = 4;

/** Calls after which a norm is used. */
const MIN_CALLS = 10;

/** Smallest step by which a call moves a median, as a part of its logarithm; 0.03 follows a change by a factor of 2 within 23 calls. */
const MIN_STEP = 0.03;

/** Largest step, by which the first calls move a median. */
const MAX_STEP = 0.3;

/** Norms that are kept; the oldest one is dropped. A route has two in each class of load. */
const MAX_NORMS = 512;

/** Holders whose typical deviation is kept; the oldest one is dropped. */
const MAX_HOLDERS = 1024;

/** Running median of logarithms: each value moves it by a step towards itself. */
interface RunningMedian {
  value: number;
  calls: number;
}

/** Logarithms of the times of one call relative to the norm; absent where there is none to compare with. */
export interface RelativeTimes {
  firstEvent?: number;
  event?: number;
}

/** Norms of the first-event and event times of a pool, by route and load of the server. */
export class CallTimeNorms {
  private readonly norms = new Map<string, RunningMedian>();
  /** Typical deviation of the calls of one holder, which its network causes. */
  private readonly holderDeviations = new Map<string, RunningMedian>();

  /**
   * Compares the times of a call with the norms, less what is typical of the
   * holder: a daemon with a bad link measures long times at all servers.
   *
   * @param times - times of the call
   * @param load - fraction of the server's slots in use
   * @param holder - host of the daemon that made the call
   */
  compare(times: CallTimes, load: number, holder: string): RelativeTimes {
    const known = this.holderDeviations.get(holder);
    const deviation = known && known.calls >= MIN_CALLS ? known.value : 0;
    const relative: RelativeTimes = {};
    for (const kind of ['firstEvent', 'event'] as const) {
      const ms = times[`${kind}Ms`];
      const norm = this.norms.get(formatKey(times.route, kind, load));
      if (ms === undefined || !norm || norm.calls < MIN_CALLS) continue;
      relative[kind] = computeLog(ms) - norm.value - deviation;
    }
    return relative;
  }

  /** Records the times of a call to a server that is neither paced nor suspended. */
  record(times: CallTimes, load: number, holder: string): void {
    for (const kind of ['firstEvent', 'event'] as const) {
      const ms = times[`${kind}Ms`];
      if (ms === undefined) continue;
      const key = formatKey(times.route, kind, load);
      const norm = this.norms.get(key);
      if (norm && norm.calls >= MIN_CALLS) {
        const deviation = computeLog(ms) - norm.value;
        updateMedian(this.holderDeviations, holder, deviation, MAX_HOLDERS);
      }
      updateMedian(this.norms, key, computeLog(ms), MAX_NORMS);
    }
  }
}

function formatKey(route: string, kind: string, load: number): string {
  const loadClass = Math.min(LOAD_CLASSES, Math.ceil(load * LOAD_CLASSES));
  return `${kind} ${loadClass} ${route}`;
}

function computeLog(ms: number): number {
  return Math.log(Math.max(ms, 1));
}

function updateMedian(
  medians: Map<string, RunningMedian>,
  key: string,
  value: number,
  maxSize: number,
): void {
  const median = medians.get(key);
  if (!median) {
    medians.set(key, {value, calls: 1});
    if (medians.size <= maxSize) return;
    for (const oldest of medians.keys()) {
      medians.delete(oldest);
      return;
    }
    return;
  }
  median.calls += 1;
  const step = Math.max(MIN_STEP, MAX_STEP / median.calls);
  const difference = value - median.value;
  median.value += Math.max(-step, Math.min(step, difference));
}
