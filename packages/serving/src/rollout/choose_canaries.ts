/** Chooses the few servers of the target version that are observed. */
import type {PoolServer} from '../slots/pool_types.js';

/** Smallest number of canary servers: single servers decide nothing. */
const MIN_CANARIES = 4;

/**
 * Chooses the canary servers, in turn from each availability zone. Servers that
 * were chosen before are kept, so that each one gets enough load to show faults.
 *
 * @param target - servers of the target version
 * @param others - number of servers of other versions
 * @param share - fraction of the requests that the target gets
 * @param former - ids of the canary servers so far
 * @returns ids of the canary servers
 */
export function chooseCanaries(
  target: readonly Pick<PoolServer, 'id' | 'zone'>[],
  others: number,
  share: number,
  former: ReadonlySet<string>,
): Set<string> {
  const count = Math.max(MIN_CANARIES, Math.ceil(others * share));
  const byZone = new Map<string, string[]>();
  const sorted = [...target].sort(
    (a, b) =>
      Number(former.has(b.id)) - Number(former.has(a.id)) ||
      (a.id < b.id ? -1 : 1),
  );
  for (const {id, zone} of sorted) {
    byZone.set(zone, [...(byZone.get(zone) ?? []), id]);
  }
  const zones = [...byZone.keys()].sort();
  const chosen = new Set<string>();
  for (let rank = 0; chosen.size < Math.min(count, target.length); rank += 1) {
    for (const zone of zones) {
      const id = byZone.get(zone)?.[rank];
      if (id !== undefined && chosen.size < count) chosen.add(id);
    }
  }
  return chosen;
}
