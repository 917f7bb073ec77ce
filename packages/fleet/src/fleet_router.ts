/** tRPC procedures of membership that other daemons call. */
import {
  type HeartbeatAnswer,
  type HeartbeatRequest,
  type PeerInfo,
  type ReleaseRequest,
  validateHeartbeatRequest,
  validateReleaseRequest,
} from '@savoryspur/schema';
import {createInputParser, createPeerRouter, peerProcedure} from './trpc.js';

/** Handlers of the procedures. */
export interface FleetHandlers {
  answerHeartbeat: (
    caller: PeerInfo,
    request: HeartbeatRequest,
  ) => HeartbeatAnswer;
  handleLeave: (caller: PeerInfo) => Promise<void>;
  handleRelease: (caller: PeerInfo, request: ReleaseRequest) => void;
  handleSlotsReleased: () => void;
}

/**
 * Creates the router of membership.
 *
 * @param handlers - handlers of the procedures
 */
export function createFleetRouter(handlers: FleetHandlers) {
  return createPeerRouter({
    heartbeat: peerProcedure
      .input(createInputParser(validateHeartbeatRequest))
      .mutation(({ctx, input}) => handlers.answerHeartbeat(ctx.caller, input)),
    leave: peerProcedure.mutation(async ({ctx}) => {
      await handlers.handleLeave(ctx.caller);
      return null;
    }),
    release: peerProcedure
      .input(createInputParser(validateReleaseRequest))
      .mutation(({ctx, input}) => {
        handlers.handleRelease(ctx.caller, input);
        return null;
      }),
    slotsReleased: peerProcedure.mutation(() => {
      handlers.handleSlotsReleased();
      return null;
    }),
  });
}

/** Type of the router of membership. */
export type FleetRouter = ReturnType<typeof createFleetRouter>;

/** Part of a daemon's root router through which daemons call membership. */
export type FleetRootRouter = ReturnType<typeof createFleetRootRouter>;

/**
 * Creates a root router that contains only membership.
 *
 * @param fleet - router of membership
 */
export function createFleetRootRouter(fleet: FleetRouter) {
  return createPeerRouter({fleet});
}
