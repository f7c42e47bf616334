/** What a route and an account ask for one request: its service, its rank, whether it may be repeated. */
import {hash64} from '@marigoldfold/coordination';
import type {Route, Service} from '@marigoldfold/state';
import type {Admission} from './admission.js';

/** Lowest rank at an endpoint. */
const MAX_RANK = 9;
/** Ranks of one step of an account's priority: the routes' priorities and what is late order requests within it. */
const RANKS_PER_PRIORITY_STEP = 3;
/** Shortest patience of clients, and its multiples of the objectives; source: the platform's protocol. */
const MIN_PATIENCE_MS = 2000;
const PATIENCE_TARGETS = 4;
const PATIENCE_PAUSE_TARGETS = 8;
const HASH_BITS = 24;

/** The service of a request: the shares of a split route get their parts of all ids. */
export function chooseService(
  {route, table}: Pick<Admission, 'route' | 'table'>,
  requestId: string,
): Service | undefined {
  const total = route.shares.reduce((sum, {weight}) => sum + weight, 0);
  const part = Number(hash64(requestId) >> BigInt(64 - HASH_BITS)) / 2 ** HASH_BITS;
  let point = part * total;
  for (const {service, weight} of route.shares) {
    point -= weight;
    if (point < 0) return table.findService(service);
  }
  return table.findService(route.shares.at(-1)?.service ?? '');
}

/** When clients leave a stream that brings nothing, in milliseconds. */
export function patienceMs({targetMs, pauseTargetMs = 0}: Route): number {
  return Math.max(
    MIN_PATIENCE_MS,
    PATIENCE_TARGETS * targetMs,
    PATIENCE_PAUSE_TARGETS * pauseTargetMs,
  );
}

/** Whether a request may run more than once. */
export function isIdempotent({kind, isResumable}: Route): boolean {
  return kind === 'idempotent' || (kind === 'stream' && isResumable);
}

/**
 * An account's priority goes before the route's. Of requests that are not the most urgent, those that
 * cannot meet their objective any more go behind the others.
 */
export function rankOf(
  accountPriority: number | undefined,
  routePriority: number,
  canMeetTarget: boolean,
): number {
  const account = (accountPriority ?? 0) * RANKS_PER_PRIORITY_STEP;
  const route = routePriority === 0 ? 0 : canMeetTarget ? 1 : 2;
  return Math.min(MAX_RANK, account + route);
}
