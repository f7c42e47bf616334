/** Asks endpoints for their load on demand; requests that need the same answer share one probe. */
import {type Clock, sleep} from '@marigoldfold/runtime';
import type {Instance, Load} from '@marigoldfold/protocol';

/** Asks an agent for its load; undefined when it gives no answer. */
export type Probe = (instance: Instance) => Promise<Load | undefined>;

/** What probing needs. */
export interface LoadProbesOptions {
  readonly clock: Clock;
  readonly probe: Probe;
  readonly observe: (instance: string, load: Load, askedAtMs: number) => void;
  /** Milliseconds after which a choice goes on with what is known. */
  readonly timeoutMs: number;
  /** Probes a second that may be sent; beyond this, choices go by what is known. */
  readonly ratePerSecond: number;
}

const MS_PER_SECOND = 1000;

/** The probes of one entry. */
export class LoadProbes {
  readonly #options: LoadProbesOptions;
  readonly #pending = new Map<string, Promise<void>>();
  #allowance: number;
  #refilledAtMs: number;

  constructor(options: LoadProbesOptions) {
    this.#options = options;
    this.#allowance = options.ratePerSecond;
    this.#refilledAtMs = options.clock.now();
  }

  /** Resolves when all have answered or the time limit has passed. */
  async refresh(instances: readonly Instance[]): Promise<void> {
    const answers: Promise<void>[] = [];
    for (const instance of instances) {
      const answer = this.#startProbe(instance);
      if (answer !== undefined) answers.push(answer);
    }
    if (answers.length === 0) return;
    const {clock, timeoutMs} = this.#options;
    const limit = new AbortController();
    await Promise.race([Promise.all(answers), sleep(clock, timeoutMs, limit.signal)]);
    limit.abort();
  }

  #startProbe(instance: Instance): Promise<void> | undefined {
    const pending = this.#pending.get(instance.name);
    if (pending !== undefined) return pending;
    if (!this.#takeAllowance()) return undefined;
    const answer = this.#probe(instance);
    this.#pending.set(instance.name, answer);
    return answer;
  }

  async #probe(instance: Instance): Promise<void> {
    const {clock, probe, observe} = this.#options;
    const askedAtMs = clock.now();
    const load = await probe(instance);
    this.#pending.delete(instance.name);
    if (load !== undefined) observe(instance.name, load, askedAtMs);
  }

  #takeAllowance(): boolean {
    const {clock, ratePerSecond} = this.#options;
    const now = clock.now();
    const earned = ((now - this.#refilledAtMs) / MS_PER_SECOND) * ratePerSecond;
    this.#allowance = Math.min(ratePerSecond, this.#allowance + earned);
    this.#refilledAtMs = now;
    if (this.#allowance < 1) return false;
    this.#allowance -= 1;
    return true;
  }
}
