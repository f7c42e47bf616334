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

/** Gossip peers and watch rank of a process. */
export interface Neighbourhood {
  /** Rank in the failure domain; the lowest ranks watch the key-value service. */
  readonly rank: number;
  /** Whether no other instance is listed. */
  readonly isIsolated: boolean;
  /** Gossip peers: neighbours in the failure domain and one instance of another domain. */
  readonly peers: readonly Instance[];
  /** Other watchers of the failure domain. */
  readonly watchers: readonly Instance[];
}

/** Name and failure domain of a process. */
export interface Locality {
  readonly name: string;
  readonly failureDomain: string;
}

const nameOf = ({name}: {readonly name: string}) => name;

/** Computes the neighbourhood of a process; one that is not listed ranks last. */
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
 * Makes the successor in rank one of the neighbours. With neighbours chosen by hash alone, a process is chosen by
 * no other with probability e^-4; on the ring of ranks each process has a predecessor that announces to it.
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

/** Whether a process is among the first to replace a watcher. */
export function isStandby({rank}: Neighbourhood): boolean {
  return rank >= watchersPerDomain && rank < watchersPerDomain + standbysPerDomain;
}

/**
 * Age in milliseconds of the last confirmation from which a process reads the key-value service itself. It grows
 * with the rank to limit the reads of a domain.
 */
export function ageLimitMs({rank, isIsolated}: Neighbourhood): number {
  if (isIsolated) return isolatedIntervalMs;
  return confirmationMaxAgeMs + rankDelayMs * Math.max(0, rank - watchersPerDomain + 1);
}
