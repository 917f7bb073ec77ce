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
  type RateAdmitAnswer,
  type RelayAnswer,
  validateProbeRequest,
  validateSlotAcquireRequest,
  validatePoolHandOverRequest,
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
import type {SlotClient} from '../slots/slot_client.js';
import {MAX_SYNC_PERIOD_MS} from './owner_session.js';
import {serveRelay} from '../store/relayed_store.js';
import type {BlobStore, RowStore} from '../store/row_store.js';

/** Paths of the procedures on the wire, which call a slot a place. */
export enum ProcedurePath {
  SYNC_SLOTS = 'places.sync',
  ACQUIRE_SLOT = 'places.acquire',
  WAIT_FOR_SLOT = 'places.wait',
  RELEASE_SLOT = 'places.release',
  HAND_OVER_POOL = 'places.hand_over',
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
  slots,
}: ServingProcedureOptions): Array<[string, Procedure]> {
  const {poolCalls} = slots;
  return [
    [
      ProcedurePath.SYNC_SLOTS,
      createProcedure(validateSlotSyncRequest, (input, caller) => {
        const waitMs = Math.min(input.waitMs, MAX_SYNC_PERIOD_MS);
        return poolCalls.sync({...input, waitMs}, caller);
      }),
    ],
    [
      ProcedurePath.ACQUIRE_SLOT,
      createProcedure(validateSlotAcquireRequest, (input, caller) =>
        poolCalls.acquire(input, caller),
      ),
    ],
    [
      ProcedurePath.WAIT_FOR_SLOT,
      createProcedure(validateSlotWaitRequest, (input) =>
        poolCalls.wait(input),
      ),
    ],
    [
      ProcedurePath.RELEASE_SLOT,
      createProcedure(validateSlotReleaseRequest, (input, caller) =>
        poolCalls.release(input, caller),
      ),
    ],
    [
      ProcedurePath.HAND_OVER_POOL,
      createProcedure(validatePoolHandOverRequest, (input, caller) =>
        poolCalls.replaceOwner(input, caller),
      ),
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
