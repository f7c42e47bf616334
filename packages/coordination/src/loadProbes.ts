/** Requests load reports from endpoints on demand; concurrent requests for one endpoint share a probe. */
import {type Clock, sleep} from '@marigoldfold/runtime';
import type {Instance, Load} from '@marigoldfold/protocol';

/** Requests a load report from an agent; resolves to undefined without a response. */
export type Probe = (instance: Instance) => Promise<Load | undefined>;

/** Probe function, timeout and rate limit of load probes. */
export interface LoadProbesOptions {
  readonly clock: Clock;
  readonly probe: Probe;
  readonly observe: (instance: string, load: Load, sentAtMs: number) => void;
  /** Milliseconds after which `refresh` resolves without the missing reports. */
  readonly timeoutMs: number;
  /** Maximum probes per second; further probes are skipped. */
  readonly ratePerSecond: number;
}

const MS_PER_SECOND = 1000;

/** Sends probes to endpoints, at most `ratePerSecond`. */
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

  /** Probes instances; resolves when all have responded or after `timeoutMs`. */
  async refresh(instances: readonly Instance[]): Promise<void> {
    const probes: Promise<void>[] = [];
    for (const instance of instances) {
      const started = this.#startProbe(instance);
      if (started !== undefined) probes.push(started);
    }
    if (probes.length === 0) return;
    const {clock, timeoutMs} = this.#options;
    const timeout = new AbortController();
    await Promise.race([Promise.all(probes), sleep(clock, timeoutMs, timeout.signal)]);
    timeout.abort();
  }

  #startProbe(instance: Instance): Promise<void> | undefined {
    const pending = this.#pending.get(instance.name);
    if (pending !== undefined) return pending;
    if (!this.#takeAllowance()) return undefined;
    const started = this.#probe(instance);
    this.#pending.set(instance.name, started);
    return started;
  }

  async #probe(instance: Instance): Promise<void> {
    const {clock, probe, observe} = this.#options;
    const sentAtMs = clock.now();
    const load = await probe(instance);
    this.#pending.delete(instance.name);
    if (load !== undefined) observe(instance.name, load, sentAtMs);
  }

  #takeAllowance(): boolean {
    const {clock, ratePerSecond} = this.#options;
    const now = clock.now();
    const refilled = ((now - this.#refilledAtMs) / MS_PER_SECOND) * ratePerSecond;
    this.#allowance = Math.min(ratePerSecond, this.#allowance + refilled);
    this.#refilledAtMs = now;
    if (this.#allowance < 1) return false;
    this.#allowance -= 1;
    return true;
  }
}
