/** Chooses the endpoint for a request and tracks the requests in flight. */
import type {Clock} from '@marigoldfold/runtime';
import type {Engine} from '@marigoldfold/state';
import type {PlacementRequest, PromptSize} from './placementRequest.js';
import {type Endpoint, REMOTE_REQUEST_TIMEOUT_MS} from './endpoint.js';
import {decodeLimit} from './endpointLimit.js';
import {boundId} from './boundedId.js';
import type {EndpointRegistry} from './endpointRegistry.js';
import {excludeFailing, excludeReported} from './endpointFilters.js';
import {EnginePlacement} from './enginePlacement.js';
import type {InFlightRequest} from './inFlightRequest.js';
import type {LoadReport} from './loadReport.js';
import type {PeerChannel} from './peerChannel.js';
import type {PeerUpdate} from './peerMessages.js';

/** Endpoint registry and optional peer publisher of a placement. */
export interface PlacementOptions {
  readonly clock: Clock;
  readonly registry: EndpointRegistry;
  /** Sends updates to other instances; absent when this is the only instance. */
  readonly publisher?: PeerPublisher;
  /** Called when a request of this or another instance has its first event. */
  readonly onBegun?: (prompt: PromptSize) => void;
}

/** Publishes sends, first events, ends, slowness and speeds to other instances. */
export type PeerPublisher = Pick<
  PeerChannel,
  | 'publishSent'
  | 'publishFirstEvent'
  | 'publishEnded'
  | 'publishSlowness'
  | 'publishSpeed'
  | 'publishUnreachable'
  | 'publishLimit'
>;

/**
 * Slowness from which an endpoint counts as slow; peers are told when this changes. The value lies between the
 * usual slowness, 1, and that caused by other load on the same machine.
 */
const PUBLISHED_SLOWNESS_THRESHOLD = 1.7;
/** Time after which peers are told again of an unchanged limit, in milliseconds, for those that have started since. */
const LIMIT_REPUBLISH_MS = 1000;
/** Number of consecutive gaps between events that one slowness measurement covers. */
const GAPS_PER_MEASUREMENT = 2;

/** Chooses endpoints and records the requests sent to them. */
export class Placement {
  readonly #options: PlacementOptions;
  readonly #enginePlacement: EnginePlacement;
  /** Longest latency objective of this instance's requests by service, by which answers to peers are judged. */
  readonly #objectives = new Map<string, number>();
  /** In-flight requests of other instances by id, oldest first. */
  readonly #remoteRequests = new Map<
    string,
    {readonly endpoint: Endpoint; readonly receivedAtMs: number}
  >();

