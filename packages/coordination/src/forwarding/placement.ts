/** Chooses the endpoint of a service that serves a request best. */
import type {Clock} from '@marigoldfold/runtime';
import type {Engine} from '@marigoldfold/state';
import type {PlacementRequest} from './placementRequest.js';
import {type Endpoint, REMOTE_REQUEST_TIMEOUT_MS} from './endpoint.js';
import type {EndpointRegistry} from './endpointRegistry.js';
import {EnginePlacement} from './enginePlacement.js';
import type {InFlightRequest} from './inFlightRequest.js';
import type {LoadReport} from './loadReport.js';
import type {PeerChannel} from './peerChannel.js';
import type {PeerUpdate} from './peerMessages.js';

/** What the placement needs. */
export interface PlacementOptions {
  readonly clock: Clock;
  readonly registry: EndpointRegistry;
  /** Tells other instances; absent where there are none. */
  readonly publisher?: PeerPublisher;
}

/** What other instances are told. */
export type PeerPublisher = Pick<
  PeerChannel,
  'publishSent' | 'publishFirstEvent' | 'publishEnded' | 'publishSlowness'
>;

/** Share of failures beyond that of the other endpoints that makes an endpoint unattractive. */
const FAILURE_SHARE_TOLERANCE = 0.15;

/** Slowness from which others are told: between the usual pace and that beside a busy neighbour. */
const PUBLISHED_SLOWNESS_THRESHOLD = 1.7;
/** Gaps between events that a measure of an endpoint's pace spans. */
const GAPS_PER_MEASUREMENT = 2;

/** Chooses endpoints and keeps count of what was sent to them. */
export class Placement {
  readonly #options: PlacementOptions;
  readonly #enginePlacement: EnginePlacement;
  /** Requests of other instances, oldest first, with their endpoints. */
  readonly #remoteRequests = new Map<
    string,
    {readonly endpoint: Endpoint; readonly atMs: number}
  >();

  constructor(options: PlacementOptions) {
    this.#options = options;
    this.#enginePlacement = new EnginePlacement(options);
  }

  /** The best endpoint that is not excluded, or undefined when there is none. */
  choose(
    demand: PlacementRequest,
    engine: Engine | undefined,
    excluded: ReadonlySet<string>,
  ): Endpoint | undefined {
    const usable = this.#options.registry.usable(demand.service);
    const allowed = usable.filter(({record}) => !excluded.has(record.id));
    const open = allowed.filter((endpoint) => !endpoint.isBackedOff);
    // When all are barred, a try beats a refusal.
    const candidates = excludeFailing(open.length > 0 ? open : allowed);
    if (engine !== undefined && demand.prompt !== undefined) {
      return this.#enginePlacement.choose(demand, demand.prompt, engine, candidates);
    }
    return leastOccupied(candidates);
  }

  /** Whether a request can meet its objective at an endpoint; without a prompt nothing is known of it. */
  canMeetTarget(endpoint: Endpoint, demand: PlacementRequest): boolean {
    const {prompt, targetLeftMs} = demand;
    if (prompt === undefined) return targetLeftMs > 0;
    return this.#enginePlacement.canMeetTarget(endpoint, demand, prompt);
  }

