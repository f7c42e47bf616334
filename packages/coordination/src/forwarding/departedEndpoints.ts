/** Keeps what is known of endpoints whose records are gone, in case a record of the same lifetime comes back. */
import type {EndpointRecord} from '@marigoldfold/state';
import type {Endpoint} from './endpoint.js';

/** Lifetimes that are remembered; a later record of one that was forgotten counts as that of a new endpoint. */
const MAX_DEPARTED = 1000;
/** Lifetimes whose prompt cache estimate, the largest part of an endpoint's state, is remembered. */
const MAX_CACHE_ESTIMATES = 100;

/** Endpoints that are not registered, one per lifetime, oldest departure first. */
export class DepartedEndpoints {
  readonly #endpoints = new Map<string, Endpoint>();

  /** Remembers an endpoint whose record was removed or replaced by that of another lifetime. */
  add(endpoint: Endpoint): void {
    const lifetime = lifetimeOf(endpoint.record);
    this.#endpoints.delete(lifetime);
    this.#endpoints.set(lifetime, endpoint);
    let position = this.#endpoints.size;
    for (const [known, {cacheEstimate}] of this.#endpoints) {
      if (position <= MAX_CACHE_ESTIMATES) return;
      if (position > MAX_DEPARTED) this.#endpoints.delete(known);
      cacheEstimate.clear();
      position -= 1;
    }
  }

  /** Returns the endpoint of the record's lifetime and forgets it here; undefined if it is not known. */
  take(record: EndpointRecord): Endpoint | undefined {
    const lifetime = lifetimeOf(record);
    const endpoint = this.#endpoints.get(lifetime);
    this.#endpoints.delete(lifetime);
    return endpoint;
  }

  /** The lifetime of an id that departed last. */
  findLatest(id: string): Endpoint | undefined {
    let latest: Endpoint | undefined;
    for (const endpoint of this.#endpoints.values()) {
      if (endpoint.record.id === id) latest = endpoint;
    }
    return latest;
  }
}

/** Whether two records describe the same lifetime of an endpoint. */
export function isSameLifetime(one: EndpointRecord, other: EndpointRecord): boolean {
  return lifetimeOf(one) === lifetimeOf(other);
}

function lifetimeOf({id, startedAtMs, address}: EndpointRecord): string {
  return `${id} ${startedAtMs} ${address}`;
}
