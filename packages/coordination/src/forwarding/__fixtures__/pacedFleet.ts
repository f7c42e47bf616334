/** Instances with a placement each, and endpoints that start, fail and recover, on a virtual clock. */
import {seededRandom, silentLogger, VirtualClock} from '@marigoldfold/runtime';
import type {Endpoint} from '../endpoint.js';
import {EndpointRegistry} from '../endpointRegistry.js';
import {emptyUpdate, type PeerUpdate} from '../peerMessages.js';
import {Placement} from '../placement.js';
import type {PlacementRequest} from '../placementRequest.js';

export const SLOTS = 48;
/** Time to an answer of a warm endpoint, in milliseconds. */
export const ANSWER_MS = 80;
/** Latency objective, which an endpoint that is 1.6 times slower misses. */
export const OBJECTIVE_MS = 120;
/** Time from the answer to the end of the response, in milliseconds. */
const STREAM_MS = 300;
const PEER_DELAY_MS = 2;
const SERVICE = 'plain';

/** How an endpoint behaves for a request that is sent to it now. */
export interface Behavior {
  readonly isReachable: boolean;
  readonly isFailing: boolean;
  /** Time to an answer as a multiple of that of a warm endpoint. */
  readonly slowness: number;
}

export const warm: Behavior = {isReachable: true, isFailing: false, slowness: 1};

/** Counts of one endpoint. */
export interface EndpointCounts {
  sent: number;
  late: number;
  failed: number;
  unreachable: number;
  inFlight: number;
  maxInFlight: number;
}

interface Instance {
  readonly registry: EndpointRegistry;
  readonly placement: Placement;
}

/** Instances that share endpoints and requests at a steady rate. */
export class PacedFleet {
  readonly clock = new VirtualClock(1000);
  readonly counts = new Map<string, EndpointCounts>();
  readonly #random = seededRandom(7);
  readonly #instances: Instance[] = [];
  readonly #behaviors = new Map<string, () => Behavior>();
  /** Breaks off the requests in flight, by endpoint. */
  readonly #breaks = new Map<string, Set<() => void>>();
  #sequence = 0;

