/**
 * Shares the limit of an endpoint among all instances: one of them, the home of the endpoint, issues the permits to send
 * to it, and the others ask the home.
 */
import type {Clock, Logger, Random} from '@marigoldfold/runtime';
import {rankMembers} from '../rendezvous.js';
import type {Endpoint} from './endpoint.js';
import {decodeLimit, encodeLimit} from './endpointLimit.js';
import type {EndpointRegistry} from './endpointRegistry.js';
import type {PermitMessage, PermitRequestMessage, PeerUpdate} from './peerMessages.js';
import {type Permit, PermitQueue, type PermitRequest} from './permitQueue.js';

/** Membership of the fleet and the channel to other instances. */
export interface EndpointPermitsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: Random;
  /** Name of this instance. */
  readonly self: string;
  readonly registry: Pick<EndpointRegistry, 'find' | 'mergeLimit'>;
  /** Names of the other instances. */
  readonly peers: () => readonly string[];
  /** Whether the other instances certainly know of this one; only then may it be a home. */
  readonly isRegistered: () => boolean;
  readonly send: (
    peer: string,
    update: Partial<Pick<PeerUpdate, 'permitRequests' | 'permits'>>,
  ) => void;
}

interface PendingRequest {
  readonly home: string;
  readonly resolve: (permit: Permit) => void;
}

/** Time for a home to respond, in milliseconds: a round trip within a region and an event loop turn. */
const RESPONSE_ALLOWANCE_MS = 60;
/** Time after which a home that does not respond is asked again, in milliseconds. */
const SILENT_HOME_RETRY_MS = 1000;
/** Time after which to ask again, in milliseconds, while instances differ in who is the home. */
const MOVING_HOME_RETRY_MS = 200;

/** Permits of this instance: issues those of the endpoints whose home it is, and gets the others from their homes. */
export class EndpointPermits implements Disposable {
  readonly #options: EndpointPermitsOptions;
  /** Permits of the limited endpoints whose home this instance is, by endpoint. */
  readonly #queues = new Map<string, PermitQueue>();
  readonly #pending = new Map<string, PendingRequest>();
  /** The first two instances in the ranking of an endpoint, by endpoint; computed on first use. */
  readonly #rankings = new Map<string, readonly string[]>();
  /** Distinguishes the requests of this process from those of an earlier one with the same name. */
  readonly #idPrefix: string;
  #nextId = 0;

  constructor(options: EndpointPermitsOptions) {
    this.#options = options;
    this.#idPrefix = options.random().toString(36).slice(2);
  }

