/** Load on a site, and what its backend servers saw of it. */
import {SystemClock} from '@savoryspur/common';
import {
  type BackendProcess,
  LoadGenerator,
  type LoadOptions,
  LoadOutcome,
  type LoadReport,
} from '@savoryspur/testkit';
import {type Site, SITE_MODEL, SITE_WORKSPACES} from './site.js';

/** Bound on one request, milliseconds. */
const REQUEST_TIMEOUT_MS = 30_000;

/** Time after which a server that left gets no new work, milliseconds. */
export const LEAVING_MS = 3000;

/** Load that runs until it is stopped. */
export interface RunningLoad {
  /** Ends the arrivals and waits for the answers. */
  stop(): Promise<LoadReport>;
}

/** Starts load on the hosts of a site. */
export function startLoad(
  site: Site,
  options: Partial<LoadOptions> & {seed: number; ratePerSecond: number},
): RunningLoad {
  const ended = new AbortController();
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
  const running = load.run(ended.signal);
  const stop = (): Promise<LoadReport> => {
    ended.abort();
    return running;
  };
  return {stop};
}

/** Lists the requests of a report that did not end whole. */
export function describeFailures(report: LoadReport): string[] {
  return report.failures
    .filter(({outcome}) => outcome !== LoadOutcome.COMPLETE)
    .map(({url, outcome, detail}) => `${url} ${outcome} ${detail}`);
}

/** Counts the requests that came to some servers since a wall time. */
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

/** Gets the wall time as backend servers record it, milliseconds. */
export function getWallMs(): number {
  return new SystemClock().nowWall().getTime();
}
