/** The few endpoints of a model that one entry keeps connections to. */
import type {Candidate} from './candidates.js';
import {rankMembers} from './rendezvous.js';

/** Endpoints of each model that an entry keeps connections to. */
export const DEFAULT_SUBSET_SIZE = 16;

/** Where an entry stands. */
export interface EntryLocation {
  /** Name of the instance. */
  readonly self: string;
  readonly failureDomain: string;
  readonly region: string;
}

/** The endpoints in use for a model, and those that stand by. */
export interface Subset {
  readonly members: readonly Candidate[];
  /** Endpoints of other failure domains, for when no member can serve. */
  readonly reserve: readonly Candidate[];
}

/**
 * Takes the highest ranked by rendezvous hashing: of the own failure domain first, then of the
 * region, then of others. A change of one instance changes at most one member.
 */
export function chooseSubset(
  place: EntryLocation,
  key: string,
  candidates: readonly Candidate[],
  size: number,
): Subset {
  const rings: readonly Candidate[][] = [[], [], []];
  for (const candidate of candidates) rings[distance(place, candidate)]?.push(candidate);
  const members: Candidate[] = [];
  for (const ring of rings) {
    if (members.length >= size) break;
    members.push(...rankGroup(place, key, ring).slice(0, size - members.length));
  }
  const taken = new Set(members);
  const reserve: Candidate[] = [];
  for (const ring of rings.slice(1)) {
    if (reserve.length >= size) break;
    const rest = rankGroup(place, key, ring).filter((candidate) => !taken.has(candidate));
    reserve.push(...rest.slice(0, size - reserve.length));
  }
  return {members, reserve};
}

function rankGroup(
  {self}: EntryLocation,
  key: string,
  ring: readonly Candidate[],
): readonly Candidate[] {
  return rankMembers(`${self}\n${key}`, ring, ({instance}) => instance.name);
}

function distance({failureDomain, region}: EntryLocation, {instance}: Candidate): 0 | 1 | 2 {
  if (instance.failureDomain === failureDomain) return 0;
  return instance.region === region ? 1 : 2;
}
