/** Sends streamed answers of the engine, with the faults that affect them. */
import type {ServerResponse} from 'node:http';
import type {Clock} from '@savoryspur/common';
import {EngineFaultKind, type FaultPlan} from './engine_faults.js';
import {END_MARKER, type EngineStream, StreamEnd} from './engine_stream.js';

/** How one streamed answer is sent. */
export interface StreamDelivery {
  /** Id of the last event that the reader already has; -1 for none. */
  lastEventId: number;
  /** Faults that affect the answer. */
  plan: FaultPlan;
  /** Answer to another request, whose event the crossed-event fault sends. */
  otherStream: EngineStream;
}

/**
 * Sends the events of a stream as they are generated.
 *
 * @param response - response whose headers are not yet sent
 * @param stream - answer to send
 * @param delivery - first event and faults
 * @param clock - clock that delays a late answer
 */
export async function sendEvents(
  response: ServerResponse,
  stream: EngineStream,
  delivery: StreamDelivery,
  clock: Clock,
): Promise<void> {
  const {kinds, lateMs, afterEvents} = delivery.plan;
  if (kinds.has(EngineFaultKind.LATE)) await clock.sleep(lateMs);
  let next = delivery.lastEventId + 1;
  while (await waitForEvent(stream, next)) {
    if (response.destroyed) return;
    if (!response.headersSent) writeStreamHeaders(response, stream.requestId);
    const isInterruptible =
      next >= afterEvents || stream.events[next] === END_MARKER;
    if (isInterruptible && abortAnswer(response, delivery.plan)) return;
    response.write(renderEvent(next, chooseData(stream, next, delivery)));
    if (kinds.has(EngineFaultKind.DUPLICATED)) {
      response.write(renderEvent(next, stream.events[next]!));
    }
    next += 1;
  }
  if (stream.end === StreamEnd.COMPLETED) response.end();
  else response.destroy();
}

/**
 * Interrupts an answer in the middle if one of its faults demands it.
 *
 * @returns whether a fault interrupted the answer, so that no more of it may be
 *     sent
 */
export function abortAnswer(
  response: ServerResponse,
  plan: FaultPlan,
): boolean {
  if (plan.kinds.has(EngineFaultKind.STALLED)) return true;
  if (plan.kinds.has(EngineFaultKind.RESET)) {
    response.socket?.resetAndDestroy();
    return true;
  }
  if (!plan.kinds.has(EngineFaultKind.TRUNCATED)) return false;
  response.end();
  return true;
}

async function waitForEvent(
  stream: EngineStream,
  next: number,
): Promise<boolean> {
  while (next >= stream.events.length) {
    if (stream.end !== undefined) return false;
    await stream.waitForChange();
  }
  return true;
}

function writeStreamHeaders(response: ServerResponse, requestId: string): void {
  response.writeHead(200, {
    'content-type': 'text/event-stream',
    'cache-control': 'no-cache',
    'x-request-id': requestId,
  });
}

function chooseData(
  stream: EngineStream,
  next: number,
  delivery: StreamDelivery,
): string {
  const ownData = stream.events[next]!;
  if (next !== delivery.plan.afterEvents) return ownData;
  if (!delivery.plan.kinds.has(EngineFaultKind.CROSSED_EVENT)) return ownData;
  return delivery.otherStream.events[0] ?? ownData;
}

function renderEvent(id: number, data: string): string {
  return `id: ${id}\ndata: ${data}\n\n`;
}
