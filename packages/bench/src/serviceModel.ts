/** Simulated plain service: the duration of a call does not depend on other calls. */
import type {Clock} from '@marigoldfold/runtime';
import type {Backend, BackendJob, TokenListener} from './backend.js';

/** Completes each call after the `callMs` of its request; an answer counts as one token. */
export class ServiceModel implements Backend {
  readonly #clock: Clock;
  readonly #calls = new Map<string, Disposable>();
  #slowdown = 1;
  readonly recomputedTokens = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  begin({id, callMs}: BackendJob, listener: TokenListener): void {
    const timer = this.#clock.schedule(callMs * this.#slowdown, () => {
      this.#calls.delete(id);
      listener(1);
    });
    this.#calls.set(id, timer);
  }

  pause(id: string): void {
    throw new Error(`call ${id} cannot be paused`);
  }

  resume(id: string): void {
    throw new Error(`call ${id} cannot be resumed`);
  }

  crash(): void {
    for (const timer of this.#calls.values()) timer[Symbol.dispose]();
    this.#calls.clear();
  }

  setSlowdown(factor: number): void {
    this.#slowdown = factor;
  }
}
