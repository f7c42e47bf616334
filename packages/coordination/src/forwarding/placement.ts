/** Chooses the endpoint of a service that serves a request best. */
import type {Clock} from '@marigoldfold/runtime';
import type {Engine} from '@marigoldfold/state';
import type {ForwardDemand} from './demand.js';
import {type Endpoint, REMOTE_FLIGHT_LIMIT_MS} from './endpoint.js';
import type {EndpointRegistry} from './endpointRegistry.js';
import {EnginePlacement} from './enginePlacement.js';
import type {Flight} from './flight.js';
import type {LoadReport} from './loadReport.js';
import type {PeerExchange} from './peerExchange.js';
import type {News} from './peerMessages.js';

/** What the placement needs. */
export interface PlacementOptions {
  readonly clock: Clock;
  readonly registry: EndpointRegistry;
  /** Tells other instances; absent where there are none. */
  readonly tell?: PeerNews;
}

/** What other instances are told. */
export type PeerNews = Pick<PeerExchange, 'tellSent' | 'tellBegun' | 'tellEnded' | 'tellSlowness'>;

/** Share of failures beyond that of the other endpoints that makes an endpoint unattractive. */
const FAILURE_TOLERANCE = 0.15;

/** Slowness from which others are told: between the usual pace and that beside a busy neighbour. */
const SLOW = 1.7;
/** Gaps between events that a measure of an endpoint's pace spans. */
const GAPS_OF_A_MEASURE = 2;

