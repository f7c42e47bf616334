/** Checks whether an endpoint can be reached while a response of it is overdue. */
import type {Endpoint} from '@marigoldfold/coordination';
import type {Clock} from '@marigoldfold/runtime';

/** Clock and connection check of a reachability check. */
export interface ReachabilityOptions {
  readonly clock: Clock;
  /** Whether a process listens on an address; undefined if that is not known in time. */
  readonly isListening: (address: string, timeoutMs: number) => Promise<boolean | undefined>;
}

/** Timeout of a check, in milliseconds: a packet that is lost is sent again after 200 ms or more. */
export const REACHABILITY_CHECK_MS = 400;

interface Check {
  readonly atMs: number;
  readonly isReachable: Promise<boolean>;
}

/** Checks endpoints by what they have sent lately, or else by a connection; checks are shared by the streams. */
export class Reachability {
  readonly #options: ReachabilityOptions;
  readonly #checks = new WeakMap<Endpoint, Check>();

  constructor(options: ReachabilityOptions) {
    this.#options = options;
  }

  /**
   * Resolves to whether the endpoint can be reached, after at most `REACHABILITY_CHECK_MS`. A check that began at most
   * `maxAgeMs` ago is not repeated.
   */
  check(endpoint: Endpoint, maxAgeMs = REACHABILITY_CHECK_MS): Promise<boolean> {
    const {clock, isListening} = this.#options;
    const now = clock.now();
    if (now - endpoint.lastReceivedAtMs < REACHABILITY_CHECK_MS) return Promise.resolve(true);
    const recent = this.#checks.get(endpoint);
    if (recent !== undefined && now - recent.atMs < maxAgeMs) return recent.isReachable;
    const isReachable = isListening(endpoint.record.address, REACHABILITY_CHECK_MS).then(
      (result) => result === true || endpoint.lastReceivedAtMs >= now,
    );
    this.#checks.set(endpoint, {atMs: now, isReachable});
    return isReachable;
  }
}
