/** Backend server that answers at once, for the measurements of forwarded calls. */
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';

/** Id of the server. */
export const SERVER_ID = 'server-0001';

/** Size of the body of a request, bytes. */
export const REQUEST_BYTES = 600;

/** Size of a complete answer, bytes. */
export const ANSWER_BYTES = 800;

/** Size of an event of a stream, bytes. */
export const EVENT_BYTES = 70;

/** Path of a complete answer. */
export const WHOLE_PATH = '/whole';

/** Time between two events of a stream that doesn't end, milliseconds: hosts suspect a server that is silent for 400 ms. */
const OPEN_STREAM_INTERVAL_MS = 200;

/** Path of a stream that doesn't end. */
export const OPEN_STREAM_PATH = '/open';

/** Length of the signature of an answer. */
const SIGNATURE_LENGTH = 64;

const ANSWER = Buffer.alloc(ANSWER_BYTES, 'a');
const EVENT = Buffer.from(`data: ${'e'.repeat(EVENT_BYTES - 8)}\n\n`);

/**
 * Formats the path of a stream.
 *
 * @param events - number of events
 * @param intervalMs - time between two events, milliseconds
 */
export function formatStreamPath(events: number, intervalMs: number): string {
  return `/stream/${events}/${intervalMs}`;
}

/**
 * Starts the server on loopback.
 *
 * @returns the port that was bound
 */
export async function startServer(): Promise<number> {
  const server = http.createServer((request, response) => {
    request.on('end', () => void answer(request, response)).resume();
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return (server.address() as AddressInfo).port;
}

async function answer(
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const headers = {
    'X-Attempt-Id': request.headers['x-attempt-id'] ?? '',
    'X-Response-Signature': 's'.repeat(SIGNATURE_LENGTH),
  };
  const [, kind, events, intervalMs] = (request.url ?? '').split('/');
  if (`/${kind}` === WHOLE_PATH) {
    response
      .writeHead(200, {...headers, 'Content-Length': ANSWER_BYTES})
      .end(ANSWER);
    return;
  }
  response.writeHead(200, {...headers, 'Content-Type': 'text/event-stream'});
  response.write(EVENT);
  if (`/${kind}` === OPEN_STREAM_PATH) {
    const timer = setInterval(
      () => response.write(EVENT),
      OPEN_STREAM_INTERVAL_MS,
    );
    response.once('close', () => clearInterval(timer));
    return;
  }
  for (let sent = 1; sent < Number(events); sent++) {
    await pause(Number(intervalMs));
    response.write(EVENT);
  }
  response.end();
}
