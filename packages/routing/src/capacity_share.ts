/**
 * Splits a capacity between owners by the quota slots delegated to each owner.
 */
import type {DelegatedShare} from '@savoryspur/fleet';

/**
 * Computes the part of a capacity that an owner may grant. The parts of all
 * owners of a zone never add up to more than the capacity, and a capacity of 1
 * goes only to an owner that has more than half of the zone's quota slots.
 *
 * @param capacity - concurrent requests
 * @param share - quota slots delegated to the owner, and those of its zone
 * @returns concurrent requests, at most the capacity
 */
export function computeCapacityShare(
  capacity: number,
  share: Pick<DelegatedShare, 'slots' | 'zoneSlots'>,
): number {
  if (share.zoneSlots <= 0 || share.slots <= 0) return 0;
  const ownSlots = Math.min(share.slots, share.zoneSlots);
  if (ownSlots * 2 > share.zoneSlots) {
    const otherSlots = share.zoneSlots - ownSlots;
    return capacity - Math.floor((capacity * otherSlots) / share.zoneSlots);
  }
  return Math.floor((capacity * ownSlots) / share.zoneSlots);
}
