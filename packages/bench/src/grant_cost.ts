/** Processor time and memory of places at the owner of a pool. */
import type {Clock} from '@savoryspur/common';
import {SlotTrafficClass, SlotUsageEnd, type Pool} from '@savoryspur/schema';
import {measureCpu, measureHeap} from './measure.js';
import {type ModelFleet, startModel} from './routing_model.js';

/** Grants in one measurement of processor time. */
const GRANTS = 20_000;

/** Places in use while grants are measured. */
const HELD_PLACES = 100;

/** Time for the owner to take its servers over, milliseconds. */
const SETTLE_MS = 200;

/** What a grant with its release costs. */
export interface GrantCost {
  servers: number;
  cpuMicrosecondsPerGrant: number;
  /** Heap of the owner and its peer, with no place held. */
  heapBytes: number;
  /** Heap of one held place. */
  heapBytesPerPlace: number;
}

/**
 * Measures grants and releases at an owner.
 *
 * @param clock - time of the model
 * @param pool - pool of the servers
 * @param servers - servers in the pool
 */
export async function measureGrants(
  clock: Clock,
  pool: Pool,
  servers: number,
): Promise<GrantCost> {
  const {bytes, value: fleet} = await measureHeap(async () => {
    const started = startModel({clock, pool, servers, hasEngines: false});
    await clock.sleep(SETTLE_MS);
    return started;
  });
  const held = await measureHeap(async () => {
    for (let i = 0; i < HELD_PLACES; i++) await grantPlace(fleet, pool, i);
  });
  const cpu = await measureCpu(async () => {
    for (let i = HELD_PLACES; i < GRANTS; i++) {
      await grantPlace(fleet, pool, i);
      releasePlace(fleet, pool, i - HELD_PLACES);
    }
  });
  await fleet.stop();
  return {
    servers,
    cpuMicrosecondsPerGrant: (cpu / (GRANTS - HELD_PLACES)) * 1e6,
    heapBytes: bytes,
    heapBytesPerPlace: held.bytes / HELD_PLACES,
  };
}

async function grantPlace(
  fleet: ModelFleet,
  pool: Pool,
  index: number,
): Promise<void> {
  const answer = await fleet.owner.handleAcquire(fleet.holderInfo, {
    grantId: `g${index}`,
    pool: pool.name,
    workspace: `w${index % 4}`,
    trafficClass: SlotTrafficClass.ONLINE,
    prefixHash: `p${index % 50}`,
    fingerprint: `f${index}`,
    waitMs: 0,
    excludedServers: [],
    isSuspect: false,
  });
  if (!answer.server) throw new Error(`refused: ${answer.reason}`);
}

function releasePlace(fleet: ModelFleet, pool: Pool, index: number): void {
  fleet.owner.handleRelease(fleet.holderInfo, {
    releases: [
      {grantId: `g${index}`, pool: pool.name, end: SlotUsageEnd.COMPLETED},
    ],
  });
}
