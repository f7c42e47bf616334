/** Chooses the endpoint of an attempt and obtains the permit to send to it if the endpoint has a limit. */
import type {Endpoint, PlacementRequest} from '@marigoldfold/coordination';
import type {Engine} from '@marigoldfold/state';
import type {ForwardOptions} from './forwardOptions.js';

/** A request that needs an endpoint. */
export interface ReservationRequest {
  readonly placementRequest: PlacementRequest;
  readonly engine: Engine | undefined;
  /** IDs of endpoints that are not tried. */
  readonly excluded: ReadonlySet<string>;
  /** Rank among the requests that wait for a permit; lower ranks go first. */
  readonly rank: number;
  /** Longest wait, in milliseconds, if the limits of all endpoints are used up. */
  readonly waitMs: number;
}

/** An endpoint that may be sent one request, or the reason why there is none. */
export type Reservation =
  | {readonly kind: 'reserved'; readonly endpoint: Endpoint}
  | {readonly kind: 'noEndpoint'}
  /** The limits of all endpoints are used up. */
  | {readonly kind: 'limited'};

/** Reserves an endpoint: the best one that can be had at once, or else the one whose limit allows a request soonest. */
export async function reserveEndpoint(
  {placement, permits}: Pick<ForwardOptions, 'placement' | 'permits'>,
  {placementRequest, engine, excluded, rank, waitMs}: ReservationRequest,
): Promise<Reservation> {
  while (true) {
    const endpoint = placement.choose(placementRequest, engine, excluded);
    if (endpoint === undefined) break;
    const permit = await permits.acquire(endpoint, {rank, waitMs: 0});
    if (permit.isGranted) return {kind: 'reserved', endpoint};
  }
  const limited = placement.chooseLimited(placementRequest.service, excluded);
  if (limited === undefined) return {kind: 'noEndpoint'};
  const permit = await permits.acquire(limited, {rank, waitMs});
  return permit.isGranted ? {kind: 'reserved', endpoint: limited} : {kind: 'limited'};
}
