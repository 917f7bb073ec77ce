/**
 * Procedures that daemons call on each other. The procedures and messages for
 * concurrency slots call a slot a place, and preemptions yields.
 */
import {
  createProcedure,
  type Procedure,
  type ProcedureTable,
} from '@savoryspur/fleet';
import {
  type SlotAcquireAnswer,
  type RateAdmitAnswer,
  type RelayAnswer,
  validateProbeRequest,
  validateSlotAcquireRequest,
  validateSlotReleaseRequest,
  validateSlotSyncRequest,
  validateSlotWaitRequest,
  validateRateAdmitRequest,
  validateRateSyncRequest,
  validateRelayCall,
} from '@savoryspur/schema';
import type {Clock} from '@savoryspur/common';
import type {ForwardedCallHandler} from '../forwarding/forwarded_call_handler.js';
import type {RateClient} from '../limits/rate_client.js';
import type {MemoryBudget} from '../memory/memory_budget.js';
import {POOL_OWNER_FEATURES} from '../slots/call_times.js';
import {decodeSlotRequest} from '../slots/slot_request_codec.js';
import type {SlotClient} from '../slots/slot_client.js';
import type {FinalDecision} from '../slots/pool_types.js';
import {MAX_SYNC_PERIOD_MS} from './owner_session.js';
import {serveRelay} from '../store/relayed_store.js';
import type {BlobStore, RowStore} from '../store/row_store.js';

/** Paths of the procedures on the wire, which call a slot a place. */
export enum ProcedurePath {
  SYNC_SLOTS = 'places.sync',
  ACQUIRE_SLOT = 'places.acquire',
  WAIT_FOR_SLOT = 'places.wait',
  RELEASE_SLOT = 'places.release',
  SYNC_RATES = 'rates.sync',
  ADMIT_REQUEST = 'rates.admit',
  RELAY_STORE_CALL = 'store.relay',
  PROBE_SERVER = 'servers.probe',
}

/** Components that the procedures use. */
export interface ServingProcedureOptions {
  clock: Clock;
  /** Slots of this daemon, and the pools that it owns. */
  slots: SlotClient;
  rates: RateClient;
  /** The store as this daemon reaches it directly, without a relay. */
  store: RowStore & BlobStore;
  /** Memory budget of this daemon. */
  memory: MemoryBudget;
  /** Whether the store has answered this daemon recently. */
  isStoreReachedDirectly: () => boolean;
  /** Calls servers for other daemons. */
  forwardedCalls: ForwardedCallHandler;
  /** Aborted when the daemon stops. */
  signal: AbortSignal;
}

function createSlotProcedures({
  clock,
  slots,
}: ServingProcedureOptions): Array<[string, Procedure]> {
  return [
    [
      ProcedurePath.SYNC_SLOTS,
      createProcedure(validateSlotSyncRequest, async (input, caller) => ({
        yields: await slots
          .getPoolOwner(input.pool)
          .sync(
            caller.host,
            input.holdings,
            Math.min(input.waitMs, MAX_SYNC_PERIOD_MS),
          ),
        features: [...POOL_OWNER_FEATURES],
      })),
    ],
    [
      ProcedurePath.ACQUIRE_SLOT,
      createProcedure(
        validateSlotAcquireRequest,
        async (input, caller): Promise<SlotAcquireAnswer> => {
          const nowMs = clock.now();
          const owner = slots.getPoolOwner(input.pool);
          const decision = owner.acquire(
            decodeSlotRequest(input, caller, nowMs),
          );
          if (decision.kind !== 'queued') return encodeDecision(decision);
          // Batch items wait most of the time, and their daemons need not detect
          // quickly that the owner is unavailable, so the call waits for the decision.
          if (input.isBatch) return encodeDecision(await decision.decided);
          owner.keepDecision(input.grantId, decision.decided);
          return {isQueued: true, retryAfterMs: 0, reason: ''};
        },
      ),
    ],
    [
      ProcedurePath.WAIT_FOR_SLOT,
      createProcedure(
        validateSlotWaitRequest,
        async (input): Promise<SlotAcquireAnswer> => {
          const owner = slots.getPoolOwner(input.pool);
          const decision = await owner.findDecision(input.grantId);
          return encodeDecision(decision ?? UNKNOWN_GRANT);
        },
      ),
    ],
    [
      ProcedurePath.RELEASE_SLOT,
      createProcedure(validateSlotReleaseRequest, (input) => {
        slots
          .getPoolOwner(input.pool)
          .cancel(input.grantId, input.outcome, input.times);
      }),
    ],
  ];
}

/**
 * Creates the procedures of the serving path.
 *
 * @param options - components that the procedures use
 */
export function createServingProcedures(
  options: ServingProcedureOptions,
): ProcedureTable {
  const {clock, rates, store, memory, signal} = options;
  const {isStoreReachedDirectly, forwardedCalls} = options;
  return new Map([
    ...createSlotProcedures(options),
    [
      ProcedurePath.SYNC_RATES,
      createProcedure(validateRateSyncRequest, async (input, caller) => {
        const waitMs = Math.min(input.waitMs, MAX_SYNC_PERIOD_MS);
        rates.recordDelegation(caller.host, waitMs);
        await clock.sleep(waitMs, signal);
      }),
    ],
    [
      ProcedurePath.ADMIT_REQUEST,
      createProcedure(validateRateAdmitRequest, (input): RateAdmitAnswer =>
        rates.admitAsOwner(input.workspace),
      ),
    ],
    [
      ProcedurePath.RELAY_STORE_CALL,
      createProcedure(validateRelayCall, (input): Promise<RelayAnswer> =>
        serveRelay(store, input, signal, isStoreReachedDirectly(), memory),
      ),
    ],
    [
      ProcedurePath.PROBE_SERVER,
      createProcedure(validateProbeRequest, ({serverId}) =>
        forwardedCalls.probe(serverId),
      ),
    ],
  ]);
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
