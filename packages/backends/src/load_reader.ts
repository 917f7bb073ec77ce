/** Reads load reports and the health of backend servers. */
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

/** Reads the load that backend servers report. */
export interface LoadReader {
  /**
   * Reads the load of a server. A plain service reports only its health; the
   * load of a healthy one is zero.
   *
   * @param serverUrl - base URL of the server
   * @param kind - kind of backend server
   */
  read(
    serverUrl: string,
    kind: PoolKind,
  ): ResultAsync<EngineLoad, SavoryspurError>;
}

/** Load of a healthy plain service, which reports no load. */
const UNREPORTED_LOAD: EngineLoad = {running: 0, queued: 0, boot: 'unknown'};

/** Upper limit of the timeouts for reading a load report, milliseconds. */
const MAX_LOAD_TIMEOUT_MS = 1000;

/** Path from which the load is read, by kind of server. */
const LOAD_PATHS: Record<PoolKind, string> = {
  [PoolKind.ENGINE]: '/v1/load',
  [PoolKind.SERVICE]: '/health',
};

/** Parser of the load report, by kind of server. */
const LOAD_PARSERS: Record<PoolKind, (text: string) => unknown> = {
  [PoolKind.ENGINE]: (text) => JSON.parse(text) as unknown,
  [PoolKind.SERVICE]: () => UNREPORTED_LOAD,
};

/** Reads load reports over HTTP. */
export class HttpLoadReader implements LoadReader {
  private readonly timeouts: BackendTimeouts;

  /**
   * @param connections - connections to backend servers
   * @param timeouts - timeouts of one read; those for the first byte and
   *     between bytes are limited to one second
   */
  constructor(
    private readonly connections: BackendConnections,
    timeouts: BackendTimeouts,
  ) {
    this.timeouts = {
      connectTimeoutMs: timeouts.connectTimeoutMs,
      firstByteTimeoutMs: Math.min(
        timeouts.firstByteTimeoutMs,
        MAX_LOAD_TIMEOUT_MS,
      ),
      idleTimeoutMs: Math.min(timeouts.idleTimeoutMs, MAX_LOAD_TIMEOUT_MS),
    };
  }

  /** {@inheritDoc LoadReader.read} */
  read(
    serverUrl: string,
    kind: PoolKind,
  ): ResultAsync<EngineLoad, SavoryspurError> {
    const origin = {step: 'engine.load', peer: serverUrl};
    const signal = AbortSignal.timeout(
      this.timeouts.connectTimeoutMs + this.timeouts.firstByteTimeoutMs,
    );
    return ResultAsync.fromPromise(
      this.fetchLoad(serverUrl, kind, signal),
      (thrown) => {
        this.connections.dropPool(serverUrl);
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

  private async fetchLoad(
    serverUrl: string,
    kind: PoolKind,
    signal: AbortSignal,
  ): Promise<unknown> {
    const answer = await this.connections.send({
      serverUrl,
      method: 'GET',
      path: LOAD_PATHS[kind],
      headers: {},
      timeouts: this.timeouts,
      signal,
    });
    const text = await answer.body.text();
    if (answer.statusCode !== 200) {
      throw new Error(`status ${answer.statusCode}`);
    }
    return LOAD_PARSERS[kind](text);
  }
}
