/** Fault injection and counters of one service of the platform. */
import type {Clock} from '@savoryspur/common';
import type {
  FaultSelector,
  PlatformFault,
  PlatformServiceStats,
} from '@savoryspur/schema';
import {FaultInjector} from '../fault_injector.js';
import {
  createJsonAnswer,
  type StandInAnswer,
  type StandInHandler,
  type StandInRequest,
} from '../http_stand_in.js';
import {SeededRandom} from '../seeded_random.js';
import {ServiceCounters} from './service_counters.js';

/** Fault selector that selects no request. */
const SELECT_NONE: FaultSelector = {next: 0, probability: 0};

/** Fault settings of a service without faults. */
const NO_FAULT: PlatformFault = {
  down: false,
  refuse: false,
  slowMs: 0,
  lostReply: SELECT_NONE,
  match: '',
};

/** Injects faults into the handlers of one service, and counts its calls. */
export class FaultyService {
  private fault = NO_FAULT;
  private readonly lostReplies: FaultInjector;
  private readonly counters: ServiceCounters;
  private delayedCalls = 0;

  /**
   * @param clock - clock of delays and counters
   * @param seed - seed of the random decisions
   */
  constructor(
    private readonly clock: Clock,
    seed: number,
  ) {
    this.lostReplies = new FaultInjector(new SeededRandom(seed));
    this.counters = new ServiceCounters(clock);
  }

  /**
   * Replaces the faults.
   *
   * @param fault - new faults; when undefined, the faults stay as they are
   * @param seed - restarts the random decisions; when undefined, their sequence
   *     continues
   */
  setFault(fault: PlatformFault | undefined, seed: number | undefined): void {
    if (seed !== undefined) this.lostReplies.reset(new SeededRandom(seed));
    if (fault === undefined) return;
    this.fault = fault;
    this.lostReplies.set(fault.lostReply);
  }

  /**
   * Creates a handler that injects the faults and counts the calls.
   *
   * @param isWrite - whether the handler changes stored data
   * @param handle - handler without faults
   */
  createHandler(isWrite: boolean, handle: StandInHandler): StandInHandler {
    return async (request) => {
      const isMatched = matchRequest(request, this.fault.match);
      if (isMatched && !this.fault.down) await this.sleepWhenSlow();
      if (this.fault.down) return this.refuse(request, undefined);
      if (isMatched && this.fault.refuse) {
        return this.refuse(request, createRefusal());
      }
      this.counters.add(isWrite, request.body.length);
      const answer = await handle(request);
      if (isWrite && isMatched && this.lostReplies.takeDecision()) {
        request.response.destroy();
        return undefined;
      }
      this.countAnswer(answer);
      return answer;
    };
  }

  /** Reports the counters. */
  report(): PlatformServiceStats {
    return {
      ...this.counters.report(),
      lostReplies: this.lostReplies.countAffected(),
      waiting: this.delayedCalls,
    };
  }

  private async sleepWhenSlow(): Promise<void> {
    if (this.fault.slowMs === 0) return;
    this.delayedCalls += 1;
    await this.clock.sleep(this.fault.slowMs);
    this.delayedCalls -= 1;
  }

  /** Refuses a call; closes its connection when there is no answer. */
  private refuse(
    request: StandInRequest,
    answer: StandInAnswer | undefined,
  ): StandInAnswer | undefined {
    this.counters.addRefusal();
    if (answer === undefined) request.response.destroy();
    return answer;
  }

  private countAnswer(answer: StandInAnswer | undefined): void {
    const body = answer?.body;
    if (body !== undefined) this.counters.addAnswer(Buffer.byteLength(body));
  }
}

function createRefusal(): StandInAnswer {
  return createJsonAnswer({error: {code: 'unavailable'}}, 503);
}

/** Tells whether the path or body of a request contains a text. */
function matchRequest(request: StandInRequest, text: string): boolean {
  if (text === '') return true;
  const path = decodeURIComponent(request.url.pathname);
  return path.includes(text) || request.body.includes(text);
}
