/** CPU time and memory of a pool's owner, by number of servers. */
import {SystemClock} from '@savoryspur/common';
import {PoolKind} from '@savoryspur/schema';
import {type GrantCost, measureGrants} from './grant_cost.js';
import {computeLine} from './least_squares.js';
import type {SlopeSection} from './slope_section.js';

/** Numbers of servers that a pool has in one zone; 28 at the design size. */
const SERVER_COUNTS = [14, 28, 112, 448];

/** Measures a pool's owner with several numbers of servers. */
export async function measureRouting(): Promise<SlopeSection> {
  const clock = new SystemClock();
  const pool = {
    name: 'assistant',
    kind: PoolKind.ENGINE,
    warmCapacity: 16,
    coldCapacity: 16,
    warmupRequests: 1,
    headroom: 4,
    checksFencing: true,
    firstTokenMs: 490,
    betweenTokensMs: 49,
  };
  const costs: GrantCost[] = [];
  for (const servers of SERVER_COUNTS) {
    costs.push(await measureGrants(clock, pool, servers));
  }
  const line = (read: (cost: GrantCost) => number) =>
    computeLine(costs.map((cost) => ({x: cost.servers, y: read(cost)})));
  return {
    name: 'routing',
    rows: costs.map((cost) => ({...cost})),
    lines: {
      cpuMicrosecondsByServer: line((cost) => cost.cpuMicrosecondsPerGrant),
      heapBytesByServer: line((cost) => cost.heapBytes),
    },
  };
}
