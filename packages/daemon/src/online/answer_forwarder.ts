/** Forwards the answers of model engines to callers. */
import type {EngineCall, EngineClient} from '@savoryspur/backends';
import {ErrorCode, SavoryspurError} from '@savoryspur/common';
import type {CallerRequest} from '../http/caller_request.js';
import type {DispatchRecord} from '../http/dispatch_record.js';
import {buildRefusalBody, type Refusal} from '../http/refusal.js';
import {writePart} from '../http/reply.js';
import type {TokenTimer} from './token_timer.js';

/** Request to which an answer is forwarded. */
export interface ForwardTarget {
  request: CallerRequest;
  record: DispatchRecord;
}

/** Request to which a streamed answer is forwarded. */
export interface StreamTarget extends ForwardTarget {
  /** Timers that record the arrival of each token. */
  tokenTimers: readonly TokenTimer[];
  /** Longest wait for a caller that reads nothing, milliseconds. */
  stallTimeoutMs: number;
}

/**
 * Forwards a stream. The caller gets `data: [DONE]` only when the engine's
 * stream was complete.
 *
 * @param engine - engine client
 * @param call - call to the engine
 * @param target - request of the caller
 * @throws SavoryspurError when the stream fails or the caller disconnects
 */
export async function forwardStream(
  engine: EngineClient,
  call: EngineCall,
  target: StreamTarget,
): Promise<void> {
  const {response} = target.request;
  for await (const chunk of engine.stream(call)) {
    for (const timer of target.tokenTimers) timer.record();
    if (!response.headersSent) startStream(target);
    await writePart(response, `data: ${chunk.data}\n\n`, target.stallTimeoutMs);
  }
  if (!response.headersSent) {
    throw new SavoryspurError(
      ErrorCode.BROKEN_ANSWER,
      {step: 'engine.stream', peer: call.serverUrl},
      'the stream ended without a token',
    );
  }
  response.end('data: [DONE]\n\n');
}

function startStream({request, record}: ForwardTarget): void {
  record.recordAnswer();
  request.response.writeHead(200, {
    'content-type': 'text/event-stream',
    'cache-control': 'no-cache',
    'x-request-id': request.requestId,
  });
}

/**
 * Forwards an answer that is not streamed. Its tokens arrive together, so no
 * token times are recorded.
 *
 * @param engine - engine client
 * @param call - call to the engine
 * @param target - request of the caller
 * @throws SavoryspurError when the engine gives no complete answer
 */
export async function forwardBuffered(
  engine: EngineClient,
  call: EngineCall,
  {request, record}: ForwardTarget,
): Promise<void> {
  const answer = await engine.complete(call);
  if (answer.isErr()) throw answer.error;
  record.recordAnswer();
  request.response.writeHead(answer.value.statusCode, {
    'content-type': answer.value.contentType,
    'content-length': String(answer.value.body.length),
    'x-request-id': request.requestId,
  });
  request.response.end(answer.value.body);
}

/**
 * Ends a stream that failed after it began: sends an error event and no
 * `data: [DONE]`.
 */
export function endBrokenStream(
  request: CallerRequest,
  refusal: Refusal,
  record: DispatchRecord,
): void {
  const body = buildRefusalBody(request.requestId, refusal, record);
  request.response.end(`data: ${JSON.stringify(body)}\n\n`);
}
