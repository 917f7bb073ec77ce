/**
 * Queue of the online requests of a daemon that decides standalone: they wait for a
 * slot that one of its own requests releases, or for a pool owner, as long as they can
 * still be served in the time that their callers have.
 */
import type {Clock} from '@savoryspur/common';
import type {SlotRequest, SlotResult} from './slot_allocator.js';
import {createAbortedResult, createStandaloneRefusal} from './slot_refusals.js';

/** Period in which waiting requests are looked at, milliseconds. */
const UPDATE_PERIOD_MS = 20;

/** What the queue uses. */
export interface StandaloneQueueOptions {
  clock: Pick<Clock, 'now' | 'sleep'>;
  /** Takes a slot; undefined while none is free. */
  take: (request: SlotRequest) => SlotResult | undefined;
  /** Whether a pool owner has been found that decides on the request. */
  hasOwner: (request: SlotRequest) => boolean;
  /** Computes when a request must start at the latest to be served in time, monotonic milliseconds. */
  computeLatestStartMs: (request: SlotRequest) => number;
  /** Estimates when a slot becomes free behind a number of requests, monotonic milliseconds; undefined when this daemon uses none. */
  estimateStartMs: (request: SlotRequest, ahead: number) => number | undefined;
}

interface WaitingRequest {
  request: SlotRequest;
  latestStartMs: number;
}

/** Queue of one daemon. */
export class StandaloneQueue {
  /** Waiting requests, the one that must start first in front. */
  private readonly waiting: WaitingRequest[] = [];

  /**
   * @param options - what the queue uses
   */
  constructor(private readonly options: StandaloneQueueOptions) {}

  /**
   * Waits for a slot.
   *
   * @param request - an online request
   * @param signal - ends the wait
   * @returns the slot or the refusal; undefined once a pool owner decides
   */
  async wait(
    request: SlotRequest,
    signal: AbortSignal,
  ): Promise<SlotResult | undefined> {
    const {clock, hasOwner} = this.options;
    const entry = {
      request,
      latestStartMs: this.options.computeLatestStartMs(request),
    };
    const ahead = this.countAhead(entry);
    const startMs = this.options.estimateStartMs(request, ahead);
    if (startMs === undefined || startMs > entry.latestStartMs) {
      return createStandaloneRefusal();
    }
    this.waiting.splice(ahead, 0, entry);
    try {
      while (!signal.aborted && clock.now() <= entry.latestStartMs) {
        if (hasOwner(request)) return undefined;
        const taken = this.takeInTurn(entry);
        if (taken) return taken;
        await clock.sleep(UPDATE_PERIOD_MS, signal);
      }
    } finally {
      this.waiting.splice(this.waiting.indexOf(entry), 1);
    }
    return signal.aborted ? createAbortedResult() : createStandaloneRefusal();
  }

  /** Takes a slot unless a request of the same service waits that must start before. */
  private takeInTurn({request}: WaitingRequest): SlotResult | undefined {
    const first = this.waiting.find(
      (other) => other.request.service === request.service,
    );
    return first?.request === request ? this.options.take(request) : undefined;
  }

  private countAhead({latestStartMs}: WaitingRequest): number {
    const index = this.waiting.findIndex(
      (other) => other.latestStartMs > latestStartMs,
    );
    return index < 0 ? this.waiting.length : index;
  }
}
