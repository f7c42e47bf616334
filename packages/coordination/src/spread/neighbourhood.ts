/** Which peers a process exchanges with, and its rank among those that watch the service. */
import type {Instance} from '@marigoldfold/protocol';
import {rankMembers} from '../rendezvous.js';
import {
  confirmationMaxAgeMs,
  isolatedIntervalMs,
  neighbourCount,
  rankDelayMs,
  standbysPerDomain,
  watchersPerDomain,
} from './timing.js';

/** The place of a process among the listed instances. */
export interface Neighbourhood {
  /** Rank in the failure domain; the first ranks watch the service. */
  readonly rank: number;
  /** Whether no other instance is known. */
  readonly isIsolated: boolean;
  /** Peers that announcements go to: neighbours in the domain and one link to another domain. */
  readonly peers: readonly Instance[];
  /** The watchers of the domain. */
  readonly watchers: readonly Instance[];
}

/** A process with its failure domain. */
export interface Locality {
  readonly name: string;
  readonly failureDomain: string;
}

const nameOf = ({name}: {readonly name: string}) => name;

/** Places a process; one that is not listed ranks behind all that are. */
export function findNeighbourhood(instances: readonly Instance[], self: Locality): Neighbourhood {
  const {name, failureDomain} = self;
  const others = instances.filter((instance) => instance.name !== name);
  const near = others.filter((instance) => instance.failureDomain === failureDomain);
  const far = others.filter((instance) => instance.failureDomain !== failureDomain);
  const live = instances.filter(
    (instance) => instance.failureDomain === failureDomain && instance.state === 'live',
  );
  const ranked = rankMembers(`watchers/${failureDomain}`, live, nameOf);
  const place = ranked.findIndex((instance) => instance.name === name);
  const chosen = rankMembers(`neighbours/${name}`, near, nameOf).slice(0, neighbourCount);
  return {
    rank: place === -1 ? ranked.length : place,
    isIsolated: others.length === 0,
    peers: [
      ...includeRingSuccessor(ranked, place, chosen),
      ...rankMembers(`link/${name}`, far, nameOf).slice(0, 1),
    ],
    watchers: ranked.slice(0, watchersPerDomain).filter((instance) => instance.name !== name),
  };
}

/**
 * Puts the next in rank in the place of one neighbour. Neighbours chosen by hash alone leave a
 * process out with a chance of e^-4; on the ring of ranks each has one that announces to it.
 */
function includeRingSuccessor(
  ranked: readonly Instance[],
  place: number,
  chosen: readonly Instance[],
): readonly Instance[] {
  const next = ranked[(place + 1) % ranked.length];
  if (place === -1 || next === undefined || next === ranked[place]) return chosen;
  const others = chosen.filter(({name}) => name !== next.name);
  return [next, ...others.slice(0, neighbourCount - 1)];
}

/** Whether a process watches the service all the time. */
export function isWatcher({rank, isIsolated}: Neighbourhood): boolean {
  return !isIsolated && rank < watchersPerDomain;
}

/** Whether a process is among the first to take a watcher's place. */
export function isStandby({rank}: Neighbourhood): boolean {
  return rank >= watchersPerDomain && rank < watchersPerDomain + standbysPerDomain;
}

/** Age in milliseconds from which a process asks the service itself; it grows with the rank, so that the calls of a domain stay few. */
export function ageLimitMs({rank, isIsolated}: Neighbourhood): number {
  if (isIsolated) return isolatedIntervalMs;
  return confirmationMaxAgeMs + rankDelayMs * Math.max(0, rank - watchersPerDomain + 1);
}
