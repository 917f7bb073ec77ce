/** Load on a test site, and the requests that its backend servers received. */
import {SystemClock} from '@savoryspur/common';
import {
  type BackendProcess,
  LoadGenerator,
  type LoadOptions,
  LoadOutcome,
  type LoadReport,
} from '@savoryspur/testkit';
import {type Site, SITE_MODEL, SITE_WORKSPACES} from './site.js';

/** Timeout of one request, milliseconds. */
const REQUEST_TIMEOUT_MS = 30_000;

/**
 * Time after which a removed server or a zone out of service gets no new work,
 * milliseconds.
 */
export const NO_NEW_WORK_AFTER_MS = 3000;

/** Load that runs until {@link RunningLoad.stop} is called. */
export interface RunningLoad {
  /** Sends no more requests and waits for the outstanding answers. */
  stop(): Promise<LoadReport>;
}

/** Starts load on all daemons of a site. */
export function startLoad(
  site: Site,
  options: Partial<LoadOptions> & {seed: number; ratePerSecond: number},
): RunningLoad {
  const stopping = new AbortController();
  const load = new LoadGenerator(
    {
      urls: site.fleet.listCallerUrls(),
      key: SITE_WORKSPACES[0]!.secret,
      model: SITE_MODEL,
      durationMs: 120_000,
      timeoutMs: REQUEST_TIMEOUT_MS,
      ...options,
    },
    new SystemClock(),
  );
  const running = load.run(stopping.signal);
  const stop = (): Promise<LoadReport> => {
    stopping.abort();
    return running;
  };
  return {stop};
}

/** Describes the failed requests of a report: those without a complete answer. */
export function describeFailures(report: LoadReport): string[] {
  return report.failures
    .filter(({outcome}) => outcome !== LoadOutcome.COMPLETE)
    .map(({url, outcome, detail}) => `${url} ${outcome} ${detail}`);
}

/**
 * Counts the requests that arrived at some servers.
 *
 * @param servers - backend servers
 * @param sinceMs - wall clock time of the first arrival to count, milliseconds
 */
export async function countArrivals(
  servers: readonly BackendProcess[],
  sinceMs: number,
): Promise<number> {
  let count = 0;
  for (const server of servers) {
    const arrivals = await server.listArrivals();
    count += arrivals.filter(({atMs}) => atMs >= sinceMs).length;
  }
  return count;
}

/** Gets the wall clock time, as backend servers record arrivals, milliseconds. */
export function getWallTimeMs(): number {
  return new SystemClock().nowWall().getTime();
}
