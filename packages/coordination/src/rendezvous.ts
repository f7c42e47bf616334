/** Rendezvous (highest random weight) hashing. */
import {hash64} from './hash.js';

const HASH_RANGE = 2 ** 64;

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

/**
 * The member that owns the key if members own keys in proportion to their weights. With equal weights it is the first of
 * `rankMembers`; a lower weight of a member only moves keys away from it.
 */
export function findWeightedOwner<T>(
  key: string,
  members: readonly T[],
  nameOf: (member: T) => string,
  weightOf: (member: T) => number,
): T | undefined {
  let owner: T | undefined;
  let leastCost = Number.POSITIVE_INFINITY;
  for (const member of members) {
    const position = (Number(hash64(`${key}\n${nameOf(member)}`)) + 1) / HASH_RANGE;
    const cost = -Math.log(position) / weightOf(member);
    if (owner !== undefined && cost >= leastCost) continue;
    owner = member;
    leastCost = cost;
  }
  return owner;
}
