/** Plain service that counts the runs of each call. */
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

/** Options of the service process. */
export interface ServiceOptions {
  /** Name that answers carry. */
  name: string;
  seed: number;
  /** Field of body or query that holds the call id. */
  callField: string;
}

/** Kinds of misbehaviour that single calls meet. */
enum ServiceFaultKind {
  /** Refused with 503; does not run. */
  REFUSED = 'refused',
  /** Runs; the answer comes late. */
  SLOW = 'slow',
  /** Runs; the connection is reset without an answer. */
  LOST_REPLY = 'lostReply',
  /** Runs; nothing is ever sent. */
  STALLED = 'stalled',
  /** Runs; the answer has an error status. */
  FAILED = 'failed',
  /** Runs; the answer carries the id of another request. */
  CROSSED = 'crossed',
}

/** Status of a failed call when none is set. */
const DEFAULT_FAILED_STATUS = 500;

/** Delay of a slow call when none is set, milliseconds. */
const DEFAULT_SLOW_MS = 1000;

/** A plain service behind HTTP, with test control on the same port. */
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
   * @param clock - time of slow answers
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
   * Starts to listen.
   *
   * @param port - port; 0 lets the system choose
   */
  async start(port: number): Promise<StartedStandIn> {
    const server = new HttpStandIn(this.listRoutes());
    const listening = await server.start(port);
    return {port: listening, close: () => server.close()};
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
            this.record.find(parseBody(body, validateRequestSearchQuery).text),
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
    if (this.faults.take(ServiceFaultKind.REFUSED)) {
      return createJsonAnswer({error: {code: 'not_run'}}, 503);
    }
    const answer = this.run(request);
    if (this.faults.take(ServiceFaultKind.SLOW))
      await this.clock.sleep(this.slowMs);
    if (this.faults.take(ServiceFaultKind.STALLED)) return undefined;
    if (!this.faults.take(ServiceFaultKind.LOST_REPLY)) return answer;
    response.socket?.resetAndDestroy();
    return undefined;
  }

  private run(request: StandInRequest): StandInAnswer {
    const callId = this.findCallId(request);
    const run = (this.runsByCall.get(callId) ?? 0) + 1;
    this.runsByCall.set(callId, run);
    this.runs += 1;
    const isFailed = this.faults.take(ServiceFaultKind.FAILED);
    const statusCode = isFailed ? this.failedStatus : 200;
    const {name} = this.options;
    const {method, url} = request;
    const value = {service: name, callId, run, method, path: url.pathname};
    const id = this.chooseRequestId(request);
    return createJsonAnswer(value, statusCode, {'x-request-id': id});
  }

  private chooseRequestId(request: StandInRequest): string {
    const own = String(request.headers['x-request-id'] ?? '');
    return this.faults.take(ServiceFaultKind.CROSSED) ? `other-${own}` : own;
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
