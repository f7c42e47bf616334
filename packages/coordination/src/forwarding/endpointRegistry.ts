/** Keeps the endpoints of all services that discovery reports. */
import type {Clock, Logger} from '@marigoldfold/runtime';
import type {EndpointRecord} from '@marigoldfold/state';
import {DepartedEndpoints, isSameLifetime} from './departedEndpoints.js';
import {Endpoint} from './endpoint.js';
import {EndpointPaces} from './endpointPaces.js';
import type {LimitNotice, LimitStatement} from './endpointLimit.js';

/** Clock, logger and removal callback of a registry. */
export interface EndpointRegistryOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Part of the requests of other processes that are reported to this one, above 0; 1 if absent. */
  readonly remoteCoverage?: () => number;
  /** Called for each endpoint that is removed, but not while it is only lapsed. */
  readonly onRemoved?: (id: string) => void;
  /** Whether new and recovered endpoints get a pace; they do by default. */
  readonly pacesEndpoints?: boolean;
}

/**
 * Grace period after a discovery outage, in milliseconds. A record that expired during the outage may be
 * registered again within this time. Source: the platform's rule for its registrations.
 */
const LAPSE_GRACE_MS = 2000;

/** Endpoints by id. Removals right after a discovery outage are delayed. */
export class EndpointRegistry {
  readonly #options: EndpointRegistryOptions;
  readonly #endpoints = new Map<string, Endpoint>();
  /**
   * Endpoints whose records were removed in a grace period, with the timer that ends it for them. A later outage does not
   * extend it, or outages in quick succession would keep an endpoint that has left in use.
   */
  readonly #lapsed = new Map<string, Disposable>();
  /**
   * What an endpoint has said and shown belongs to its lifetime and outlives its record: a late write may bring back the
   * record of an endpoint that has left, and a record that was replaced.
   */
  readonly #departed = new DepartedEndpoints();
  /** Whether the first listing of the store has been applied; its endpoints count as established. */
  #isListed = false;
  readonly paces: EndpointPaces;
  #graceUntilMs = Number.NEGATIVE_INFINITY;

  constructor(options: EndpointRegistryOptions) {
    this.#options = options;
    const {clock, logger, pacesEndpoints: isEnabled = true} = options;
    this.paces = new EndpointPaces({
      clock,
      logger,
      isEnabled,
      usable: (service) => this.usable(service),
    });
  }

  /** Ends the first listing of the store; an endpoint that appears later is new and has a pace. */
  completeListing(): void {
    this.#isListed = true;
  }

  /** Endpoints of a service that are not leaving. */
  usable(service: string): Endpoint[] {
    const usable: Endpoint[] = [];
    for (const endpoint of this.#endpoints.values()) {
      if (endpoint.record.service === service && !endpoint.isLeaving) usable.push(endpoint);
    }
    return usable;
  }

  /** Number of endpoints of all services, including leaving and lapsed ones. */
  get size(): number {
    return this.#endpoints.size;
  }

  find(id: string): Endpoint | undefined {
    return this.#endpoints.get(id);
  }

  /** Adds the endpoint of a discovery record, or updates the existing one with the same id. */
  put(record: EndpointRecord): void {
    const known = this.#findLifetime(record);
    const endpoint = known ?? this.#create(record);
    this.#endLapse(record.id);
    endpoint.update(record);
    this.#endpoints.set(record.id, endpoint);
    if (known === undefined && this.#isListed) this.paces.begin(endpoint);
    const state = endpoint.isLeaving ? 'leaving' : 'ready';
    const {id, service, address} = record;
    const {logger} = this.#options;
    logger.info('endpoint', {belief: 'endpoint', endpoint: id, service, address, state});
  }

  #create(record: EndpointRecord): Endpoint {
    const {clock, remoteCoverage} = this.#options;
    return new Endpoint(clock, record, remoteCoverage);
  }

  /** Windows of the endpoints that have a pace, by id. */
  *paceWindows(): Generator<readonly [id: string, window: number], void> {
    for (const [id, {pace}] of this.#endpoints) if (pace !== undefined) yield [id, pace.window];
  }

  /** The endpoint of a record's lifetime, with all that is known of it; undefined if nothing is. */
  #findLifetime(record: EndpointRecord): Endpoint | undefined {
    const existing = this.#endpoints.get(record.id);
    if (existing !== undefined) {
      if (isSameLifetime(existing.record, record)) return existing;
      this.#departed.add(existing);
    }
    return this.#departed.take(record);
  }

