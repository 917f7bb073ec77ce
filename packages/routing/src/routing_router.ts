/**
 * tRPC procedures of routing that other daemons call. Their messages call a
 * concurrency slot a place.
 */
import {
  createInputParser,
  createPeerRouter,
  peerProcedure,
} from '@savoryspur/fleet';
import {
  validateAcquireSlotInput,
  validateQuarantineRecord,
  validateRegisterSlotsInput,
  validateReleaseSlotsInput,
  validateRevokeSlotsInput,
  validateSuspectInput,
} from '@savoryspur/schema';
import type {RoutingEndpoint} from './routing_peers.js';

/**
 * Makes the tRPC router of routing.
 *
 * @param endpoint - handles the calls on this daemon
 */
export function createRoutingRouter(endpoint: RoutingEndpoint) {
  return createPeerRouter({
    acquire: peerProcedure
      .input(createInputParser(validateAcquireSlotInput))
      .mutation(({ctx, input}) => endpoint.handleAcquire(ctx.caller, input)),
    release: peerProcedure
      .input(createInputParser(validateReleaseSlotsInput))
      .mutation(({ctx, input}) => endpoint.handleRelease(ctx.caller, input)),
    revoke: peerProcedure
      .input(createInputParser(validateRevokeSlotsInput))
      .mutation(({ctx, input}) => endpoint.handleRevoke(ctx.caller, input)),
    register: peerProcedure
      .input(createInputParser(validateRegisterSlotsInput))
      .mutation(({ctx, input}) => endpoint.handleRegister(ctx.caller, input)),
    suspect: peerProcedure
      .input(createInputParser(validateSuspectInput))
      .mutation(({ctx, input}) => endpoint.handleSuspect(ctx.caller, input)),
    convict: peerProcedure
      .input(createInputParser(validateQuarantineRecord))
      .mutation(({ctx, input}) => endpoint.handleConvict(ctx.caller, input)),
  });
}

/** Type of the tRPC router of routing. */
export type RoutingRouter = ReturnType<typeof createRoutingRouter>;
