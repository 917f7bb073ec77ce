/** tRPC link over a {@link PeerConnection}. */
import {TRPCClientError, type TRPCLink} from '@trpc/client';
import type {AnyRouter} from '@trpc/server';
import {observable} from '@trpc/server/observable';
import type {PeerConnection} from './peer_connection.js';

/**
 * Creates a link that sends each operation once, on one connection. The link
 * never retries: an operation fails when its answer is lost.
 *
 * @param connection - the connection that carries the calls
 */
export function createPeerLink<TRouter extends AnyRouter>(
  connection: PeerConnection,
): TRPCLink<TRouter> {
  return () =>
    ({op}) =>
      observable((observer) => {
        connection.request(op.type, op.path, op.input, op.signal).then(
          (answer) => {
            if (answer.error !== undefined) {
              observer.error(
                TRPCClientError.from({error: answer.error} as never),
              );
              return;
            }
            const data = answer.result?.data;
            observer.next({result: {type: 'data', data}} as never);
            observer.complete();
          },
          (thrown: Error) => observer.error(TRPCClientError.from(thrown)),
        );
      });
}
