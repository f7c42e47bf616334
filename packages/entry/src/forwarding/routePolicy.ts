/** Service, rank and idempotence of a request, as its route and account determine them. */
import {hash64} from '@marigoldfold/coordination';
import type {Route, RoutingTable, Service} from '@marigoldfold/state';
import type {Admission} from './admission.js';

/** Rank of the least urgent requests at an endpoint. */
const MAX_RANK = 9;
/**
 * Number of ranks for each priority of accounts; within them, the route's priority and lateness determine the rank.
 */
const RANKS_PER_PRIORITY_STEP = 3;
/**
 * Time after which clients disconnect by the platform's protocol: a minimum, and multiples of the latency and pause
 * objectives.
 */
const MIN_PATIENCE_MS = 2000;
const PATIENCE_TARGETS = 4;
const PATIENCE_PAUSE_TARGETS = 8;
const HASH_BITS = 24;
/**
 * Share of the longest latency objective at a service after which a request that still queues for its first attempt is
 * refused, since another instance may be faster. All requests for the service may queue for the same time, so that an
 * urgent one with a short objective is not refused before a less urgent one.
 */
const QUEUE_TARGET_SHARE = 0.5;
/** Lower bound of the queue time after which a request is refused: some turns of a busy event loop. */
const MIN_QUEUE_MS = 50;

/** Chooses the service by a hash of the request ID, in proportion to the weights of a split route. */
export function chooseService(
  {route, table}: Pick<Admission, 'route' | 'table'>,
  requestId: string,
): Service | undefined {
  const total = route.shares.reduce((sum, {weight}) => sum + weight, 0);
  const fraction = Number(hash64(requestId) >> BigInt(64 - HASH_BITS)) / 2 ** HASH_BITS;
  let position = fraction * total;
  for (const {service, weight} of route.shares) {
    position -= weight;
    if (position < 0) return table.findService(service);
  }
  return table.findService(route.shares.at(-1)?.service ?? '');
}

/** Time without events after which clients disconnect from a stream, in milliseconds. */
export function patienceMs({targetMs, pauseTargetMs = 0}: Route): number {
  return Math.max(
    MIN_PATIENCE_MS,
    PATIENCE_TARGETS * targetMs,
    PATIENCE_PAUSE_TARGETS * pauseTargetMs,
  );
}

/** Time for which the first attempt of a request for a service may queue in the instance, in milliseconds. */
export function queueLimitMs(table: RoutingTable, service: string): number {
  return Math.max(MIN_QUEUE_MS, table.longestTargetMs(service) * QUEUE_TARGET_SHARE);
}

/** Whether a request may be executed more than once. */
export function isIdempotent({kind, isResumable}: Route): boolean {
  return kind === 'idempotent' || (kind === 'stream' && isResumable);
}

/**
 * Rank in an endpoint's queue; lower ranks go first. The account's priority takes precedence over the route's.
 * Apart from requests of the most urgent routes, those that can no longer meet their objective rank last.
 */
export function computeQueueRank(
  accountPriority: number | undefined,
  routePriority: number,
  canMeetTarget: boolean,
): number {
  const account = (accountPriority ?? 0) * RANKS_PER_PRIORITY_STEP;
  const route = routePriority === 0 ? 0 : canMeetTarget ? 1 : 2;
  return Math.min(MAX_RANK, account + route);
}
