/** tRPC procedures of the rate limits that other daemons call. */
import {
  createInputParser,
  createPeerRouter,
  formatHostIncarnation,
  peerProcedure,
} from '@savoryspur/fleet';
import {
  type LoanAnswer,
  type LoanRequest,
  type TokenAnswer,
  type TokenRequest,
  validateLoanRequest,
  validateTokenRequest,
} from '@savoryspur/schema';

/** Handlers of the procedures; `caller` is `host:incarnation`. */
export interface LimitsHandlers {
  grantTokens: (caller: string, request: TokenRequest) => Promise<TokenAnswer>;
  lendShare: (caller: string, request: LoanRequest) => LoanAnswer;
}

/**
 * Creates the router of rate limits.
 *
 * @param handlers - handlers of the procedures
 */
export function createLimitsRouter(handlers: LimitsHandlers) {
  return createPeerRouter({
    acquire: peerProcedure
      .input(createInputParser(validateTokenRequest))
      .mutation(({ctx, input}) =>
        handlers.grantTokens(formatHostIncarnation(ctx.caller), input),
      ),
    borrow: peerProcedure
      .input(createInputParser(validateLoanRequest))
      .mutation(({ctx, input}) =>
        handlers.lendShare(formatHostIncarnation(ctx.caller), input),
      ),
  });
}

/** Type of the router of rate limits. */
export type LimitsRouter = ReturnType<typeof createLimitsRouter>;

/**
 * Creates a root router that contains only the rate limits.
 *
 * @param limits - router of rate limits
 */
export function createLimitsRootRouter(limits: LimitsRouter) {
  return createPeerRouter({limits});
}

/** Part of a daemon's root router through which daemons call rate limits. */
export type LimitsRootRouter = ReturnType<typeof createLimitsRootRouter>;
