/** The endpoints of all services, as discovery tells of them. */
import type {Clock, Logger} from '@marigoldfold/runtime';
import type {EndpointRecord} from '@marigoldfold/state';
import {Endpoint} from './endpoint.js';

/** What the registry needs. */
export interface EndpointRegistryOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Told of each endpoint that is gone for good. */
  readonly onRemoved?: (id: string) => void;
}

/**
 * Time after the discovery's return within which a record that lapsed meanwhile may come back, in
 * milliseconds. Source: the platform's rule for its registrations.
 */
const LAPSE_GRACE_MS = 2000;

/** Keeps endpoints by id. */
export class EndpointRegistry {
  readonly #options: EndpointRegistryOptions;
  readonly #endpoints = new Map<string, Endpoint>();
  /** Endpoints whose records lapsed while discovery was away, until the grace is over. */
  readonly #lapsed = new Set<string>();
  #graceUntilMs = Number.NEGATIVE_INFINITY;

  constructor(options: EndpointRegistryOptions) {
    this.#options = options;
  }

  /** Endpoints of a service that may get work. */
  usable(service: string): Endpoint[] {
    const usable: Endpoint[] = [];
    for (const endpoint of this.#endpoints.values()) {
      const {record} = endpoint;
      if (record.service === service && !record.isLeaving) usable.push(endpoint);
    }
    return usable;
  }

  /** Number of endpoints. */
  get size(): number {
    return this.#endpoints.size;
  }

  find(id: string): Endpoint | undefined {
    return this.#endpoints.get(id);
  }

  /** Takes a record that is new or has changed. */
  put(record: EndpointRecord): void {
    const {clock, logger} = this.#options;
    this.#lapsed.delete(record.id);
    const known = this.#endpoints.get(record.id);
    if (known === undefined) this.#endpoints.set(record.id, new Endpoint(clock, record));
    else known.update(record);
    const state = record.isLeaving ? 'leaving' : 'ready';
    const {id, service, address} = record;
    logger.info('endpoint', {belief: 'endpoint', endpoint: id, service, address, state});
  }

  /** Takes the removal of a record; shortly after an outage of the discovery it may come back. */
  remove(id: string): void {
    const {clock, logger} = this.#options;
    if (!this.#endpoints.has(id)) return;
    if (clock.now() < this.#graceUntilMs) {
      this.#lapsed.add(id);
      logger.info('endpoint', {belief: 'endpoint', endpoint: id, state: 'lapsed'});
      return;
    }
    this.#removeNow(id);
  }

  /** Notes that discovery answers again after an outage. */
  startGracePeriod(): void {
    const {clock} = this.#options;
    this.#graceUntilMs = clock.now() + LAPSE_GRACE_MS;
    clock.schedule(LAPSE_GRACE_MS, () => {
      for (const id of this.#lapsed) this.#removeNow(id);
    });
  }

  #removeNow(id: string): void {
    this.#lapsed.delete(id);
    this.#endpoints.delete(id);
    this.#options.onRemoved?.(id);
    this.#options.logger.info('endpoint', {belief: 'endpoint', endpoint: id, state: 'gone'});
  }
}
