/** Rendezvous (highest random weight) hashing. */
import {hash64} from './hash.js';

/**
 * Orders members by a hash of member and key. The first one owns the key; if it leaves, the second one does.
 */
export function rankMembers<T>(
  key: string,
  members: readonly T[],
  nameOf: (member: T) => string,
): readonly T[] {
  const scored = members.map((member) => ({member, score: hash64(`${key}\n${nameOf(member)}`)}));
  scored.sort((a, b) => (a.score === b.score ? 0 : a.score > b.score ? -1 : 1));
  return scored.map(({member}) => member);
}
