/** Connections with a time limit. */
import type net from 'node:net';
import {Timeout} from './timeout.js';

/** Thrown when a connection can't be established, so that nothing was sent on it. */
export class ConnectFailedError extends Error {}

/**
 * Connects a socket.
 *
 * @param socket - socket that is not connected yet; it is destroyed after a failure
 * @param target - host and port to connect to
 * @param timeoutMs - time limit, milliseconds
 * @returns the socket; rejects with {@link ConnectFailedError}
 */
export function connectSocket<TSocket extends net.Socket>(
  socket: TSocket,
  target: {host: string; port: number},
  timeoutMs: number,
): Promise<TSocket> {
  return new Promise((resolve, reject) => {
    const finish = (failure?: string): void => {
      timeout.cancel();
      socket.removeAllListeners('error');
      socket.removeAllListeners('connect');
      // An error before the owner of the socket listens must not end the process.
      socket.on('error', () => undefined);
      if (failure === undefined) return resolve(socket);
      socket.destroy();
      reject(new ConnectFailedError(failure));
    };
    const timeout = new Timeout(timeoutMs, () =>
      finish(`no connection within ${timeoutMs} ms`),
    );
    socket.once('connect', () => finish());
    socket.once('error', (error) => finish(error.message));
    try {
      socket.connect(target);
    } catch (thrown) {
      // The port is out of range.
      finish((thrown as Error).message);
    }
  });
}
