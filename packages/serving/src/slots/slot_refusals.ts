/** Refusals that a daemon makes without a pool owner. */
import type {SlotResult} from './slot_allocator.js';

/** Retry-After of a standalone daemon without a usable slot, milliseconds: it may reach an owner by then. */
const STANDALONE_RETRY_AFTER_MS = 400;

/** Creates the refusal of a standalone daemon without a usable slot. */
export function createStandaloneRefusal(): SlotResult {
  return {
    kind: 'refused',
    reason:
      'no pool owner is reachable and no server has a free slot for a standalone daemon',
    retryAfterMs: STANDALONE_RETRY_AFTER_MS,
  };
}

/** Creates the result of a request whose caller ended the wait. */
export function createAbortedResult(): SlotResult {
  return {
    kind: 'refused',
    reason: 'the caller ended the wait',
    retryAfterMs: 0,
  };
}
