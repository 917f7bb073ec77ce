/** Reads load reports and health of backend servers. */
import {ErrorCode, SavoryspurError} from '@savoryspur/common';
import {
  type EngineLoad,
  formatFieldError,
  PoolKind,
  validateEngineLoad,
} from '@savoryspur/schema';
import {err, ok, ResultAsync} from 'neverthrow';
import {toBackendError} from './backend_errors.js';
import type {BackendConnections} from './connections.js';
import type {BackendTimeouts} from './backend_clients.js';

/** Reads what a backend server says of itself. */
export interface LoadReader {
  /**
   * Reads the load of a server; a plain service reports only its health.
   *
   * @param serverUrl - base URL of the server
   * @param kind - kind of backend server
   */
  read(
    serverUrl: string,
    kind: PoolKind,
  ): ResultAsync<EngineLoad, SavoryspurError>;
}

/** Load of a healthy server that gives no report. */
const UNREPORTED_LOAD: EngineLoad = {running: 0, queued: 0, boot: 'unknown'};

/** Longest wait for a load report, milliseconds. */
const MAX_READ_MS = 1000;

/** Paths that are read, by kind of server. */
const PATHS: Record<PoolKind, string> = {
  [PoolKind.ENGINE]: '/v1/load',
  [PoolKind.SERVICE]: '/health',
};

/** Parses a load report, by kind of server. */
const PARSERS: Record<PoolKind, (text: string) => unknown> = {
  [PoolKind.ENGINE]: (text) => JSON.parse(text) as unknown,
  [PoolKind.SERVICE]: () => UNREPORTED_LOAD,
};

/** Reads load reports over HTTP. */
export class HttpLoadReader implements LoadReader {
  private readonly bounds: BackendTimeouts;

  /**
   * @param connections - connections to backend servers
   * @param bounds - bounds on one read, each at most a second
   */
  constructor(
    private readonly connections: BackendConnections,
    bounds: BackendTimeouts,
  ) {
    this.bounds = {
      connectTimeoutMs: bounds.connectTimeoutMs,
      firstByteTimeoutMs: Math.min(bounds.firstByteTimeoutMs, MAX_READ_MS),
      idleTimeoutMs: Math.min(bounds.idleTimeoutMs, MAX_READ_MS),
    };
  }

  /** {@inheritDoc LoadReader.read} */
  read(
    serverUrl: string,
    kind: PoolKind,
  ): ResultAsync<EngineLoad, SavoryspurError> {
    const origin = {step: 'engine.load', peer: serverUrl};
    const signal = AbortSignal.timeout(
      this.bounds.connectTimeoutMs + this.bounds.firstByteTimeoutMs,
    );
    return ResultAsync.fromPromise(
      this.fetch(serverUrl, kind, signal),
      (thrown) => {
        this.connections.drop(serverUrl);
        return toBackendError(thrown, origin, new AbortController().signal);
      },
    ).andThen((value) =>
      validateEngineLoad(value).match(
        (load) => ok(load),
        (error) =>
          err(
            new SavoryspurError(
              ErrorCode.BROKEN_ANSWER,
              origin,
              formatFieldError(error),
            ),
          ),
      ),
    );
  }

  private async fetch(
    serverUrl: string,
    kind: PoolKind,
    signal: AbortSignal,
  ): Promise<unknown> {
    const answer = await this.connections.send({
      serverUrl,
      method: 'GET',
      path: PATHS[kind],
      headers: {},
      bounds: this.bounds,
      signal,
    });
    const text = await answer.body.text();
    if (answer.statusCode !== 200) {
      throw new Error(`status ${answer.statusCode}`);
    }
    return PARSERS[kind](text);
  }
}
