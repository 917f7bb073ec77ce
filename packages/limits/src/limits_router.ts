/** Procedures of rate limits that other daemons call. */
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

/** What the procedures do; `caller` is a host and incarnation. */
export interface LimitsHandlers {
  grantTokens: (caller: string, request: TokenRequest) => Promise<TokenAnswer>;
  lendShare: (caller: string, request: LoanRequest) => LoanAnswer;
}

/**
 * Makes the router of rate limits.
 *
 * @param handlers - what the procedures do
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

/** Router of rate limits. */
export type LimitsRouter = ReturnType<typeof createLimitsRouter>;

/**
 * Makes a root router that holds only rate limits.
 *
 * @param limits - router of rate limits
 */
export function createLimitsRootRouter(limits: LimitsRouter) {
  return createPeerRouter({limits});
}

/** The part of a daemon's router that rate limits call; mounted as `limits`. */
export type LimitsRootRouter = ReturnType<typeof createLimitsRootRouter>;
