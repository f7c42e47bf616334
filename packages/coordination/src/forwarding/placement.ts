/** Chooses the endpoint of a service that serves a request best. */
import type {Clock} from '@marigoldfold/runtime';
import type {Engine} from '@marigoldfold/state';
import type {ForwardDemand} from './demand.js';
import type {Endpoint} from './endpoint.js';
import type {EndpointRegistry} from './endpointRegistry.js';
import {EnginePlacement} from './enginePlacement.js';
import type {Flight} from './flight.js';

/** What the placement needs. */
export interface PlacementOptions {
  readonly clock: Clock;
  readonly registry: EndpointRegistry;
}

/** Share of failures beyond that of the other endpoints that makes an endpoint unattractive. */
const FAILURE_TOLERANCE = 0.15;

/** Chooses endpoints and keeps count of what was sent to them. */
export class Placement {
  readonly #options: PlacementOptions;
  readonly #engines: EnginePlacement;

  constructor(options: PlacementOptions) {
    this.#options = options;
    this.#engines = new EnginePlacement(options);
  }

  /** The best endpoint that is not excluded, or undefined when there is none. */
  choose(
    demand: ForwardDemand,
    engine: Engine | undefined,
    excluded: ReadonlySet<string>,
  ): Endpoint | undefined {
    const usable = this.#options.registry.usable(demand.service);
    const allowed = usable.filter(({record}) => !excluded.has(record.id));
    const open = allowed.filter((endpoint) => !endpoint.isBarred);
    // When all are barred, a try beats a refusal.
    const candidates = withoutFailing(open.length > 0 ? open : allowed);
    if (engine !== undefined && demand.prompt !== undefined) {
      return this.#engines.choose(demand, demand.prompt, candidates);
    }
    return leastOccupied(candidates);
  }

  /** Notes a request that is sent to an endpoint. */
  begin(endpoint: Endpoint, demand: ForwardDemand, engine: Engine | undefined): Flight {
    const {prompt, priority, id} = demand;
    const flight: Flight = {
      requestId: id,
      sentAtMs: this.#options.clock.now(),
      readMs: prompt === undefined ? 0 : this.#engines.readMs(endpoint, prompt),
      priority,
      prompt,
      firstEventAtMs: undefined,
    };
    endpoint.flights.add(flight);
    if (engine !== undefined && prompt !== undefined) {
      endpoint.residency.use(prompt, engine.cacheTokens);
    }
    return flight;
  }

  /** Notes the first event of a stream. */
  noteFirstEvent(flight: Flight): void {
    flight.firstEventAtMs ??= this.#options.clock.now();
  }

  /** Notes that an endpoint does not work on a request any more. */
  end(endpoint: Endpoint, flight: Flight): void {
    endpoint.flights.delete(flight);
  }
}

/** Leaves out endpoints that fail clearly more often than the best one. */
function withoutFailing(candidates: readonly Endpoint[]): readonly Endpoint[] {
  const least = Math.min(...candidates.map(({failureShare}) => failureShare));
  const sound = candidates.filter(({failureShare}) => failureShare <= least + FAILURE_TOLERANCE);
  return sound.length > 0 ? sound : candidates;
}

function leastOccupied(candidates: readonly Endpoint[]): Endpoint | undefined {
  let best: Endpoint | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const endpoint of candidates) {
    const cost = ((endpoint.occupancy + 1) * endpoint.slowness) / endpoint.record.slots;
    if (cost >= bestCost) continue;
    best = endpoint;
    bestCost = cost;
  }
  return best;
}
