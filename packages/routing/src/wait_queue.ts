/**
 * Wait queue of a pool owner: acquire requests that wait for a concurrency
 * slot.
 */
import {
  type AcquireSlotAnswer,
  type AcquireSlotInput,
  AcquireState,
  type PeerInfo,
  SlotTrafficClass,
  type RefusalReason,
} from '@savoryspur/schema';
import {FairQueue} from './fair_queue.js';

/** An acquire request in the wait queue. */
export class QueuedRequest {
  /** Workspace by which the queue serves requests round robin. */
  readonly workspace: string;
  /** Resolved with the owner's decision. */
  readonly outcome: Promise<AcquireSlotAnswer>;
  private resolveOutcome: (answer: AcquireSlotAnswer) => void = () => undefined;

  /**
   * @param holder - daemon that sent the request
   * @param input - the acquire request
   * @param deadlineMs - monotonic time at which the request is refused
   */
  constructor(
    readonly holder: PeerInfo,
    readonly input: AcquireSlotInput,
    readonly deadlineMs: number,
  ) {
    this.workspace = input.workspace;
    this.outcome = new Promise((resolve) => {
      this.resolveOutcome = resolve;
    });
  }

  /** Resolves the outcome; only the first call has an effect. */
  answer(answer: AcquireSlotAnswer): void {
    this.resolveOutcome(answer);
  }
}

/**
 * Makes the answer that refuses an acquire request.
 *
 * @param reason - why it is refused
 * @param retryAfterMs - time after which there is expected to be room, milliseconds
 */
export function createRefusal(
  reason: RefusalReason,
  retryAfterMs?: number,
): AcquireSlotAnswer {
  return {
    state: AcquireState.REFUSED,
    reason,
    ...(retryAfterMs !== undefined && {retryAfterMs}),
  };
}

/** All waiting acquire requests of a pool, by traffic class. */
export class WaitQueue {
  private readonly queues: Record<SlotTrafficClass, FairQueue<QueuedRequest>> =
    {
      [SlotTrafficClass.ONLINE]: new FairQueue<QueuedRequest>(),
      [SlotTrafficClass.BATCH]: new FairQueue<QueuedRequest>(),
    };
  private readonly byGrantId = new Map<string, QueuedRequest>();

  /** Gets the queue of a traffic class. */
  getQueue(trafficClass: SlotTrafficClass): FairQueue<QueuedRequest> {
    return this.queues[trafficClass];
  }

  /** Finds a waiting request. */
  find(grantId: string): QueuedRequest | undefined {
    return this.byGrantId.get(grantId);
  }

  /** Adds a request. */
  push(request: QueuedRequest): void {
    this.byGrantId.set(request.input.grantId, request);
    this.queues[request.input.trafficClass].push(request);
  }

  /**
   * Serves the requests of a class, round robin over workspaces, until no more
   * can be served.
   *
   * @param trafficClass - the class
   * @param tryServe - decides a request, or returns false to leave it queued
   * @param hasFreeSlot - tells whether a slot is free for the class
   */
  serveInTurn(
    trafficClass: SlotTrafficClass,
    tryServe: (request: QueuedRequest) => boolean,
    hasFreeSlot: () => boolean,
  ): void {
    const queue = this.queues[trafficClass];
    const serve = (request: QueuedRequest): boolean => {
      if (!tryServe(request)) return false;
      this.byGrantId.delete(request.input.grantId);
      return true;
    };
    while (hasFreeSlot() && queue.takeFirst(serve));
  }

  /** Removes a request from the queue and refuses it. */
  refuse(
    request: QueuedRequest,
    reason: RefusalReason,
    retryAfterMs?: number,
  ): AcquireSlotAnswer {
    this.byGrantId.delete(request.input.grantId);
    this.queues[request.input.trafficClass].remove(request);
    const refusal = createRefusal(reason, retryAfterMs);
    request.answer(refusal);
    return refusal;
  }

  /** Lists all waiting requests. */
  list(): QueuedRequest[] {
    return [...this.byGrantId.values()];
  }
}
