/** Client of plain services. */
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
import {MatchedCaller, REQUEST_ID_HEADER} from './backend_caller.js';

/** Calls plain services over HTTP; the wire is in docs/INTERFACES.md. */
export class HttpServiceClient implements ServiceClient {
  /** Counts of answers that were not passed on. */
  readonly counters: CallCounters = createCallCounters();
  private readonly caller: MatchedCaller;

  /**
   * @param connections - connections to backend servers
   */
  constructor(connections: BackendConnections) {
    this.caller = new MatchedCaller(connections, this.counters);
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
    context: Parameters<MatchedCaller['complete']>[1],
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
        bounds: call.timeouts,
        signal: call.signal,
      },
      context,
    );
  }
}
