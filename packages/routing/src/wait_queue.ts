/** Wishes that wait for a place at the owner of a pool. */
import {
  type AcquireSlotAnswer,
  type AcquireSlotInput,
  AcquireState,
  type PeerInfo,
  SlotTrafficClass,
  type RefusalReason,
} from '@savoryspur/schema';
import {FairQueue} from './fair_queue.js';

/** One wish that waits. */
export class QueuedRequest {
  /** Workspace, for the turn. */
  readonly workspace: string;
  /** The outcome, once there is one. */
  readonly outcome: Promise<AcquireSlotAnswer>;
  private resolveOutcome: (answer: AcquireSlotAnswer) => void = () => undefined;

  /**
   * @param holder - who asks
   * @param input - the wish
   * @param deadlineMs - monotonic time at which the wait ends
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

  /** Answers the wish. */
  answer(answer: AcquireSlotAnswer): void {
    this.resolveOutcome(answer);
  }
}

/** Makes a refusal. */
export function createRefusal(reason: RefusalReason): AcquireSlotAnswer {
  return {state: AcquireState.REFUSED, reason};
}

/** All waiting wishes of a pool. */
export class WaitQueue {
  private readonly queues: Record<SlotTrafficClass, FairQueue<QueuedRequest>> =
    {
      [SlotTrafficClass.ONLINE]: new FairQueue<QueuedRequest>(),
      [SlotTrafficClass.BATCH]: new FairQueue<QueuedRequest>(),
    };
  private readonly byId = new Map<string, QueuedRequest>();

  /** Gets the queue of a class. */
  getQueue(trafficClass: SlotTrafficClass): FairQueue<QueuedRequest> {
    return this.queues[trafficClass];
  }

  /** Finds a waiting wish. */
  find(grantId: string): QueuedRequest | undefined {
    return this.byId.get(grantId);
  }

  /** Adds a wish. */
  push(waiter: QueuedRequest): void {
    this.byId.set(waiter.input.grantId, waiter);
    this.queues[waiter.input.trafficClass].push(waiter);
  }

  /**
   * Serves wishes of a class in turn until none can be served.
   *
   * @param trafficClass - the class
   * @param tryServe - serves a wish, or tells that it cannot
   * @param hasFree - tells whether any wish of the class can be served
   */
  drain(
    trafficClass: SlotTrafficClass,
    tryServe: (waiter: QueuedRequest) => boolean,
    hasFree: () => boolean,
  ): void {
    const queue = this.queues[trafficClass];
    const serve = (waiter: QueuedRequest): boolean => {
      if (!tryServe(waiter)) return false;
      this.byId.delete(waiter.input.grantId);
      return true;
    };
    while (hasFree() && queue.takeFirst(serve));
  }

  /** Removes a wish and refuses it. */
  refuse(waiter: QueuedRequest, reason: RefusalReason): AcquireSlotAnswer {
    this.byId.delete(waiter.input.grantId);
    this.queues[waiter.input.trafficClass].remove(waiter);
    const refusal = createRefusal(reason);
    waiter.answer(refusal);
    return refusal;
  }

  /** Lists all waiting wishes. */
  list(): QueuedRequest[] {
    return [...this.byId.values()];
  }
}
