/** Interfaces of the clients for model engines and plain services. */
import type {SavoryspurError} from '@savoryspur/common';
import type {ResultAsync} from 'neverthrow';

/** Timeouts of one call to a backend server, milliseconds. */
export interface BackendTimeouts {
  connectTimeoutMs: number;
  /** Longest wait for the head of the answer. */
  firstByteTimeoutMs: number;
  /** Longest time between two bytes of the body. */
  idleTimeoutMs: number;
}

/** One call to a model engine. */
export interface EngineCall {
  /** Base URL of the server. */
  serverUrl: string;
  /** `/v1/chat/completions` or `/v1/completions`. */
  path: string;
  /** Parsed request body of the caller. */
  body: Record<string, unknown>;
  /** Unique for each attempt; the engine echoes the id in every answer. */
  requestId: string;
  /** Aborts the call, which is then also cancelled at the engine. */
  signal: AbortSignal;
  timeouts: BackendTimeouts;
}

/** One event of a streamed answer. */
export interface EngineChunk {
  /** Position in the stream: counts from 0 without gaps. */
  sequence: number;
  /** Data of the event: JSON text without the `data:` prefix. */
  data: string;
}

/** An answer whose body was read to its end. */
export interface BufferedAnswer {
  statusCode: number;
  contentType: string;
  body: Buffer;
}

/**
 * Calls model engines. The code of an error tells whether the engine may have
 * run the request: with UNAVAILABLE no byte of the request left this host; with
 * any other code the engine may have received the request.
 */
export interface EngineClient {
  /** Makes a call and waits for the complete answer. */
  complete(call: EngineCall): ResultAsync<BufferedAnswer, SavoryspurError>;
  /**
   * Makes a streamed call. The stream is resumed on a new connection when its
   * connection fails.
   *
   * @returns a generator that ends normally only after the end-of-stream event
   *     of the engine
   * @throws SavoryspurError when the stream cannot be read to its end
   */
  stream(call: EngineCall): AsyncGenerator<EngineChunk, void, void>;
}

/** One call to a plain service. */
export interface ServiceCall {
  serverUrl: string;
  method: string;
  /** Path and query of the caller's request; the client removes keys. */
  path: string;
  headers: Record<string, string>;
  body: Buffer;
  requestId: string;
  signal: AbortSignal;
  timeouts: BackendTimeouts;
}

/** Calls plain services; the error codes are those of {@link EngineClient}. */
export interface ServiceClient {
  /** Makes one attempt, without retries, and waits for the complete answer. */
  call(call: ServiceCall): ResultAsync<BufferedAnswer, SavoryspurError>;
}