  constructor(options: PlacementOptions) {
    this.#options = options;
    const {clock, registry} = options;
    this.#enginePlacement = new EnginePlacement({
      clock,
      onSpeedBandChanged: (endpoint) => {
        registry.logSpeed(endpoint);
      },
    });
  }

  /** Returns the best endpoint that is not excluded, or undefined if all are excluded. */
  choose(
    request: PlacementRequest,
    engine: Engine | undefined,
    excluded: ReadonlySet<string>,
  ): Endpoint | undefined {
    const usable = this.#options.registry.usable(request.service);
    const allowed = usable.filter(
      ({record, pausedForMs}) => !excluded.has(record.id) && pausedForMs === 0,
    );
    const reachable = allowed.filter((endpoint) => !endpoint.isBackedOff);
    // If all endpoints are in backoff, trying one of them is better than refusing the request.
    const responsive = reachable.length > 0 ? reachable : allowed;
    const open = responsive.filter(({withheldForMs}) => withheldForMs === 0);
    const healthy = excludeFailing(excludeReported(open));
    const candidates = this.#options.registry.paces.withinWindows(healthy);
    if (engine !== undefined && request.prompt !== undefined) {
      // A limit or a full window must not move endpoints between groups each time that it is reached.
      const group = responsive.filter(
        (endpoint) => endpoint.withheldForMs > 0 || healthy.includes(endpoint),
      );
      const isOpen = (endpoint: Endpoint) =>
        endpoint.withheldForMs === 0 && (candidates === healthy || candidates.includes(endpoint));
      return this.#enginePlacement.choose(request, request.prompt, engine, {group, isOpen});
    }
    return leastOccupied(candidates);
  }

  /** Returns the limited endpoint that is expected to take a request soonest, or undefined if there is none. */
  chooseLimited(service: string, excluded: ReadonlySet<string>): Endpoint | undefined {
    let soonest: Endpoint | undefined;
    for (const endpoint of this.#options.registry.usable(service)) {
      const {record, pausedForMs, limitPerSecond, isBackedOff} = endpoint;
      if (limitPerSecond === undefined || excluded.has(record.id)) continue;
      if (pausedForMs > 0 || isBackedOff) continue;
      if (soonest === undefined || endpoint.withheldForMs < soonest.withheldForMs)
        soonest = endpoint;
    }
    return soonest;
  }

  /**
   * Milliseconds until the first endpoint of a service accepts requests of this instance again; 0 if one does or there
   * is none.
   */
  closedForMs(service: string): number {
    const times = this.#options.registry
      .usable(service)
      .map(({pausedForMs, withheldForMs}) => Math.max(pausedForMs, withheldForMs));
    return times.length === 0 ? 0 : Math.min(...times);
  }

  /** Records that an endpoint stated in a response that it is leaving. */
  recordLeaving(endpoint: Endpoint): void {
    this.#options.registry.announceLeaving(endpoint);
  }

  /** Records for how long, in milliseconds, an endpoint wants no further request of this instance. */
  recordPause(endpoint: Endpoint, pauseMs: number): void {
    this.#options.registry.pause(endpoint, pauseMs);
    if (pauseMs > 0) this.#options.registry.paces.begin(endpoint);
  }

  /** Records the limit, in requests per second, of a response to a request that was sent at `sentAtMs`. */
  recordLimit(endpoint: Endpoint, perSecond: number | undefined, sentAtMs: number): void {
    const {clock, registry, publisher} = this.#options;
    const now = clock.now();
    const hasChanged = registry.recordLimit(endpoint, {perSecond, sentAtMs, receivedAtMs: now});
    const isDue =
      perSecond !== undefined && now - endpoint.limitPublishedAtMs >= LIMIT_REPUBLISH_MS;
    if (endpoint.limit === undefined || (!hasChanged && !isDue)) return;
    endpoint.limitPublishedAtMs = now;
    publisher?.publishLimit(endpoint.record.id, endpoint.limit);
  }

  /** Whether a request can meet its latency objective; without a prompt, only the remaining time is considered. */
  canMeetTarget(endpoint: Endpoint, request: PlacementRequest): boolean {
    const {prompt, targetLeftMs} = request;
    if (prompt === undefined) return targetLeftMs > 0;
    return this.#enginePlacement.canMeetTarget(endpoint, request, prompt);
  }

  /** Records that a request was sent to an endpoint and publishes it to other instances. */
  startRequest(
    endpoint: Endpoint,
    request: PlacementRequest,
    engine: Engine | undefined,
  ): InFlightRequest {
    const {prompt, pauseTargetMs, service, targetMs: objectiveMs = request.targetLeftMs} = request;
    const id = boundId(request.id);
    const uncachedTokens = prompt === undefined ? 0 : endpoint.cacheEstimate.uncachedTokens(prompt);
    const inFlight: InFlightRequest = {
      requestId: id,
      sentAtMs: this.#options.clock.now(),
      objectiveMs,
      prefillMs: uncachedTokens * this.#enginePlacement.timings(service).prefillMsPerToken,
      prompt,
      pauseTargetMs,
      uncachedTokens,
      firstEventAtMs: undefined,
      lastEventAtMs: undefined,
      lastGapMs: undefined,
      longestPauseMs: 0,
    };
    endpoint.localRequests.add(inFlight);
    this.#options.registry.paces.recordSend(endpoint, objectiveMs);
    this.#objectives.set(service, Math.max(objectiveMs, this.#objectives.get(service) ?? 0));
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
    return inFlight;
  }

  /** Records the time of a response event, from which timings and slowness are updated. */
  recordEvent(endpoint: Endpoint, inFlight: InFlightRequest): void {
    const now = this.#options.clock.now();
    const timings = this.#enginePlacement.timings(endpoint.record.service);
    if (inFlight.lastEventAtMs === undefined) {
      inFlight.firstEventAtMs = now;
      if (inFlight.prompt !== undefined) this.#options.onBegun?.(inFlight.prompt);
      this.#options.publisher?.publishFirstEvent(inFlight.requestId);
      this.#recordFirstEvent(endpoint, inFlight, now);
      timings.recordFirstEvent(inFlight.uncachedTokens, now - inFlight.sentAtMs);
    } else {
      this.#recordGap(endpoint, inFlight, now - inFlight.lastEventAtMs);
    }
    inFlight.lastEventAtMs = now;
  }

  #recordFirstEvent(
    endpoint: Endpoint,
    {sentAtMs, objectiveMs}: InFlightRequest,
    now: number,
  ): void {
    const answer = {elapsedMs: now - sentAtMs, objectiveMs, weight: 1};
    this.#options.registry.paces.recordAnswer(endpoint, answer);
  }

  /** Records that a response was complete; a plain one has no events that would have been recorded. */
  recordComplete(endpoint: Endpoint, inFlight: InFlightRequest): void {
    if (inFlight.firstEventAtMs !== undefined) return;
    this.#recordFirstEvent(endpoint, inFlight, this.#options.clock.now());
  }

  /** Records that an endpoint failed or refused a request that was sent at `sentAtMs`. */
  recordFailure(endpoint: Endpoint, sentAtMs: number): void {
    this.#options.registry.paces.recordFailure(endpoint, sentAtMs);
  }

  #recordGap(endpoint: Endpoint, inFlight: InFlightRequest, gapMs: number): void {
    const {lastGapMs} = inFlight;
    inFlight.lastGapMs = gapMs;
    inFlight.longestPauseMs = Math.max(inFlight.longestPauseMs, gapMs);
    // Two gaps are measured together: steps that produce several tokens make events alternate between early and late.
    if (lastGapMs === undefined) return;
    const previousSlowness = endpoint.slowness;
    const slowness = this.#enginePlacement.measureSlowness(
      endpoint,
      GAPS_PER_MEASUREMENT,
      lastGapMs + gapMs,
    );
    if (isSlow(slowness) !== isSlow(previousSlowness)) {
      this.#options.publisher?.publishSlowness(endpoint.record.id, slowness);
    }
    const {record, speed} = endpoint;
    const ratio = speed.takeStatement(this.#options.clock.now());
    if (ratio !== undefined)
      this.#options.publisher?.publishSpeed([record.id, record.startedAtMs, ratio]);
  }

  /** Records that a request at an endpoint has ended and publishes it to other instances. */
  endRequest(endpoint: Endpoint, inFlight: InFlightRequest): void {
    endpoint.localRequests.delete(inFlight);
    if (inFlight.prompt !== undefined) this.#options.publisher?.publishEnded(inFlight.requestId);
  }

  /** Records the load report of a response and publishes the reported slowness. */
  recordLoad(endpoint: Endpoint, report: LoadReport): void {
    endpoint.recordLoad(report);
    if (report.slowness === undefined) return;
    this.#options.publisher?.publishSlowness(endpoint.record.id, report.slowness);
  }

  /** Records that an endpoint could not be reached, or that another one answered at its address. */
  recordUnreachable(endpoint: Endpoint): void {
    endpoint.backOff();
    this.#options.registry.paces.begin(endpoint);
    this.#options.publisher?.publishUnreachable(endpoint.record.id);
  }

  /** Applies an update from another instance. */
  applyPeerUpdate(update: PeerUpdate): void {
    const {sent, begun, ended, slowness, speeds, unreachable, limits} = update;
    const {registry, clock} = this.#options;
    this.#expireRemoteRequests(clock.now() - REMOTE_REQUEST_TIMEOUT_MS);
    for (const [
      sentId,
      endpointId,
      uncachedTokens,
      promptTokens,
      maxOutputTokens,
      pauseMs,
      shared,
    ] of sent) {
      const endpoint = registry.find(endpointId);
      if (endpoint === undefined) continue;
      const id = boundId(sentId);
      const parts = shared.map(([part, tokens]) => ({id: boundId(part), tokens}));
      const sharedTokens = parts.reduce((sum, {tokens}) => sum + tokens, 0);
      parts.push({id, tokens: Math.max(0, promptTokens - sharedTokens)});
      const prompt = {parts, promptTokens, maxOutputTokens};
      this.#removeRemoteRequest(id);
      this.#remoteRequests.set(id, {endpoint, receivedAtMs: clock.now()});
      endpoint.remoteRequests.set(id, {
        requestId: id,
        sentAtMs: clock.now(),
        objectiveMs: this.#objectives.get(endpoint.record.service) ?? Number.POSITIVE_INFINITY,
        prefillMs:
          uncachedTokens * this.#enginePlacement.timings(endpoint.record.service).prefillMsPerToken,
        prompt,
        pauseTargetMs: pauseMs === 0 ? undefined : pauseMs,
        uncachedTokens,
        firstEventAtMs: undefined,
        lastEventAtMs: undefined,
        lastGapMs: undefined,
        longestPauseMs: 0,
      });
      endpoint.cacheEstimate.recordPrompt(prompt);
      this.#enginePlacement.recordSend(endpoint, prompt);
    }
    for (const id of begun.map(boundId)) {
      const endpoint = this.#remoteRequests.get(id)?.endpoint;
      const inFlight = endpoint?.remoteRequests.get(id);
      if (endpoint === undefined || inFlight === undefined) continue;
      const isDuplicate = inFlight.firstEventAtMs !== undefined;
      inFlight.firstEventAtMs = clock.now();
      if (!isDuplicate) this.#recordPeerAnswer(endpoint, inFlight);
      if (inFlight.prompt !== undefined) this.#options.onBegun?.(inFlight.prompt);
    }
    for (const id of ended.map(boundId)) {
      this.#removeRemoteRequest(id);
    }
    for (const [endpointId, value] of slowness) registry.find(endpointId)?.recordSlowness(value);
    for (const [endpointId, startedAtMs, ratio] of speeds) {
      const endpoint = registry.find(endpointId);
      if (endpoint?.record.startedAtMs === startedAtMs) endpoint.speed.recordReport(ratio);
    }
    for (const [endpointId, limit] of limits)
      registry.mergeLimit(endpointId, decodeLimit(limit, clock.now()));
    const reported = unreachable
      .map((endpointId) => registry.find(endpointId))
      .filter((endpoint) => endpoint !== undefined);
    for (const endpoint of reported) endpoint.recordReportedUnreachable();
    // Whether a report counts depends on how many endpoints are reported.
    for (const endpoint of reported) registry.paces.recordReported(endpoint);
  }

  #recordPeerAnswer(endpoint: Endpoint, {sentAtMs, objectiveMs}: InFlightRequest): void {
    const {registry, clock} = this.#options;
    const elapsedMs = clock.now() - sentAtMs;
    const weight = endpoint.requestsPerReported;
    registry.paces.recordPeerAnswer(endpoint, {elapsedMs, objectiveMs, weight});
  }

  /** Drops old requests whose end was not reported, because the datagram was lost or the sender crashed. */
  #expireRemoteRequests(beforeMs: number): void {
    for (const [id, {receivedAtMs}] of this.#remoteRequests) {
      if (receivedAtMs >= beforeMs) return;
      this.#removeRemoteRequest(id);
    }
  }

  #removeRemoteRequest(id: string): void {
    this.#remoteRequests.get(id)?.endpoint.remoteRequests.delete(id);
    this.#remoteRequests.delete(id);
  }

  /** Number of requests of other instances that are assumed to be in flight. */
  get remoteRequestCount(): number {
    return this.#remoteRequests.size;
  }
}

function isSlow(slowness: number): boolean {
  return slowness >= PUBLISHED_SLOWNESS_THRESHOLD;
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
