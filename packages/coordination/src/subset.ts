/** Deterministic subsetting: the endpoints of a model that one entry keeps connections to. */
import type {Candidate} from './candidates.js';
import {rankMembers} from './rendezvous.js';

/** Default number of endpoints of a model that an entry keeps connections to. */
export const DEFAULT_SUBSET_SIZE = 16;

/** Name and location of an entry. */
export interface EntryLocation {
  /** Instance name of the entry, by which endpoints are ranked. */
  readonly self: string;
  readonly failureDomain: string;
  readonly region: string;
}

/** Endpoints that an entry uses for a model, and others to use when none of these is available. */
export interface Subset {
  readonly members: readonly Candidate[];
  /** Endpoints of other failure domains, used when no member is available. */
  readonly reserve: readonly Candidate[];
}

/**
 * Selects the endpoints ranked highest by rendezvous hashing: first from the same failure domain, then from the
 * same region, then from other regions. Adding or removing one instance changes at most one member.
 */
export function chooseSubset(
  location: EntryLocation,
  key: string,
  candidates: readonly Candidate[],
  size: number,
): Subset {
  const groups: readonly Candidate[][] = [[], [], []];
  for (const candidate of candidates) groups[distance(location, candidate)]?.push(candidate);
  const members: Candidate[] = [];
  for (const group of groups) {
    if (members.length >= size) break;
    members.push(...rankGroup(location, key, group).slice(0, size - members.length));
  }
  const taken = new Set(members);
  const reserve: Candidate[] = [];
  for (const group of groups.slice(1)) {
    if (reserve.length >= size) break;
    const rest = rankGroup(location, key, group).filter((candidate) => !taken.has(candidate));
    reserve.push(...rest.slice(0, size - reserve.length));
  }
  return {members, reserve};
}

function rankGroup(
  {self}: EntryLocation,
  key: string,
  group: readonly Candidate[],
): readonly Candidate[] {
  return rankMembers(`${self}\n${key}`, group, ({instance}) => instance.name);
}

function distance({failureDomain, region}: EntryLocation, {instance}: Candidate): 0 | 1 | 2 {
  if (instance.failureDomain === failureDomain) return 0;
  return instance.region === region ? 1 : 2;
}