  /** Resolves to whether a request may be sent to an endpoint; at once if the endpoint has no limit. */
  async acquire(endpoint: Endpoint, request: PermitRequest): Promise<Permit> {
    const {id} = endpoint.record;
    if (endpoint.limitPerSecond === undefined) return {isGranted: true};
    const {logger, clock, self} = this.#options;
    const startedAtMs = clock.now();
    const home = this.#homeOf(id);
    const permit = await (home === self
      ? this.#issue(id, request)
      : this.#requestFrom(home, endpoint, request));
    if (!permit.isGranted) endpoint.withhold(permit.retryAfterMs);
    logger.debug('permit', {
      endpoint: id,
      home,
      perSecond: endpoint.limitPerSecond,
      rank: request.rank,
      isGranted: permit.isGranted,
      waitedMs: Math.round(clock.now() - startedAtMs),
      ...(permit.isGranted ? {} : {retryAfterMs: permit.retryAfterMs}),
    });
    return permit;
  }

  /** Handles the permit requests and permits in an update of another instance. */
  receive({from, permitRequests, permits}: PeerUpdate): void {
    for (const request of permitRequests) void this.#respond(from, request);
    for (const permit of permits) this.#receivePermit(from, permit);
  }

  /** Drops the permits of endpoints whose home is another instance after a change of the fleet. */
  updateMembers(): void {
    this.#rankings.clear();
    for (const id of this.#queues.keys()) {
      if (this.#homeOf(id) !== this.#options.self) this.drop(id);
    }
  }

  /** Drops the permits of an endpoint; the requests that wait for one are denied. */
  drop(endpointId: string): void {
    this.#rankings.delete(endpointId);
    this.#queues.get(endpointId)?.[Symbol.dispose]();
    this.#queues.delete(endpointId);
  }

  [Symbol.dispose](): void {
    for (const id of this.#queues.keys()) this.drop(id);
  }

  /** The instance that issues the permits of an endpoint; undefined if there is none. */
  #homeOf(endpointId: string): string | undefined {
    const {self, peers, isRegistered} = this.#options;
    let ranking = this.#rankings.get(endpointId);
    if (ranking === undefined) {
      ranking = rankMembers(endpointId, [...peers(), self], (name) => name).slice(0, 2);
      this.#rankings.set(endpointId, ranking);
    }
    return ranking.find((name) => name !== self || isRegistered());
  }

  async #issue(endpointId: string, request: PermitRequest): Promise<Permit> {
    const perSecond = this.#options.registry.find(endpointId)?.limitPerSecond;
    if (perSecond === undefined) return {isGranted: true};
    let queue = this.#queues.get(endpointId);
    if (queue === undefined) {
      queue = new PermitQueue(this.#options.clock, perSecond);
      this.#queues.set(endpointId, queue);
    }
    queue.perSecond = perSecond;
    return await queue.request(request);
  }

  #requestFrom(
    home: string | undefined,
    endpoint: Endpoint,
    {rank, waitMs}: PermitRequest,
  ): Promise<Permit> {
    const {clock, send} = this.#options;
    const {limit, record} = endpoint;
    if (home === undefined || limit === undefined)
      return Promise.resolve({isGranted: false, retryAfterMs: MOVING_HOME_RETRY_MS});
    const id = `${this.#idPrefix}-${this.#nextId++}`;
    return new Promise((resolve) => {
      const timer = clock.schedule(waitMs + RESPONSE_ALLOWANCE_MS, () => {
        this.#pending.delete(id);
        resolve({isGranted: false, retryAfterMs: SILENT_HOME_RETRY_MS});
      });
      this.#pending.set(id, {
        home,
        resolve: (permit) => {
          timer[Symbol.dispose]();
          resolve(permit);
        },
      });
      const request = {
        id,
        endpoint: record.id,
        rank,
        waitMs,
        limit: encodeLimit(limit, clock.now()),
      };
      send(home, {permitRequests: [request]});
    });
  }

  async #respond(from: string, {id, endpoint, rank, waitMs, limit}: PermitRequestMessage) {
    const {clock, registry, self, send} = this.#options;
    registry.mergeLimit(endpoint, decodeLimit(limit, clock.now()));
    const isHome = this.#homeOf(endpoint) === self && registry.find(endpoint) !== undefined;
    const permit = isHome
      ? await this.#issue(endpoint, {rank, waitMs})
      : {isGranted: false, retryAfterMs: MOVING_HOME_RETRY_MS};
    const known = registry.find(endpoint)?.limit;
    send(from, {
      permits: [
        {
          id,
          endpoint,
          isGranted: permit.isGranted,
          retryAfterMs: 'retryAfterMs' in permit ? permit.retryAfterMs : 0,
          ...(known === undefined ? {} : {limit: encodeLimit(known, clock.now())}),
        },
      ],
    });
  }

  #receivePermit(from: string, {id, endpoint, isGranted, retryAfterMs, limit}: PermitMessage) {
    const {clock, registry} = this.#options;
    if (limit !== undefined) registry.mergeLimit(endpoint, decodeLimit(limit, clock.now()));
    const pending = this.#pending.get(id);
    if (pending?.home !== from) return;
    this.#pending.delete(id);
    pending.resolve(isGranted ? {isGranted} : {isGranted, retryAfterMs});
  }
}
