/** Short timeouts and waits, so that end-to-end tests take seconds. */
import type {SettingsOverrides} from '@savoryspur/testkit';

/**
 * Settings of the daemons in end-to-end tests: short leases, polling intervals
 * and timeouts, and small chunks of batch items.
 */
export const SHORT_TIMEOUT_SETTINGS: SettingsOverrides = {
  leases: {
    heartbeatMs: 200,
    delegationMs: 800,
    slotTakeoverMs: 3000,
    chunkMs: 2000,
    configPollMs: 300,
    hostListPollMs: 300,
  },
  timeouts: {
    connectMs: 500,
    peerCallMs: 500,
    platformCallMs: 1000,
    betweenBytesMs: 2000,
    firstByteMs: 5000,
    readyLagMs: 600,
    drainMs: 20_000,
  },
  batch: {chunkItems: 20, pollMs: 300},
};

/** Interval at which {@link waitUntil} evaluates its condition, milliseconds. */
const CHECK_INTERVAL_MS = 50;

/** Waits for a time, milliseconds. */
export function sleepMs(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/**
 * Polls a condition until it holds.
 *
 * @param check - evaluates the condition once
 * @param maxMs - longest wait, milliseconds
 * @returns whether the condition held in time
 */
export async function waitUntil(
  check: () => Promise<boolean>,
  maxMs: number,
): Promise<boolean> {
  const startMs = performance.now();
  while (performance.now() - startMs < maxMs) {
    if (await check()) return true;
    await sleepMs(CHECK_INTERVAL_MS);
  }
  return false;
}