  constructor(instanceCount: number, warmIds: readonly string[]) {
    for (let index = 0; index < instanceCount; index += 1) this.#instances.push(this.#start(index));
    for (const id of warmIds) this.add(id, () => warm);
    for (const {registry} of this.#instances) registry.completeListing();
  }

  /** The endpoint as the first instance knows it. */
  endpointOf(id: string): Endpoint {
    return known(this.#instances[0]?.registry.find(id));
  }

  countsOf(id: string): EndpointCounts {
    return known(this.counts.get(id));
  }

  /** Adds an endpoint; `behavior` is read at each send. */
  add(id: string, behavior: () => Behavior): void {
    this.#behaviors.set(id, behavior);
    this.#breaks.set(id, new Set());
    const none = {sent: 0, late: 0, failed: 0, unreachable: 0, inFlight: 0, maxInFlight: 0};
    this.counts.set(id, none);
    const startedAtMs = this.clock.now();
    for (const {registry} of this.#instances)
      registry.put({
        id,
        service: SERVICE,
        address: `10.0.0.1:${this.#behaviors.size}`,
        failureDomain: 'a',
        slots: SLOTS,
        isLeaving: false,
        startedAtMs,
      });
  }

  remove(id: string): void {
    for (const {registry} of this.#instances) registry.remove(id);
  }

  /** Breaks off all requests in flight at an endpoint. */
  breakOff(id: string): void {
    for (const breakOne of [...known(this.#breaks.get(id))]) breakOne();
  }

  /** Sends requests, `perSecond` in all, for a time in milliseconds. */
  async run(perSecond: number, durationMs: number): Promise<void> {
    const endMs = this.clock.now() + durationMs;
    const gapMs = 1000 / perSecond;
    for (let atMs = this.clock.now() + gapMs; atMs <= endMs; atMs += gapMs) {
      const index = Math.floor(this.#random() * this.#instances.length);
      this.clock.schedule(atMs - this.clock.now(), () => {
        this.#send(known(this.#instances[index]), new Set());
      });
    }
    await this.clock.advance(durationMs);
  }

  #start(index: number): Instance {
    const {clock} = this;
    const registry = new EndpointRegistry({clock, logger: silentLogger});
    const publish = (update: Partial<PeerUpdate>) => {
      clock.schedule(PEER_DELAY_MS, () => {
        for (const [other, {placement}] of this.#instances.entries())
          if (other !== index) placement.applyPeerUpdate({...emptyUpdate(`i${index}`), ...update});
      });
    };
    const publisher = {
      publishSent: (sent: PeerUpdate['sent'][number]) => {
        publish({sent: [sent]});
      },
      publishFirstEvent: (id: string) => {
        publish({begun: [id]});
      },
      publishEnded: (id: string) => {
        publish({ended: [id]});
      },
      publishSlowness: (id: string, value: number) => {
        publish({slowness: [[id, value]]});
      },
      publishUnreachable: (id: string) => {
        publish({unreachable: [id]});
      },
      publishLimit: () => undefined,
      publishSpeed: () => undefined,
    };
    return {registry, placement: new Placement({clock, registry, publisher})};
  }

  #send(instance: Instance, excluded: ReadonlySet<string>): void {
    const {clock} = this;
    const {placement} = instance;
    this.#sequence += 1;
    const id = `r${this.#sequence}`;
    const parts = [{id, tokens: 100}];
    const request: PlacementRequest = {
      id,
      service: SERVICE,
      targetLeftMs: OBJECTIVE_MS,
      patienceLeftMs: 2000,
      pauseTargetMs: undefined,
      prompt: {parts, promptTokens: 100, maxOutputTokens: 10},
    };
    const endpoint = placement.choose(request, undefined, excluded);
    if (endpoint === undefined) throw new Error('a request was refused');
    const endpointId = endpoint.record.id;
    const counts = this.countsOf(endpointId);
    const inFlight = placement.startRequest(endpoint, request, undefined);
    const end = () => {
      placement.endRequest(endpoint, inFlight);
    };
    const sendElsewhere = () => {
      end();
      if (excluded.size < 2) this.#send(instance, new Set([...excluded, endpointId]));
    };
    const {isReachable, isFailing, slowness} = known(this.#behaviors.get(endpointId))();
    if (!isReachable) {
      counts.unreachable += 1;
      clock.schedule(1, () => {
        placement.recordUnreachable(endpoint);
        sendElsewhere();
      });
      return;
    }
    counts.sent += 1;
    counts.inFlight += 1;
    counts.maxInFlight = Math.max(counts.maxInFlight, counts.inFlight);
    const elapsedMs = ANSWER_MS * slowness * (0.95 + 0.1 * this.#random());
    const breaks = known(this.#breaks.get(endpointId));
    const leave = () => {
      counts.inFlight -= 1;
      breaks.delete(fail);
    };
    const fail = () => {
      leave();
      counts.failed += 1;
      timer[Symbol.dispose]();
      endpoint.recordResponse(true, inFlight.sentAtMs);
      placement.recordFailure(endpoint, inFlight.sentAtMs);
      sendElsewhere();
    };
    breaks.add(fail);
    let timer = clock.schedule(elapsedMs, () => {
      if (isFailing) {
        fail();
        return;
      }
      if (elapsedMs > OBJECTIVE_MS) counts.late += 1;
      placement.recordEvent(endpoint, inFlight);
      timer = clock.schedule(STREAM_MS, () => {
        leave();
        endpoint.resetBackoff();
        endpoint.recordResponse(false);
        end();
      });
    });
  }
}

function known<Value>(value: Value | undefined): Value {
  if (value === undefined) throw new Error('unknown to the fleet');
  return value;
}
