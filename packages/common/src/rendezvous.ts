/** Rendezvous (highest random weight) hashing. */
import {createHash} from 'node:crypto';

/**
 * Computes the rendezvous weight of a member for a key.
 *
 * @param key - key that needs an owner
 * @param member - name of a candidate
 * @returns unsigned 32-bit weight, which is the same on every host
 */
export function computeRendezvousWeight(key: string, member: string): number {
  const digest = createHash('sha1').update(`${key}\u0000${member}`).digest();
  return digest.readUInt32BE(0);
}

/**
 * Orders members by their rendezvous weight for a key, the owner first.
 *
 * @param key - key that needs an owner
 * @param members - unique names of the candidates
 * @returns new array, highest weight first, ties in order of name
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
