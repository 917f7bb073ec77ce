/** Plain service that counts how many times each call was run. */
import type {Clock} from '@savoryspur/common';
import {
  type ServiceFaults,
  type ServiceStats,
  validateRequestSearchQuery,
  validateServiceFaults,
} from '@savoryspur/schema';
import {FaultTable} from '../fault_table.js';
import {
  createJsonAnswer,
  HttpStandIn,
  parseBody,
  type StandInAnswer,
  type StandInRequest,
  type StandInRoute,
} from '../http_stand_in.js';
import {RequestRecord} from '../request_record.js';
import type {StartedStandIn} from '../stand_in.js';

/** Options of a service. */
export interface ServiceOptions {
  /** Name that answers carry. */
  name: string;
  /** Seed of random faults. */
  seed: number;
  /** Field of the body or query that holds the call id. */
  callField: string;
}

/** Kinds of fault that affect single calls. */
enum ServiceFaultKind {
  /** The call is refused with 503 and is not run. */
  REFUSED = 'refused',
  /** The call is run and answered after a delay. */
  SLOW = 'slow',
  /** The call is run and its connection reset without an answer. */
  LOST_REPLY = 'lostReply',
  /** The call is run and never answered; the connection stays open. */
  STALLED = 'stalled',
  /** The call is run and answered with an error status. */
  FAILED = 'failed',
  /** The call is run and its answer carries the id of another request. */
  CROSSED = 'crossed',
}

/** Status of a failed call when none is set. */
const DEFAULT_FAILED_STATUS = 500;

/** Delay of a slow call when none is set, milliseconds. */
const DEFAULT_SLOW_MS = 1000;

/** Plain HTTP service with its control API on the same port. */
export class ServiceStandIn {
  private readonly record: RequestRecord;
  private readonly runsByCall = new Map<string, number>();
  private readonly faults: FaultTable<ServiceFaultKind>;
  private runs = 0;
  private isDown = false;
  private slowMs = DEFAULT_SLOW_MS;
  private failedStatus = DEFAULT_FAILED_STATUS;

  /**
   * @param options - name, seed and call field
   * @param clock - clock that delays slow answers
   */
  constructor(
    private readonly options: ServiceOptions,
    private readonly clock: Clock,
  ) {
    this.record = new RequestRecord(clock);
    const kinds = Object.values(ServiceFaultKind);
    this.faults = new FaultTable(kinds, options.seed);
  }

  /**
   * Starts listening.
   *
   * @param port - port to listen on; 0 lets the system choose
   */
  async start(port: number): Promise<StartedStandIn> {
    const server = new HttpStandIn(this.listRoutes());
    const listeningPort = await server.start(port);
    return {port: listeningPort, close: () => server.close()};
  }

  private listRoutes(): StandInRoute[] {
    return [
      {
        method: 'GET',
        path: /^\/control\/stats$/,
        handle: () => createJsonAnswer(this.report()),
      },
      {
        method: 'GET',
        path: /^\/control\/arrivals$/,
        handle: () => createJsonAnswer(this.record.listArrivals()),
      },
      {
        method: 'POST',
        path: /^\/control\/seen$/,
        handle: ({body}) =>
          createJsonAnswer(
            this.record.findText(
              parseBody(body, validateRequestSearchQuery).text,
            ),
          ),
      },
      {
        method: 'POST',
        path: /^\/control\/faults$/,
        handle: ({body}) => {
          this.setFaults(parseBody(body, validateServiceFaults));
          return createJsonAnswer({});
        },
      },
      {path: /^\/health$/, handle: (request) => this.answerHealth(request)},
      {path: /^\//, handle: (request) => this.answerCall(request)},
    ];
  }

  private answerHealth(request: StandInRequest): StandInAnswer | undefined {
    if (!this.isDown) return createJsonAnswer({});
    request.response.socket?.resetAndDestroy();
    return undefined;
  }

  private async answerCall(
    request: StandInRequest,
  ): Promise<StandInAnswer | undefined> {
    const {response} = request;
    if (this.isDown) {
      response.socket?.resetAndDestroy();
      return undefined;
    }
    this.record.add(request, this.findCallId(request));
    if (this.faults.takeDecision(ServiceFaultKind.REFUSED)) {
      return createJsonAnswer({error: {code: 'not_run'}}, 503);
    }
    const answer = this.run(request);
    if (this.faults.takeDecision(ServiceFaultKind.SLOW))
      await this.clock.sleep(this.slowMs);
    if (this.faults.takeDecision(ServiceFaultKind.STALLED)) return undefined;
    if (!this.faults.takeDecision(ServiceFaultKind.LOST_REPLY)) return answer;
    response.socket?.resetAndDestroy();
    return undefined;
  }

  private run(request: StandInRequest): StandInAnswer {
    const callId = this.findCallId(request);
    const runNumber = (this.runsByCall.get(callId) ?? 0) + 1;
    this.runsByCall.set(callId, runNumber);
    this.runs += 1;
    const isFailed = this.faults.takeDecision(ServiceFaultKind.FAILED);
    const statusCode = isFailed ? this.failedStatus : 200;
    const {name} = this.options;
    const {method, url} = request;
    const value = {
      service: name,
      callId,
      run: runNumber,
      method,
      path: url.pathname,
    };
    const id = this.chooseRequestId(request);
    return createJsonAnswer(value, statusCode, {'x-request-id': id});
  }

  private chooseRequestId(request: StandInRequest): string {
    const ownId = String(request.headers['x-request-id'] ?? '');
    return this.faults.takeDecision(ServiceFaultKind.CROSSED)
      ? `other-${ownId}`
      : ownId;
  }

  private findCallId(request: StandInRequest): string {
    const {callField} = this.options;
    const inQuery = request.url.searchParams.get(callField);
    if (inQuery !== null) return inQuery;
    try {
      const body = JSON.parse(request.body.toString('utf8')) as unknown;
      return String((body as Record<string, unknown>)[callField] ?? '');
    } catch {
      return '';
    }
  }

  private setFaults(faults: ServiceFaults): void {
    this.isDown = faults.down ?? this.isDown;
    this.slowMs = faults.slowMs ?? this.slowMs;
    this.failedStatus = faults.failedStatus ?? this.failedStatus;
    this.faults.set(faults, faults.seed);
  }

  private report(): ServiceStats {
    return {
      runs: this.runs,
      runsByCall: Object.fromEntries(this.runsByCall),
      faults: this.faults.report(),
      requests: this.record.reportCounts(),
      headers: this.record.reportHeaders(),
    };
  }
}