  /**
   * Applies a record of a copy that discovery was restored from. What is known to be newer stays: a later lifetime, the
   * announcement to leave, and that the endpoint has left; if it has not, it registers again.
   */
  putCopy(record: EndpointRecord): void {
    const known = this.#endpoints.get(record.id) ?? this.#departed.findLatest(record.id);
    const isDeparted = !this.#endpoints.has(record.id) && known !== undefined;
    const isOlder =
      known !== undefined &&
      (record.startedAtMs < known.record.startedAtMs ||
        (record.startedAtMs === known.record.startedAtMs &&
          (isDeparted || (known.isLeaving && !record.isLeaving))));
    if (!isOlder) {
      this.put(record);
      return;
    }
    const {id} = record;
    this.#options.logger.info('endpoint', {belief: 'endpoint', endpoint: id, state: 'outdated'});
  }

  /** Records that an endpoint stated in a response that it is leaving. */
  announceLeaving(endpoint: Endpoint): void {
    if (!endpoint.announceLeaving()) return;
    const {id} = endpoint.record;
    this.#options.logger.info('endpoint', {belief: 'endpoint', endpoint: id, state: 'leaving'});
  }

  /** Pauses an endpoint that refused a request and stated for how long, in milliseconds, it wants no other. */
  pause(endpoint: Endpoint, pauseMs: number): void {
    endpoint.pause(pauseMs);
    const {id} = endpoint.record;
    this.#options.logger.info('endpoint', {
      belief: 'endpoint',
      endpoint: id,
      state: 'paused',
      pauseMs,
    });
  }

  /** Applies the limit of an endpoint's response; returns whether the limit has changed. */
  recordLimit(endpoint: Endpoint, notice: LimitNotice): boolean {
    const hasChanged = endpoint.recordLimit(notice);
    if (hasChanged) this.#logLimit(endpoint);
    return hasChanged;
  }

  /** Applies what another instance states about the limit of an endpoint. */
  mergeLimit(id: string, statement: LimitStatement): void {
    const endpoint = this.#endpoints.get(id);
    if (endpoint?.mergeLimit(statement) === true) this.#logLimit(endpoint);
  }

  #logLimit({record, limitPerSecond: perSecond}: Endpoint): void {
    this.#options.logger.info('endpoint', {
      belief: 'endpoint',
      endpoint: record.id,
      state: perSecond === undefined ? 'unlimited' : 'limited',
      perSecond,
    });
  }

  /** Logs that an endpoint has entered or left the slow band of its service. */
  logSpeed({record, speed}: Endpoint): void {
    this.#options.logger.info('endpoint', {
      belief: 'endpoint',
      endpoint: record.id,
      state: speed.isSlow ? 'slow' : 'not slow',
      ratio: speed.ratio?.toFixed(2),
    });
  }

  /** Number of endpoints that have stated a limit. */
  get limitedCount(): number {
    let count = 0;
    for (const {limitPerSecond} of this.#endpoints.values()) {
      if (limitPerSecond !== undefined) count += 1;
    }
    return count;
  }

  /** Removes an endpoint; in the grace period it is only marked as lapsed, since it may register again. */
  remove(id: string): void {
    const {clock, logger} = this.#options;
    if (!this.#endpoints.has(id) || this.#lapsed.has(id)) return;
    const graceLeftMs = this.#graceUntilMs - clock.now();
    if (graceLeftMs <= 0) {
      this.#removeNow(id);
      return;
    }
    const timer = clock.schedule(graceLeftMs, () => {
      this.#removeNow(id);
    });
    this.#lapsed.set(id, timer);
    logger.info('endpoint', {belief: 'endpoint', endpoint: id, state: 'lapsed'});
  }

  /** Starts the grace period for records that are found to be removed, when discovery responds again after an outage. */
  startGracePeriod(): void {
    this.#graceUntilMs = this.#options.clock.now() + LAPSE_GRACE_MS;
  }

  #endLapse(id: string): void {
    this.#lapsed.get(id)?.[Symbol.dispose]();
    this.#lapsed.delete(id);
  }

  #removeNow(id: string): void {
    const endpoint = this.#endpoints.get(id);
    if (endpoint !== undefined) this.#departed.add(endpoint);
    this.#endLapse(id);
    this.#endpoints.delete(id);
    this.#options.onRemoved?.(id);
    this.#options.logger.info('endpoint', {belief: 'endpoint', endpoint: id, state: 'gone'});
  }
}
