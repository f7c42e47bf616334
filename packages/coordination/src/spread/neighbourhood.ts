/** Selects the gossip peers of a process and its rank for watching the key-value service. */
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

/** Instances with which a process exchanges summaries, and its rank for watching the key-value service. */
export interface Neighbourhood {
  /** Rank in the failure domain; processes with the lowest ranks watch the key-value service. */
  readonly rank: number;
  /** Whether no other instance is listed. */
  readonly isIsolated: boolean;
  /** Gossip peers: neighbours in the failure domain and one instance of another domain. */
  readonly peers: readonly Instance[];
  /** Watchers of the failure domain, without this process. */
  readonly watchers: readonly Instance[];
}

/** Name and failure domain of a process, from which its neighbourhood is computed. */
export interface Locality {
  readonly name: string;
  readonly failureDomain: string;
}

const nameOf = ({name}: {readonly name: string}) => name;

/** Computes the neighbourhood of a process; a process that is not in `instances` ranks last. */
export function findNeighbourhood(instances: readonly Instance[], self: Locality): Neighbourhood {
  const {name, failureDomain} = self;
  const others = instances.filter((instance) => instance.name !== name);
  const near = others.filter((instance) => instance.failureDomain === failureDomain);
  const far = others.filter((instance) => instance.failureDomain !== failureDomain);
  const live = instances.filter(
    (instance) => instance.failureDomain === failureDomain && instance.state === 'live',
  );
  const ranked = rankMembers(`watchers/${failureDomain}`, live, nameOf);
  const position = ranked.findIndex((instance) => instance.name === name);
  const chosen = rankMembers(`neighbours/${name}`, near, nameOf).slice(0, neighbourCount);
  return {
    rank: position === -1 ? ranked.length : position,
    isIsolated: others.length === 0,
    peers: [
      ...includeRingSuccessor(ranked, position, chosen),
      ...rankMembers(`link/${name}`, far, nameOf).slice(0, 1),
    ],
    watchers: ranked.slice(0, watchersPerDomain).filter((instance) => instance.name !== name),
  };
}

/**
 * Includes the process with the next rank among the neighbours, so that every process receives announcements from
 * its predecessor. If neighbours were selected by hash alone, a process would be selected by no other one with
 * probability e^-4.
 */
function includeRingSuccessor(
  ranked: readonly Instance[],
  position: number,
  chosen: readonly Instance[],
): readonly Instance[] {
  const next = ranked[(position + 1) % ranked.length];
  if (position === -1 || next === undefined || next === ranked[position]) return chosen;
  const others = chosen.filter(({name}) => name !== next.name);
  return [next, ...others.slice(0, neighbourCount - 1)];
}

/** Whether a process watches the key-value service continuously. */
export function isWatcher({rank, isIsolated}: Neighbourhood): boolean {
  return !isIsolated && rank < watchersPerDomain;
}

/** Whether a process has one of the ranks right after the watchers and so is the first to replace one. */
export function isStandby({rank}: Neighbourhood): boolean {
  return rank >= watchersPerDomain && rank < watchersPerDomain + standbysPerDomain;
}

/**
 * Age of the last confirmation, in milliseconds, from which a process reads the key-value service itself. The age
 * increases with the rank, to limit the reads by one failure domain.
 */
export function computeConfirmationAgeLimitMs({rank, isIsolated}: Neighbourhood): number {
  if (isIsolated) return isolatedIntervalMs;
  return confirmationMaxAgeMs + rankDelayMs * Math.max(0, rank - watchersPerDomain + 1);
}