  /** Notes a request that is sent to an endpoint. */
  startRequest(
    endpoint: Endpoint,
    demand: PlacementRequest,
    engine: Engine | undefined,
  ): InFlightRequest {
    const {prompt, id, pauseTargetMs, service} = demand;
    const uncachedTokens = prompt === undefined ? 0 : endpoint.cacheEstimate.uncachedTokens(prompt);
    const flight: InFlightRequest = {
      requestId: id,
      sentAtMs: this.#options.clock.now(),
      prefillMs: uncachedTokens * this.#enginePlacement.timings(service).prefillMsPerToken,
      prompt,
      pauseTargetMs,
      uncachedTokens,
      firstEventAtMs: undefined,
      lastEventAtMs: undefined,
      lastGapMs: undefined,
      longestPauseMs: 0,
    };
    endpoint.localRequests.add(flight);
    if (prompt !== undefined) this.#enginePlacement.recordSend(endpoint, prompt);
    if (prompt !== undefined) {
      this.#options.publisher?.publishSent([
        id,
        endpoint.record.id,
        uncachedTokens,
        prompt.promptTokens,
        prompt.maxOutputTokens,
        pauseTargetMs ?? 0,
        prompt.parts.slice(0, -1).map((part) => [part.id, part.tokens]),
      ]);
    }
    if (engine !== undefined && prompt !== undefined) {
      endpoint.cacheEstimate.capacityTokens = engine.cacheTokens;
      endpoint.cacheEstimate.recordPrompt(prompt);
    }
    return flight;
  }

  /** Notes an event of a stream. */
  recordEvent(endpoint: Endpoint, flight: InFlightRequest): void {
    const now = this.#options.clock.now();
    const pace = this.#enginePlacement.timings(endpoint.record.service);
    if (flight.lastEventAtMs === undefined) {
      flight.firstEventAtMs = now;
      this.#options.publisher?.publishFirstEvent(flight.requestId);
      pace.recordFirstEvent(flight.uncachedTokens, now - flight.sentAtMs);
    } else {
      this.#recordGap(endpoint, flight, now - flight.lastEventAtMs);
    }
    flight.lastEventAtMs = now;
  }

  #recordGap(endpoint: Endpoint, flight: InFlightRequest, gapMs: number): void {
    const {lastGapMs} = flight;
    flight.lastGapMs = gapMs;
    flight.longestPauseMs = Math.max(flight.longestPauseMs, gapMs);
    // Steps that make several tokens let events come by turns early and late.
    if (lastGapMs === undefined) return;
    const before = endpoint.slowness;
    const slowness = this.#enginePlacement.measureSlowness(
      endpoint,
      GAPS_PER_MEASUREMENT,
      lastGapMs + gapMs,
    );
    if (isSlow(slowness) !== isSlow(before)) {
      this.#options.publisher?.publishSlowness(endpoint.record.id, slowness);
    }
  }

  /** Notes that an endpoint does not work on a request any more. */
  endRequest(endpoint: Endpoint, flight: InFlightRequest): void {
    endpoint.localRequests.delete(flight);
    if (flight.prompt !== undefined) this.#options.publisher?.publishEnded(flight.requestId);
  }

  /** Takes the load report of an answer. */
  recordLoad(endpoint: Endpoint, report: LoadReport): void {
    endpoint.recordLoad(report);
    if (report.slowness === undefined) return;
    this.#options.publisher?.publishSlowness(endpoint.record.id, report.slowness);
  }

  /** Takes what another instance tells. */
  applyPeerUpdate({sent, begun, ended, slowness}: PeerUpdate): void {
    const {registry, clock} = this.#options;
    this.#expireRemoteRequests(clock.now() - REMOTE_REQUEST_TIMEOUT_MS);
    for (const [id, endpointId, unread, promptTokens, output, pauseMs, shared] of sent) {
      const endpoint = registry.find(endpointId);
      if (endpoint === undefined) continue;
      const parts = shared.map(([part, tokens]) => ({id: part, tokens}));
      const sharedTokens = parts.reduce((sum, {tokens}) => sum + tokens, 0);
      parts.push({id, tokens: promptTokens - sharedTokens});
      const prompt = {parts, promptTokens, maxOutputTokens: output};
      this.#removeRemoteRequest(id);
      this.#remoteRequests.set(id, {endpoint, atMs: clock.now()});
      endpoint.remoteRequests.set(id, {
        requestId: id,
        sentAtMs: clock.now(),
        prefillMs:
          unread * this.#enginePlacement.timings(endpoint.record.service).prefillMsPerToken,
        prompt,
        pauseTargetMs: pauseMs === 0 ? undefined : pauseMs,
        uncachedTokens: unread,
        firstEventAtMs: undefined,
        lastEventAtMs: undefined,
        lastGapMs: undefined,
        longestPauseMs: 0,
      });
      endpoint.cacheEstimate.recordPrompt(prompt);
      this.#enginePlacement.recordSend(endpoint, prompt);
    }
    for (const id of begun) {
      const flight = this.#remoteRequests.get(id)?.endpoint.remoteRequests.get(id);
      if (flight !== undefined) flight.firstEventAtMs = clock.now();
    }
    for (const id of ended) {
      this.#removeRemoteRequest(id);
    }
    for (const [endpointId, value] of slowness) registry.find(endpointId)?.recordSlowness(value);
  }

  /** Forgets requests whose end was not told: the datagram was lost, or their instance has died. */
  #expireRemoteRequests(beforeMs: number): void {
    for (const [id, {atMs}] of this.#remoteRequests) {
      if (atMs >= beforeMs) return;
      this.#removeRemoteRequest(id);
    }
  }

  #removeRemoteRequest(id: string): void {
    this.#remoteRequests.get(id)?.endpoint.remoteRequests.delete(id);
    this.#remoteRequests.delete(id);
  }

  /** Requests of other instances that are believed to be under way. */
  get remoteRequestCount(): number {
    return this.#remoteRequests.size;
  }
}

function isSlow(slowness: number): boolean {
  return slowness >= PUBLISHED_SLOWNESS_THRESHOLD;
}

/** Leaves out endpoints that fail clearly more often than the best one. */
function excludeFailing(candidates: readonly Endpoint[]): readonly Endpoint[] {
  const least = Math.min(...candidates.map(({failureShare}) => failureShare));
  const sound = candidates.filter(
    ({failureShare}) => failureShare <= least + FAILURE_SHARE_TOLERANCE,
  );
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
