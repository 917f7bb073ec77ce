/**
 * CPU time and memory of concurrency slots at a pool's owner. The printed fields
 * call a held slot a place.
 */
import type {Clock} from '@savoryspur/common';
import {SlotTrafficClass, SlotUsageEnd, type Pool} from '@savoryspur/schema';
import {measureCpu, measureHeap} from './measure.js';
import {type SimulatedFleet, startSimulation} from './routing_simulation.js';

/**
 * Number of grants in one measurement. The CPU time of the first {@link HELD_SLOTS}
 * grants is not measured.
 */
const GRANTS = 20_000;

/** Slots that stay held while the CPU time of grants is measured. */
const HELD_SLOTS = 100;

/** Time in which the owner takes over the pool's servers, milliseconds. */
const OWNER_TAKEOVER_MS = 200;

/** Cost of a grant and its release. */
export interface GrantCost {
  servers: number;
  cpuMicrosecondsPerGrant: number;
  /** Heap of the owner and the holder while no slot is held. */
  heapBytes: number;
  /** Heap of one held slot. */
  heapBytesPerPlace: number;
}

/**
 * Measures grants and releases at an owner.
 *
 * @param clock - clock of the simulation
 * @param pool - pool that the servers belong to
 * @param servers - number of servers in the pool
 */
export async function measureGrants(
  clock: Clock,
  pool: Pool,
  servers: number,
): Promise<GrantCost> {
  const {bytes, value: fleet} = await measureHeap(async () => {
    const started = startSimulation({clock, pool, servers, hasEngines: false});
    await clock.sleep(OWNER_TAKEOVER_MS);
    return started;
  });
  const held = await measureHeap(async () => {
    for (let i = 0; i < HELD_SLOTS; i++) await acquireSlot(fleet, pool, i);
  });
  const cpuSeconds = await measureCpu(async () => {
    for (let i = HELD_SLOTS; i < GRANTS; i++) {
      await acquireSlot(fleet, pool, i);
      releaseSlot(fleet, pool, i - HELD_SLOTS);
    }
  });
  await fleet.stop();
  return {
    servers,
    cpuMicrosecondsPerGrant: (cpuSeconds / (GRANTS - HELD_SLOTS)) * 1e6,
    heapBytes: bytes,
    heapBytesPerPlace: held.bytes / HELD_SLOTS,
  };
}

async function acquireSlot(
  fleet: SimulatedFleet,
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
  if (!answer.server) throw new Error(`slot refused: ${answer.reason}`);
}

function releaseSlot(fleet: SimulatedFleet, pool: Pool, index: number): void {
  fleet.owner.handleRelease(fleet.holderInfo, {
    releases: [
      {grantId: `g${index}`, pool: pool.name, end: SlotUsageEnd.COMPLETED},
    ],
  });
}
