/** Computes until when a slot is of use to the caller of an online request. */
import type {CallEstimates} from './call_estimates.js';
import type {SlotRequest} from './slot_allocator.js';

/**
 * Computes when a request must start at the latest to be served in the time that
 * its caller has: its first event must come before the caller leaves, and the
 * whole answer before the caller's deadline.
 *
 * @param request - the request
 * @param estimates - expected times of calls
 * @returns monotonic milliseconds
 */
export function computeLatestStartMs(
  {
    route,
    waitDeadlineMs,
    answerDeadlineMs = Infinity,
  }: Pick<SlotRequest, 'route' | 'waitDeadlineMs' | 'answerDeadlineMs'>,
  estimates: Pick<CallEstimates, 'getFirstEventMs' | 'getEndMs'>,
): number {
  return Math.min(
    waitDeadlineMs - estimates.getFirstEventMs(route),
    answerDeadlineMs - estimates.getEndMs(route),
  );
}
