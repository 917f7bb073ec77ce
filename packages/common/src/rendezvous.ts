/** Rendezvous (highest random weight) hashing. */
import {createHash} from 'node:crypto';

/**
 * Computes the weight of a member for a key.
 *
 * @param key - what is to be placed
 * @param member - candidate
 * @returns an unsigned 32-bit weight, the same on every host
 */
export function computeRendezvousWeight(key: string, member: string): number {
  const digest = createHash('sha1').update(`${key}\u0000${member}`).digest();
  return digest.readUInt32BE(0);
}

/**
 * Orders members by their weight for a key, the owner first.
 *
 * @param key - what is to be placed
 * @param members - candidates; names must be unique
 * @returns a new array, highest weight first, ties by name
 */
export function computeRendezvousRanking(
  key: string,
  members: readonly string[],
): string[] {
  const weighted = members.map((member) => ({
    member,
    weight: computeRendezvousWeight(key, member),
  }));
  weighted.sort(
    (a, b) => b.weight - a.weight || (a.member < b.member ? -1 : 1),
  );
  return weighted.map((entry) => entry.member);
}
