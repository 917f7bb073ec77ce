/** Slot requests for online requests. */
import {isRetryable} from '../environment.js';
import type {SlotRequest} from '../slots/slot_allocator.js';
import type {OnlinePlan} from './online_handler.js';
import type {OnlineRequest} from './online_types.js';

/** What a slot request depends on beside its request. */
export type SlotRequestState = Pick<
  SlotRequest,
  'answerDeadlineMs' | 'excluded' | 'softwareVersion' | 'waitDeadlineMs'
>;

/**
 * Creates the slot request for an online request. First tries and repeats differ
 * only in the time that their callers have left.
 *
 * @param plan - route, workspace and service of the request
 * @param request - the request
 * @param state - servers to avoid, and the deadlines
 */
export function createSlotRequest(
  {route, workspace, service, priority}: OnlinePlan,
  {deadlineMs, prefix}: OnlineRequest,
  state: SlotRequestState,
): SlotRequest {
  return {
    ...state,
    service,
    route: route.name,
    isBatch: false,
    isRetryable: isRetryable(route),
    workspace: workspace?.name ?? '',
    priority,
    dueMs: deadlineMs,
    callerDeadlineMs: deadlineMs,
    prefix,
  };
}
