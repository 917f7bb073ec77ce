/** Writes answers to callers. */
import {ErrorCode, SavoryspurError} from '@savoryspur/common';
import type {ServerResponse} from 'node:http';

/** Sends a JSON body and ends the response. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: Record<string, string> = {},
): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(text)),
    ...headers,
  });
  response.end(text);
}

/**
 * Writes a part of an answer and waits until the caller has room for more.
 *
 * @param response - response whose headers were sent
 * @param part - bytes to write
 * @param stallTimeoutMs - longest wait for a caller that reads nothing,
 *     milliseconds
 * @throws SavoryspurError with code CANCELLED when the caller disconnected or
 *     stopped reading
 */
export async function writePart(
  response: ServerResponse,
  part: string | Buffer,
  stallTimeoutMs: number,
): Promise<void> {
  if (response.destroyed) throw createCallerDisconnectedError();
  if (response.write(part)) return;
  const isDrained = await waitForDrain(response, stallTimeoutMs);
  if (isDrained) return;
  response.destroy();
  throw createCallerDisconnectedError();
}

function waitForDrain(
  response: ServerResponse,
  stallTimeoutMs: number,
): Promise<boolean> {
  return new Promise((resolve) => {
    const finish = (isDrained: boolean): void => {
      clearTimeout(timer);
      response.off('drain', handleDrain);
      response.off('close', handleClose);
      resolve(isDrained);
    };
    const handleDrain = (): void => finish(true);
    const handleClose = (): void => finish(false);
    const timer = setTimeout(handleClose, stallTimeoutMs);
    response.once('drain', handleDrain);
    response.once('close', handleClose);
  });
}

function createCallerDisconnectedError(): SavoryspurError {
  return new SavoryspurError(
    ErrorCode.CANCELLED,
    {step: 'caller.write', peer: 'caller'},
    'the caller disconnected or stopped reading the answer',
  );
}
