/** Online requests, answers and calls to servers, free of any wire. */
import type {CallOutcome} from '@savoryspur/schema';
import type {BackendServer} from '../service_registry.js';

/** Header names and values in turn, as they were received. */
export type HeaderList = string[];

/** Request of a caller with its whole body. */
export interface OnlineRequest {
  requestId: string;
  method: string;
  host: string;
  /** Path without query. */
  path: string;
  /** Path with query. */
  target: string;
  apiKey?: string;
  /** Headers that go to the server unchanged. */
  headers: HeaderList;
  body: Buffer;
  /** Arrival, monotonic milliseconds. */
  arrivedMs: number;
  /** When the caller stops waiting, monotonic milliseconds. */
  deadlineMs: number;
  /** Event after which the caller wants a stream resumed. */
  resumeAfter?: number;
  /** Ids of the shared prompt parts, in order. */
  prefix: string[];
  /** Aborted when the caller has left. */
  signal: AbortSignal;
}

/** Status and headers of an answer. */
export interface AnswerHead {
  statusCode: number;
  headers: HeaderList;
}

/** Why this daemon answers a request itself. */
export enum RefusalCode {
  /** No environment is known yet. */
  NOT_READY = 'not_ready',
  NO_ROUTE = 'no_route',
  BAD_REQUEST = 'bad_request',
  UNKNOWN_KEY = 'unknown_key',
  OVER_RATE = 'over_rate',
  /** The request did not run and does not. */
  NOT_RUN = 'not_run',
  QUARANTINED = 'quarantined',
  /** The request may have run and has no usable answer. */
  BROKEN = 'broken',
  /** The time of the request is over; it may have run. */
  TIMED_OUT = 'timed_out',
}

/** An answer of this daemon's own. */
export interface Refusal {
  code: RefusalCode;
  message: string;
  /** When the caller should come back, milliseconds. */
  retryAfterMs?: number;
}

/** Sends the answer to a caller. */
export interface AnswerWriter {
  /** Whether the head was sent. */
  readonly hasBegun: boolean;
  /** Answers with a refusal; only before the head. */
  refuse(refusal: Refusal): void;
  /** Sends the head. */
  begin(head: AnswerHead): void;
  /** Sends a part of the body; resolves once the caller can take more. */
  write(bytes: Buffer): Promise<void>;
  /** Ends the answer as complete. */
  end(): void;
  /** Breaks the connection, so that the answer does not look complete. */
  abort(): void;
}

/** Request to one backend server. */
export interface ServerCall {
  server: BackendServer;
  requestId: string;
  method: string;
  host: string;
  target: string;
  headers: HeaderList;
  body: Buffer;
  /** Workspace whose key the caller showed. */
  workspace?: string;
  /** Time left for the request, milliseconds; absent for batch items. */
  deadlineInMs?: number;
  resumeAfter?: number;
  /** Longest silence before the head of the answer, milliseconds; 0 for no bound. */
  firstByteMs: number;
  /** Longest silence within the body, milliseconds; 0 for no bound. */
  pauseMs: number;
  maxConnections: number;
  /** Ends the call and drops its connection. */
  signal: AbortSignal;
}

/** Answer of a server that belongs to the request. */
export interface ServerReply {
  kind: 'reply';
  head: AnswerHead;
  /** Whether the head carries the server's signature. */
  isSigned: boolean;
  /** Fails with a {@link BrokenBodyError} when it breaks off. */
  body: AsyncIterable<Buffer>;
  /** Gives the rest of the answer up with its connection. */
  drop(): void;
}

/** Call without an answer that belongs to the request. */
export interface CallFailure {
  kind: 'failure';
  outcome: CallOutcome;
  reason: string;
}

/** Sends requests to backend servers. */
export interface ServerCaller {
  /** Sends one request once; never sends it again by itself. */
  call(call: ServerCall): Promise<ServerReply | CallFailure>;
  /** Finds out whether a server still accepts connections. */
  probe(server: BackendServer): Promise<boolean>;
  /** Uses new connections for later calls to a server; calls in progress go on. */
  replaceConnections(server: BackendServer): void;
}

/** Thrown by the body of a {@link ServerReply} that breaks off. */
export class BrokenBodyError extends Error {
  /**
   * @param outcome - how the call ended
   * @param reason - what was seen
   */
  constructor(
    readonly outcome: CallOutcome,
    reason: string,
  ) {
    super(reason);
    this.name = 'BrokenBodyError';
  }
}
