/** One service of the platform with its faults and counters. */
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
import {ServiceMeter} from './service_meter.js';

/** FaultSelector that meets no request. */
const NO_INJECTION: FaultSelector = {next: 0, probability: 0};

/** State of a service without faults. */
const NO_FAULT: PlatformFault = {
  down: false,
  refuse: false,
  slowMs: 0,
  lostReply: NO_INJECTION,
  match: '',
};

/** Applies faults around the handlers of one service. */
export class FaultyService {
  private fault = NO_FAULT;
  private readonly lostReplies: FaultInjector;
  private readonly meter: ServiceMeter;
  private waiting = 0;

  /**
   * @param clock - time for delays and counters
   * @param seed - seed of the chances
   */
  constructor(
    private readonly clock: Clock,
    seed: number,
  ) {
    this.lostReplies = new FaultInjector(new SeededRandom(seed));
    this.meter = new ServiceMeter(clock);
  }

  /** Sets the faults; `seed` starts the chances anew. */
  set(fault: PlatformFault | undefined, seed: number | undefined): void {
    if (seed !== undefined) this.lostReplies.reset(new SeededRandom(seed));
    if (fault === undefined) return;
    this.fault = fault;
    this.lostReplies.set(fault.lostReply);
  }

  /**
   * Wraps a handler with the faults.
   *
   * @param isWrite - whether calls of the handler write
   * @param handle - does the call
   */
  create(isWrite: boolean, handle: StandInHandler): StandInHandler {
    return async (request) => {
      const isMatched = matchRequest(request, this.fault.match);
      if (isMatched && !this.fault.down) await this.sleep();
      if (this.fault.down) return this.refuse(request, undefined);
      if (isMatched && this.fault.refuse) {
        return this.refuse(request, createRefusal());
      }
      this.meter.add(isWrite, request.body.length);
      const answer = await handle(request);
      if (isWrite && isMatched && this.lostReplies.take()) {
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
      ...this.meter.report(),
      lostReplies: this.lostReplies.count(),
      waiting: this.waiting,
    };
  }

  private async sleep(): Promise<void> {
    if (this.fault.slowMs === 0) return;
    this.waiting += 1;
    await this.clock.sleep(this.fault.slowMs);
    this.waiting -= 1;
  }

  /** Refuses a call; breaks its connection when there is no answer. */
  private refuse(
    request: StandInRequest,
    answer: StandInAnswer | undefined,
  ): StandInAnswer | undefined {
    this.meter.addRefusal();
    if (answer === undefined) request.response.destroy();
    return answer;
  }

  private countAnswer(answer: StandInAnswer | undefined): void {
    const body = answer?.body;
    if (body !== undefined) this.meter.addAnswer(Buffer.byteLength(body));
  }
}

function createRefusal(): StandInAnswer {
  return createJsonAnswer({error: {code: 'unavailable'}}, 503);
}

/** Tells whether path or body of a request contains a text. */
function matchRequest(request: StandInRequest, text: string): boolean {
  if (text === '') return true;
  const path = decodeURIComponent(request.url.pathname);
  return path.includes(text) || request.body.includes(text);
}
