/** Times of the steps of a rollout, as pure functions of its start and duration. */

/** Time that requests and streams of the old version get to end, as a fraction of the duration: at twice the mean load, the target gets 0.04 of all requests in it, which the bound of 0.1 allows beside those of the observation. */
const FINISHING_FRACTION = 0.02;

/** Shortest and longest time for them, milliseconds: most streams last less than a second, most batch items 2 to 3 s. */
const MIN_FINISHING_MS = 400;
const MAX_FINISHING_MS = 3000;

/** Time between completion and the deadline, in which failed writes are repeated, as a fraction of the duration. */
const MARGIN_FRACTION = 0.15;

/** Shortest and longest such time, milliseconds. An outage of the store lasts up to 7 s; a longer margin would shorten the observation. */
const MIN_MARGIN_MS = 300;
const MAX_MARGIN_MS = 6000;

/** Largest fraction of the duration that finishing and margin take together; the rest is for the observation. */
const MAX_END_FRACTION = 0.5;

/** Times of one rollout, milliseconds of the store's clock. */
export interface RolloutSchedule {
  deadlineMs: number;
  /** When `finishing` begins if the decision is to complete. */
  finishingStartMs: number;
  /** How long `finishing` lasts. */
  finishingMs: number;
}

/**
 * Computes when a rollout moves to its next phases.
 *
 * @param startedMs - start of the rollout
 * @param durationMs - time from the start to the deadline
 */
export function computeRolloutSchedule(
  startedMs: number,
  durationMs: number,
): RolloutSchedule {
  const longestMs = (durationMs * MAX_END_FRACTION) / 2;
  const finishingMs = Math.min(
    longestMs,
    computeClamped(
      durationMs * FINISHING_FRACTION,
      MIN_FINISHING_MS,
      MAX_FINISHING_MS,
    ),
  );
  const marginMs = Math.min(
    longestMs,
    computeClamped(durationMs * MARGIN_FRACTION, MIN_MARGIN_MS, MAX_MARGIN_MS),
  );
  const deadlineMs = startedMs + durationMs;
  return {
    deadlineMs,
    finishingMs,
    finishingStartMs: deadlineMs - marginMs - finishingMs,
  };
}

function computeClamped(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}
