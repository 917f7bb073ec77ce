/** Online requests, answers and calls to backend servers, independent of the transport. */
import {CallOutcome} from '@savoryspur/schema';
import type {BackendServer} from '../service_registry.js';

/** Outcomes that show that the server did not execute the request. */
export const UNEXECUTED_OUTCOMES: ReadonlySet<CallOutcome> = new Set([
  CallOutcome.NOT_EXECUTED,
  CallOutcome.WRONG_SERVER,
  CallOutcome.UNREACHABLE,
]);

/** Header names and values alternating, in the order and spelling in which they were received. */
export type HeaderList = string[];

/** Request of a caller with its complete body. */
export interface OnlineRequest {
  requestId: string;
  method: string;
  host: string;
  /** Path without query. */
  path: string;
  /** Path with query. */
  target: string;
  apiKey?: string;
  /** Headers that are sent to the server unchanged. */
  headers: HeaderList;
  body: Buffer;
  /** When the request arrived, monotonic milliseconds. */
  arrivedMs: number;
  /** When the caller stops waiting, monotonic milliseconds. */
  deadlineMs: number;
  /** Id of the event after which the caller wants a stream to be resumed. */
  resumeAfter?: number;
  /** Id of the attempt that brought the first event of the stream that the caller takes up. */
  firstAttemptId?: string;
  /** Ids of the shared parts of the prompt prefix, in order. */
  prefix: string[];
  /** Aborted when the caller has disconnected, or with the reason {@link DAEMON_STOPS}. */
  signal: AbortSignal;
}

/** Reason with which the signal of a request is aborted when the daemon stops, so that the request is answered at once. */
export const DAEMON_STOPS = 'daemon_stops';

/** Reason with which the signal of a call is aborted when its server has sent nothing and another one can be called. */
export const SERVER_SILENT = 'server_silent';

/** Reason with which the signal of a call is aborted when its server responds to others, so that its connection is lost. */
export const CONNECTION_LOST = 'connection_lost';

/** Status and headers of an answer. */
export interface AnswerHead {
  statusCode: number;
  headers: HeaderList;
}

/** Why this daemon answers a request itself instead of passing on a server's answer. */
export enum RefusalCode {
  /** This daemon has not yet loaded an environment. */
  NOT_READY = 'not_ready',
  NO_ROUTE = 'no_route',
  BAD_REQUEST = 'bad_request',
  UNKNOWN_KEY = 'unknown_key',
  OVER_RATE = 'over_rate',
  /** No server ran the request, and none will. */
  NOT_RUN = 'not_run',
  QUARANTINED = 'quarantined',
  /** A server may have run the request, but there is no usable answer. */
  BROKEN = 'broken',
  /** The deadline of the request has passed; a server may have run it. */
  TIMED_OUT = 'timed_out',
}

/** Answer that this daemon gives itself because the request was refused or failed. */
export interface Refusal {
  code: RefusalCode;
  message: string;
  /** Time after which the caller should retry, milliseconds. */
  retryAfterMs?: number;
}

/** Retry-After of quarantined requests, milliseconds: long enough that callers do not retry within their deadline, which would be refused again. */
const QUARANTINE_RETRY_AFTER_MS = 60_000;

/** Refusal of requests that are quarantined themselves or by their prompt parts. */
export const QUARANTINE_REFUSAL: Refusal = {
  code: RefusalCode.QUARANTINED,
  message: 'the request or a part of its prompt crashed several servers',
  retryAfterMs: QUARANTINE_RETRY_AFTER_MS,
};

/** Writes the one answer to a caller. */
export interface AnswerWriter {
  /** Whether the status and headers were sent. */
  readonly hasBegun: boolean;
  /** Answers with a refusal; allowed only before {@link AnswerWriter.begin}. */
  refuse(refusal: Refusal): void;
  /** Sends the status and headers. */
  begin(head: AnswerHead): void;
  /** Sends a part of the body; resolves once the connection can take more data. */
  write(bytes: Buffer): Promise<void>;
  /** Completes the answer. */
  end(): void;
  /** Calls a listener once the caller has read the whole answer or its connection is closed. */
  subscribeToClose(listener: () => void): void;
  /** Closes the connection abnormally, so that the caller does not take the answer for complete. */
  abort(): void;
}

/** Why an answer of a server is discarded for want of memory. */
export const NO_MEMORY_REASON = 'there is no memory for more of the answer';

/** One call of a request to one backend server. */
export interface ServerCall {
  server: BackendServer;
  requestId: string;
  method: string;
  host: string;
  target: string;
  headers: HeaderList;
  body: Buffer;
  /** Workspace that the caller's API key belongs to. */
  workspace?: string;
  /** Time left until the deadline of the request, milliseconds; absent for batch items. */
  deadlineInMs?: number;
  /** Id of the event after which the server should resume a stream. */
  resumeAfter?: number;
  /** Timeout for the head of the answer, milliseconds; 0 for no timeout. */
  firstByteTimeoutMs: number;
  /** Maximum number of connections that this daemon keeps to the server. */
  maxConnections: number;
  /** Whether the call has a connection of its own: on others, a late copy of the answer to an earlier call of the request may arrive. */
  isOnNewConnection?: boolean;
  /** Until when a call that was sent to no server is tried on further ways to it, monotonic milliseconds; absent for no limit. */
  connectUntilMs?: number;
  /** Aborted to end the call and close its connection. */
  signal: AbortSignal;
}

/** Answer of a server that belongs to the request, and not to another one on the same connection. */
export interface ServerReply {
  kind: 'reply';
  head: AnswerHead;
  /** Whether the head carries the server's signature. */
  isSigned: boolean;
  /** Body of the answer; fails with a {@link BrokenBodyError} when it is cut short. */
  body: AsyncIterable<Buffer>;
  /** Whether a length or chunks show where the body ends; without them it ends with its connection, also when the server crashes. */
  isDelimited: boolean;
  /** Whether another daemon made the call. */
  isForwarded?: boolean;
  /** Discards the rest of the answer and closes its connection. */
  drop(): void;
}

/** Failed call: no answer arrived that belongs to the request. */
export interface CallFailure {
  kind: 'failure';
  outcome: CallOutcome;
  reason: string;
  /** Headers of the called server's answer, if it gave one that can't be used. */
  headers?: HeaderList;
}

/** Sends requests to backend servers. */
export interface ServerCaller {
  /** Sends one request exactly once, without retries. */
  call(call: ServerCall): Promise<ServerReply | CallFailure>;
  /** Connects to a server to check whether it accepts connections. */
  probe(server: BackendServer): Promise<boolean>;
  /** Opens new connections for later calls to a server; calls in progress keep theirs. */
  replaceConnections(server: BackendServer): void;
}

/** Thrown by the body of a {@link ServerReply} that is cut short. */
export class BrokenBodyError extends Error {
  /**
   * @param outcome - how the call ended
   * @param reason - description of the failure for the log
   * @param isInsideEvent - whether a stream was cut inside an event, so that its
   *     rest cannot be empty
   */
  constructor(
    readonly outcome: CallOutcome,
    reason: string,
    readonly isInsideEvent = false,
  ) {
    super(reason);
    this.name = 'BrokenBodyError';
  }
}

/** Thrown for a stream that ends without an event. */
export class EmptyStreamError extends BrokenBodyError {
  constructor() {
    super(CallOutcome.BROKEN, 'the stream ended without an event');
    this.name = 'EmptyStreamError';
  }
}
