/** tRPC building blocks of the calls between daemons. */
import {
  type FieldError,
  formatFieldError,
  type PeerInfo,
} from '@savoryspur/schema';
import {initTRPC, TRPCError} from '@trpc/server';
import type {Result} from 'neverthrow';

/** Context of a procedure call. */
export interface PeerContext {
  /** Daemon that calls; its identity is verified. */
  caller: PeerInfo;
}

const trpc = initTRPC.context<PeerContext>().create();

/** Creates a router; each package defines the router of its procedures. */
export const createPeerRouter = trpc.router;

/** Procedure that only authenticated daemons can call. */
export const peerProcedure = trpc.procedure;

/**
 * Creates the input parser of a procedure from a generated validator.
 *
 * @param validate - validator of `@savoryspur/schema`
 * @returns a parser that throws BAD_REQUEST naming the field
 */
export function createInputParser<T>(
  validate: (value: unknown) => Result<T, FieldError>,
): (value: unknown) => T {
  return (value) => {
    const result = validate(value);
    if (result.isOk()) return result.value;
    throw new TRPCError({
      code: 'BAD_REQUEST',
      message: formatFieldError(result.error),
    });
  };
}