/** Chooses endpoints and keeps count of what was sent to them. */
export class Placement {
  readonly #options: PlacementOptions;
  readonly #engines: EnginePlacement;
  /** Requests of other instances, oldest first, with their endpoints. */
  readonly #remote = new Map<string, {readonly endpoint: Endpoint; readonly atMs: number}>();

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
      return this.#engines.choose(demand, demand.prompt, engine, candidates);
    }
    return leastOccupied(candidates);
  }

  /** Whether a request can meet its objective at an endpoint; without a prompt nothing is known of it. */
  canMeetTarget(endpoint: Endpoint, demand: ForwardDemand): boolean {
    const {prompt, targetLeftMs} = demand;
    if (prompt === undefined) return targetLeftMs > 0;
    return this.#engines.canMeetTarget(endpoint, demand, prompt);
  }

  /** Notes a request that is sent to an endpoint. */
  begin(endpoint: Endpoint, demand: ForwardDemand, engine: Engine | undefined): Flight {
    const {prompt, id, pauseTargetMs, service} = demand;
    const unreadTokens = prompt === undefined ? 0 : endpoint.residency.unreadTokens(prompt);
    const flight: Flight = {
      requestId: id,
      sentAtMs: this.#options.clock.now(),
      readMs: unreadTokens * this.#engines.pace(service).readMsPerToken,
      prompt,
      pauseTargetMs,
      unreadTokens,
      firstEventAtMs: undefined,
      lastEventAtMs: undefined,
      lastGapMs: undefined,
      longestPauseMs: 0,
    };
    endpoint.flights.add(flight);
    if (prompt !== undefined) this.#engines.noteSend(endpoint, prompt);
    if (prompt !== undefined) {
      this.#options.tell?.tellSent([
        id,
        endpoint.record.id,
        unreadTokens,
        prompt.promptTokens,
        prompt.maxOutputTokens,
        pauseTargetMs ?? 0,
        prompt.parts.slice(0, -1).map((part) => [part.id, part.tokens]),
      ]);
    }
    if (engine !== undefined && prompt !== undefined) {
      endpoint.residency.capacityTokens = engine.cacheTokens;
      endpoint.residency.use(prompt);
    }
    return flight;
  }

  /** Notes an event of a stream. */
  noteEvent(endpoint: Endpoint, flight: Flight): void {
    const now = this.#options.clock.now();
    const pace = this.#engines.pace(endpoint.record.service);
    if (flight.lastEventAtMs === undefined) {
      flight.firstEventAtMs = now;
      this.#options.tell?.tellBegun(flight.requestId);
      pace.observeFirstEvent(flight.unreadTokens, now - flight.sentAtMs);
    } else {
      this.#noteGap(endpoint, flight, now - flight.lastEventAtMs);
    }
    flight.lastEventAtMs = now;
  }

  #noteGap(endpoint: Endpoint, flight: Flight, gapMs: number): void {
    const {lastGapMs} = flight;
    flight.lastGapMs = gapMs;
    flight.longestPauseMs = Math.max(flight.longestPauseMs, gapMs);
    // Steps that make several tokens let events come by turns early and late.
    if (lastGapMs === undefined) return;
    const before = endpoint.slowness;
    const slowness = this.#engines.observeEvents(endpoint, GAPS_OF_A_MEASURE, lastGapMs + gapMs);
    if (isSlow(slowness) !== isSlow(before)) {
      this.#options.tell?.tellSlowness(endpoint.record.id, slowness);
    }
  }

  /** Notes that an endpoint does not work on a request any more. */
  end(endpoint: Endpoint, flight: Flight): void {
    endpoint.flights.delete(flight);
    if (flight.prompt !== undefined) this.#options.tell?.tellEnded(flight.requestId);
  }

  /** Takes the load report of an answer. */
  observe(endpoint: Endpoint, report: LoadReport): void {
    endpoint.observe(report);
    if (report.slowness === undefined) return;
    this.#options.tell?.tellSlowness(endpoint.record.id, report.slowness);
  }

  /** Takes what another instance tells. */
  takeNews({sent, begun, ended, slowness}: News): void {
    const {registry, clock} = this.#options;
    this.#forgetRemote(clock.now() - REMOTE_FLIGHT_LIMIT_MS);
    for (const [id, endpointId, unread, promptTokens, output, pauseMs, shared] of sent) {
      const endpoint = registry.find(endpointId);
      if (endpoint === undefined) continue;
      const parts = shared.map(([part, tokens]) => ({id: part, tokens}));
      const sharedTokens = parts.reduce((sum, {tokens}) => sum + tokens, 0);
      parts.push({id, tokens: promptTokens - sharedTokens});
      const prompt = {parts, promptTokens, maxOutputTokens: output};
      this.#endRemote(id);
      this.#remote.set(id, {endpoint, atMs: clock.now()});
      endpoint.remoteFlights.set(id, {
        requestId: id,
        sentAtMs: clock.now(),
        readMs: unread * this.#engines.pace(endpoint.record.service).readMsPerToken,
        prompt,
        pauseTargetMs: pauseMs === 0 ? undefined : pauseMs,
        unreadTokens: unread,
        firstEventAtMs: undefined,
        lastEventAtMs: undefined,
        lastGapMs: undefined,
        longestPauseMs: 0,
      });
      endpoint.residency.use(prompt);
      this.#engines.noteSend(endpoint, prompt);
    }
    for (const id of begun) {
      const flight = this.#remote.get(id)?.endpoint.remoteFlights.get(id);
      if (flight !== undefined) flight.firstEventAtMs = clock.now();
    }
    for (const id of ended) {
      this.#endRemote(id);
    }
    for (const [endpointId, value] of slowness) registry.find(endpointId)?.observeSlowness(value);
  }

  /** Forgets requests whose end was not told: the datagram was lost, or their instance has died. */
  #forgetRemote(beforeMs: number): void {
    for (const [id, {atMs}] of this.#remote) {
      if (atMs >= beforeMs) return;
      this.#endRemote(id);
    }
  }

  #endRemote(id: string): void {
    this.#remote.get(id)?.endpoint.remoteFlights.delete(id);
    this.#remote.delete(id);
  }

  /** Requests of other instances that are believed to be under way. */
  get remoteCount(): number {
    return this.#remote.size;
  }
}

function isSlow(slowness: number): boolean {
  return slowness >= SLOW;
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
