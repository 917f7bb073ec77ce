/**
 * Key by which the owner of a pool is determined and quota slots are delegated
 * to the owner.
 */

/**
 * Makes the key of a pool. The daemon of a zone that owns this key grants the
 * concurrency slots of the pool in the zone.
 *
 * @param pool - the pool
 */
export function createPoolKey(pool: string): string {
  return `pool:${pool}`;
}
