/** HTTP client for plain services. */
import {ErrorCode, SavoryspurError} from '@savoryspur/common';
import {ResultAsync} from 'neverthrow';
import {type CallCounters, createCallCounters} from './call_counters.js';
import type {BackendConnections} from './connections.js';
import type {
  ServiceCall,
  ServiceClient,
  BufferedAnswer,
} from './backend_clients.js';
import {
  removeKeyParameters,
  removeKeysFromBody,
  selectForwardedHeaders,
} from './key_filter.js';
import {BackendCaller, REQUEST_ID_HEADER} from './backend_caller.js';

/** Calls plain services over HTTP; docs/INTERFACES.md describes the protocol. */
export class HttpServiceClient implements ServiceClient {
  /** Counts of failed calls and of discarded answers. */
  readonly counters: CallCounters = createCallCounters();
  private readonly caller: BackendCaller;

  /**
   * @param connections - connections to backend servers
   */
  constructor(connections: BackendConnections) {
    this.caller = new BackendCaller(connections, this.counters);
  }

  /** {@inheritDoc ServiceClient.call} */
  call(call: ServiceCall): ResultAsync<BufferedAnswer, SavoryspurError> {
    const context = {
      origin: {step: 'service.call', peer: call.serverUrl},
      requestId: call.requestId,
      signal: call.signal,
    };
    return ResultAsync.fromPromise(this.send(call, context), (thrown) =>
      this.caller.handleFailure(thrown, call.serverUrl, context),
    );
  }

  private async send(
    call: ServiceCall,
    context: Parameters<BackendCaller['complete']>[1],
  ): Promise<BufferedAnswer> {
    if (call.signal.aborted) {
      throw new SavoryspurError(
        ErrorCode.CANCELLED,
        context.origin,
        'the call was cancelled before it was sent',
      );
    }
    const headers = selectForwardedHeaders(call.headers);
    const body = removeKeysFromBody(call.body, headers['content-type'] ?? '');
    return this.caller.complete(
      {
        serverUrl: call.serverUrl,
        method: call.method,
        path: removeKeyParameters(call.path),
        headers: {...headers, [REQUEST_ID_HEADER]: call.requestId},
        body: body.length > 0 ? body : undefined,
        timeouts: call.timeouts,
        signal: call.signal,
      },
      context,
    );
  }
}
