/**
 * Procedures that daemons call on each other. The procedures and messages for
 * concurrency slots call a slot a place, and preemptions yields.
 */
import {
  createInputParser,
  createPeerRouter,
  peerProcedure,
} from '@savoryspur/fleet';
import {
  type SlotAcquireAnswer,
  type RateAdmitAnswer,
  type RelayAnswer,
  validateSlotAcquireRequest,
  validateSlotReleaseRequest,
  validateSlotSyncRequest,
  validateSlotWaitRequest,
  validateRateAdmitRequest,
  validateRateSyncRequest,
  validateRelayCall,
} from '@savoryspur/schema';
import type {Clock} from '@savoryspur/common';
import type {RateClient} from '../limits/rate_client.js';
import type {SlotClient} from '../slots/slot_client.js';
import type {FinalDecision} from '../slots/slot_pool.js';
import {serveRelay} from '../store/relayed_store.js';
import type {BlobStore, RowStore} from '../store/row_store.js';

/** Maximum length of a long poll, milliseconds. */
const MAX_LONG_POLL_MS = 1000;

/** Components that the procedures use. */
export interface ServingRouterOptions {
  clock: Clock;
  /** Slots of this daemon, and the pools that it owns. */
  slots: SlotClient;
  rates: RateClient;
  /** The store as this daemon reaches it directly, without a relay. */
  store: RowStore & BlobStore;
  /** Whether the store has answered this daemon recently. */
  isStoreReachedDirectly: () => boolean;
  /** Aborted when the daemon stops. */
  signal: AbortSignal;
}

function createSlotsRouter({clock, slots}: ServingRouterOptions) {
  return createPeerRouter({
    sync: peerProcedure
      .input(createInputParser(validateSlotSyncRequest))
      .mutation(async ({input, ctx}) => ({
        yields: await slots
          .getPoolOwner(input.pool)
          .sync(
            ctx.caller.host,
            input.holdings,
            Math.min(input.waitMs, MAX_LONG_POLL_MS),
          ),
      })),
    acquire: peerProcedure
      .input(createInputParser(validateSlotAcquireRequest))
      .mutation(async ({input, ctx}): Promise<SlotAcquireAnswer> => {
        const nowMs = clock.now();
        const owner = slots.getPoolOwner(input.pool);
        const decision = owner.acquire({
          grantId: input.grantId,
          holder: ctx.caller.host,
          zone: ctx.caller.zone,
          isBatch: input.isBatch,
          workspace: input.workspace,
          priority: input.priority,
          dueMs: nowMs + input.dueInMs,
          fastRefusalUntilMs: nowMs + input.refuseInMs,
          waitDeadlineMs: nowMs + input.giveUpInMs,
          prefix: input.prefix,
          excluded: input.excluded,
          unreachableZones: input.avoidedZones,
        });
        if (decision.kind !== 'queued') return encodeDecision(decision);
        // Batch items wait most of the time, and their daemons need not detect
        // quickly that the owner is unavailable, so the call waits for the decision.
        if (input.isBatch) return encodeDecision(await decision.decided);
        owner.keepDecision(input.grantId, decision.decided);
        return {isQueued: true, retryAfterMs: 0, reason: ''};
      }),
    wait: peerProcedure
      .input(createInputParser(validateSlotWaitRequest))
      .mutation(async ({input}): Promise<SlotAcquireAnswer> => {
        const owner = slots.getPoolOwner(input.pool);
        const decision = await owner.findDecision(input.grantId);
        return encodeDecision(decision ?? UNKNOWN_GRANT);
      }),
    release: peerProcedure
      .input(createInputParser(validateSlotReleaseRequest))
      .mutation(({input}) => {
        slots.getPoolOwner(input.pool).cancel(input.grantId, input.outcome);
      }),
  });
}

/**
 * Creates the router of the serving path.
 *
 * @param options - components that the procedures use
 */
export function createServingRouter(options: ServingRouterOptions) {
  const {clock, rates, store, signal, isStoreReachedDirectly} = options;
  return createPeerRouter({
    places: createSlotsRouter(options),
    rates: createPeerRouter({
      sync: peerProcedure
        .input(createInputParser(validateRateSyncRequest))
        .mutation(async ({input, ctx}) => {
          rates.recordDelegation(ctx.caller.host);
          await clock.sleep(Math.min(input.waitMs, MAX_LONG_POLL_MS));
        }),
      admit: peerProcedure
        .input(createInputParser(validateRateAdmitRequest))
        .mutation(({input}): RateAdmitAnswer =>
          rates.admitAsOwner(input.workspace),
        ),
    }),
    store: createPeerRouter({
      relay: peerProcedure
        .input(createInputParser(validateRelayCall))
        .mutation(({input}): Promise<RelayAnswer> =>
          serveRelay(store, input, signal, isStoreReachedDirectly()),
        ),
    }),
  });
}

/** Decision on a grant that this daemon does not know, such as after a restart. */
const UNKNOWN_GRANT: FinalDecision = {
  kind: 'refused',
  reason: 'the owner of the pool does not know the grant',
  retryAfterMs: 0,
};

function encodeDecision(decision: FinalDecision): SlotAcquireAnswer {
  if (decision.kind === 'granted') {
    const {serverId} = decision;
    return {serverId, isQueued: false, retryAfterMs: 0, reason: ''};
  }
  const {reason, retryAfterMs} = decision;
  return {isQueued: false, retryAfterMs: Math.max(0, retryAfterMs), reason};
}

/** Type of the router, for typed clients. */
export type ServingRouter = ReturnType<typeof createServingRouter>;
