/** What the daemon sees of backend servers. */
import type {SavoryspurError} from '@savoryspur/common';
import type {ResultAsync} from 'neverthrow';

/** Bounds on one call of a backend server, milliseconds. */
export interface BackendTimeouts {
  connectTimeoutMs: number;
  firstByteTimeoutMs: number;
  idleTimeoutMs: number;
}

/** One call of a model engine. */
export interface EngineCall {
  /** Base URL of the server. */
  serverUrl: string;
  /** `/v1/chat/completions` or `/v1/completions`. */
  path: string;
  /** Request body as the caller sent it, parsed. */
  body: Record<string, unknown>;
  /** Unique for each attempt; the engine repeats it in every answer. */
  requestId: string;
  /** Cancels the call at the engine too. */
  signal: AbortSignal;
  timeouts: BackendTimeouts;
}

/** One event of a streamed answer. */
export interface EngineChunk {
  /** Position in the stream, from 0 without gaps. */
  sequence: number;
  /** Data of the event: JSON text without the `data:` prefix. */
  data: string;
}

/** A whole answer. */
export interface BufferedAnswer {
  statusCode: number;
  contentType: string;
  body: Buffer;
}

/**
 * Calls model engines. Errors tell whether the request may have run: with code
 * UNAVAILABLE nothing left this host, with any other code it may have.
 */
export interface EngineClient {
  /** Makes a call and waits for its whole answer. */
  complete(call: EngineCall): ResultAsync<BufferedAnswer, SavoryspurError>;
  /**
   * Makes a streamed call. The stream is resumed when its connection breaks; it
   * ends normally only after the engine's end mark, and throws a
   * SavoryspurError otherwise.
   */
  stream(call: EngineCall): AsyncGenerator<EngineChunk, void, void>;
}

/** One call of a plain service. */
export interface ServiceCall {
  serverUrl: string;
  method: string;
  /** Path and query as the caller sent them, without any key. */
  path: string;
  headers: Record<string, string>;
  body: Buffer;
  requestId: string;
  signal: AbortSignal;
  timeouts: BackendTimeouts;
}

/** Calls plain services; errors as for {@link EngineClient}. */
export interface ServiceClient {
  /** Makes one attempt and waits for the whole answer. */
  call(call: ServiceCall): ResultAsync<BufferedAnswer, SavoryspurError>;
}
