/** tRPC procedures by which daemons exchange the configuration. */
import {
  createInputParser,
  createPeerRouter,
  peerProcedure,
} from '@savoryspur/fleet';
import {
  type ConfigFetch,
  type ConfigFetchAnswer,
  type ConfigPush,
  type ConfigPushAnswer,
  type PeerInfo,
  validateConfigFetch,
  validateConfigPush,
} from '@savoryspur/schema';

/** Answers the configuration calls of other daemons. */
export interface ConfigPeerService {
  /**
   * Puts a version of another daemon in force, or starts to fetch the version
   * when the pushed changes do not suffice.
   *
   * @returns the version that was in force before the push; 0 for another
   *     environment
   */
  handlePush(push: ConfigPush, caller: PeerInfo): ConfigPushAnswer;
  /** Returns the changes that another daemon lacks, or a snapshot. */
  handleFetch(fetch: ConfigFetch): ConfigFetchAnswer;
}

/** The part of the typed tRPC client that calls these procedures. */
export interface ConfigPeerClient {
  config: {
    push: {
      mutate(
        push: ConfigPush,
        options: {signal: AbortSignal},
      ): Promise<ConfigPushAnswer>;
    };
    fetch: {
      query(
        fetch: ConfigFetch,
        options: {signal: AbortSignal},
      ): Promise<ConfigFetchAnswer>;
    };
  };
}

/**
 * Creates the router that is mounted as `config`.
 *
 * @param service - answers the calls
 */
export function createConfigRouter(service: ConfigPeerService) {
  return createPeerRouter({
    push: peerProcedure
      .input(createInputParser(validateConfigPush))
      .mutation(({input, ctx}) => service.handlePush(input, ctx.caller)),
    fetch: peerProcedure
      .input(createInputParser(validateConfigFetch))
      .query(({input}) => service.handleFetch(input)),
  });
}

/** Type of the router that is mounted as `config`. */
export type ConfigRouter = ReturnType<typeof createConfigRouter>;
