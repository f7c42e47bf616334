/** The attempts of one request that are in progress: one, or two while a second endpoint may replace a silent one. */
import type {Clock} from '@marigoldfold/runtime';

/** Reason given to the abort of an attempt that is not needed, since another one continues the response. */
export const SUPERSEDED = 'another attempt continues the response';
/**
 * Time, in milliseconds, for which two endpoints may work on a request. Endpoints must not do so for 400 ms; the rest
 * covers the time that the abort takes to arrive.
 */
export const MAX_OVERLAP_MS = 300;

/** Attempts in progress. Whichever sends the next part of the response continues it, and the others are aborted. */
export class AttemptRace {
  readonly #clock: Clock;
  /** IDs of the endpoints, by the controllers of their attempts, oldest first. */
  readonly #endpoints = new Map<AbortController, string>();
  #claimCount = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Number of attempts in progress. */
  get size(): number {
    return this.#endpoints.size;
  }

  /** IDs of the endpoints of the attempts in progress. */
  get endpointIds(): Iterable<string> {
    return this.#endpoints.values();
  }

  /** Number of times that an attempt has continued the response. */
  get claimCount(): number {
    return this.#claimCount;
  }

  /** Adds an attempt; aborting the controller ends it. */
  begin(endpointId: string): AbortController {
    const controller = new AbortController();
    this.#endpoints.set(controller, endpointId);
    return controller;
  }

  end(controller: AbortController): void {
    this.#endpoints.delete(controller);
  }

  /** Called before an attempt continues the response: aborts the others. */
  claim(winner: AbortController): void {
    this.#claimCount += 1;
    if (this.size === 1) return;
    for (const controller of this.#endpoints.keys()) {
      if (controller !== winner) controller.abort(SUPERSEDED);
    }
  }

  /**
   * Ends the overlap of two attempts if neither has continued the response by then, in favour of the one that is chosen
   * at that time.
   */
  limitOverlap(chooseFavoured: () => AbortController): Disposable {
    const {claimCount} = this;
    return this.#clock.schedule(MAX_OVERLAP_MS, () => {
      const favoured = chooseFavoured();
      if (this.#claimCount === claimCount && this.#endpoints.has(favoured)) this.claim(favoured);
    });
  }

  /** Aborts all attempts. */
  abort(reason: string): void {
    for (const controller of this.#endpoints.keys()) controller.abort(reason);
  }
}
