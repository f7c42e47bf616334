/** Begins and ends the paces of the endpoints of all services, and applies their windows to a choice. */
import type {Clock, Logger} from '@marigoldfold/runtime';
import {lowerMedian} from '../quantile.js';
import type {Endpoint} from './endpoint.js';
import {EndpointPace, MAX_BAD_SHARE, type PacedAnswer} from './endpointPace.js';

/** Weight of the newest answer in the late share of a service's established endpoints. */
const NEWEST_ANSWER_WEIGHT = 0.05;

/** Clock, logger and endpoints of all services. */
export interface EndpointPacesOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Whether new and recovered endpoints get a pace. */
  readonly isEnabled: boolean;
  /** Endpoints of a service that are not leaving. */
  readonly usable: (service: string) => readonly Endpoint[];
}

/** Begins, feeds and ends the paces of endpoints. */
export class EndpointPaces {
  readonly #options: EndpointPacesOptions;
  /** Part of the recent answers of established endpoints to this instance that were late, by service. */
  readonly #lateShares = new Map<string, number>();

  constructor(options: EndpointPacesOptions) {
    this.#options = options;
  }

  /**
   * Begins the pace of an endpoint that is new or was interrupted, at its initial window. If no endpoint of the service
   * is established then, all paces of the service end: nobody is left to take the work meanwhile.
   */
  begin(endpoint: Endpoint): void {
    if (!this.#options.isEnabled || endpoint.isLeaving) return;
    const {service, slots} = endpoint.record;
    const isBegun = endpoint.pace?.hasRisen === false;
    endpoint.isEstablished = false;
    // Failures before an interruption, such as streams cut off by it, tell nothing of the time after it.
    endpoint.failureShare = 0;
    endpoint.interruptedAtMs = this.#options.clock.now();
    const usable = this.#options.usable(service);
    if (!usable.some(({isEstablished}) => isEstablished)) {
      for (const other of usable) this.#end(other, 'none established');
      this.#end(endpoint, 'none established');
      return;
    }
    const pace = new EndpointPace({
      slots,
      onDecrease: (window, reason) => {
        this.#log(endpoint, 'lowered', {window, reason});
      },
    });
    endpoint.pace = pace;
    // An endpoint that stays unreachable is interrupted again by each attempt.
    if (!isBegun) this.#log(endpoint, 'begun', {window: pace.window});
  }

  /**
   * Handles the report of a peer that it cannot reach an endpoint. Reports of more than half of a service's endpoints are
   * ignored, since their senders may be cut off themselves. In a pace, the report counts as a failure only: one peer
   * whose link is cut must not keep the endpoint at its initial window.
   */
  recordReported(endpoint: Endpoint): void {
    if (endpoint.pace !== undefined) {
      endpoint.pace.recordFailure(this.#options.clock.now());
      return;
    }
    const usable = this.#options.usable(endpoint.record.service);
    const reportedCount = usable.filter(({isReportedUnreachable}) => isReportedUnreachable).length;
    if (reportedCount * 2 <= usable.length) this.begin(endpoint);
  }

  recordSend({pace}: Endpoint, objectiveMs: number): void {
    pace?.recordSend(this.#options.clock.now(), objectiveMs);
  }

  /** Records an answer to a request of this instance. */
  recordAnswer(endpoint: Endpoint, answer: PacedAnswer): void {
    if (endpoint.pace !== undefined) {
      this.#recordPaced(endpoint, endpoint.pace, answer);
      return;
    }
    endpoint.isEstablished = true;
    const {service} = endpoint.record;
    const lateShare = this.#lateShares.get(service) ?? 0;
    const newest = answer.elapsedMs > answer.objectiveMs ? 1 : 0;
    this.#lateShares.set(service, lateShare + NEWEST_ANSWER_WEIGHT * (newest - lateShare));
  }

  /** Records an answer to a request of another instance. */
  recordPeerAnswer(endpoint: Endpoint, answer: PacedAnswer): void {
    if (endpoint.pace === undefined) endpoint.isEstablished = true;
    else this.#recordPaced(endpoint, endpoint.pace, answer);
  }

  #recordPaced(endpoint: Endpoint, pace: EndpointPace, answer: PacedAnswer): void {
    // If the established endpoints are late as well, the service is overloaded, and lateness tells nothing of this one.
    const isServiceLate = (this.#lateShares.get(endpoint.record.service) ?? 0) > MAX_BAD_SHARE;
    const objectiveMs = isServiceLate ? Number.POSITIVE_INFINITY : answer.objectiveMs;
    pace.recordAnswer(this.#options.clock.now(), {...answer, objectiveMs});
    this.#endIfProven(endpoint, pace);
  }

  /** Records that a request which was sent at `sentAtMs` failed or was refused. */
  recordFailure(endpoint: Endpoint, sentAtMs: number): void {
    const {pace, interruptedAtMs} = endpoint;
    if (pace === undefined || sentAtMs < interruptedAtMs) return;
    pace.recordFailure(this.#options.clock.now());
    this.#endIfProven(endpoint, pace);
  }

  /**
   * Leaves out the endpoints that are at their windows. The windows do not bind if no candidate is established, or if
   * the remaining ones are full. Returns the same list if no candidate has a pace.
   */
  withinWindows(candidates: readonly Endpoint[]): readonly Endpoint[] {
    let pacedCount = 0;
    for (const {pace} of candidates) if (pace !== undefined) pacedCount += 1;
    if (pacedCount === 0 || pacedCount === candidates.length) return candidates;
    const nowMs = this.#options.clock.now();
    const open = candidates.filter((endpoint) => {
      const {pace} = endpoint;
      if (pace === undefined) return true;
      pace.checkSilence(nowMs);
      return endpoint.occupancy < pace.window;
    });
    const hasRoom = open.some(({occupancy, record}) => occupancy < record.slots);
    return hasRoom ? open : candidates;
  }

  #endIfProven(endpoint: Endpoint, pace: EndpointPace): void {
    const equalOccupancy = () =>
      lowerMedian(
        this.#options
          .usable(endpoint.record.service)
          .filter(({isEstablished}) => isEstablished)
          .map(({occupancy}) => occupancy),
      ) ?? 0;
    if (!pace.isProven(this.#options.clock.now(), equalOccupancy)) return;
    endpoint.isEstablished = true;
    this.#end(endpoint, 'proven');
  }

  #end(endpoint: Endpoint, reason: string): void {
    const {pace} = endpoint;
    if (pace === undefined) return;
    endpoint.pace = undefined;
    this.#log(endpoint, 'ended', {window: pace.window, reason});
  }

  #log(
    {record}: Endpoint,
    state: string,
    {window, reason}: {readonly window: number; readonly reason?: string},
  ): void {
    const rounded = Math.round(window * 10) / 10;
    const fields = {belief: 'endpoint', endpoint: record.id, state, window: rounded, reason};
    this.#options.logger.info('endpoint pace', fields);
  }
}
