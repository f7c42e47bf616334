/**
 * Simulated model engine with chunked prefill: each step reads part of the prompts and decodes the running streams.
 */
import type {Clock} from '@marigoldfold/runtime';
import {type CachedPart, PromptCache} from './promptCache.js';

/** Duration of engine steps and the number of tokens per event. */
export interface EngineStepCosts {
  /** Base duration of a step in milliseconds. */
  readonly stepMs: number;
  /** Milliseconds that each running request adds to a step. */
  readonly stepMsPerRequest: number;
  /** Milliseconds that each thousand context tokens of running requests add to a step. */
  readonly stepMsPerThousandTokens: number;
  /** Prefill speed in prompt tokens per millisecond. */
  readonly readTokensPerMs: number;
  /** Maximum number of prompt tokens that are prefilled in one step, over all requests. */
  readonly stepReadTokens: number;
  /** Constant delay of all events of a stream, in milliseconds; does not change the gaps between them. */
  readonly firstEventMs: number;
  readonly tokensPerEvent: number;
}

/** Clock, timing and capacity of a simulated engine. */
export interface ChunkedPrefillEngineOptions {
  readonly clock: Clock;
  readonly stepCosts: EngineStepCosts;
  /** Maximum number of running requests. */
  readonly slots: number;
  /** Capacity of the prefix cache in tokens. */
  readonly cacheTokens: number;
  /** Factor by which the duration of a step is multiplied at a given time; 1 is normal. */
  readonly slownessAt: (nowMs: number) => number;
}

/** A request to the simulated engine, with the lengths of its prompt and output in tokens. */
export interface EngineJob {
  readonly id: string;
  /** Lower ranks run first; 0 is the highest priority. */
  readonly rank: number;
  readonly parts: readonly CachedPart[];
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Receives an event of a stream: its number, from 1, and whether it is the last. */
export type StreamEventListener = (number: number, isLast: boolean) => void;

interface Sequence {
  readonly job: EngineJob;
  readonly order: number;
  readonly listener: StreamEventListener;
  remainingPrefillTokens: number | undefined;
  generated: number;
  events: number;
}

/** The simulated engine; requests beyond its slots wait in the order of rank and arrival. */
export class ChunkedPrefillEngine {
  readonly #options: ChunkedPrefillEngineOptions;
  readonly #sequences = new Map<string, Sequence>();
  readonly #cache: PromptCache;
  #order = 0;
  #step: Disposable | undefined;
  /** Number of prompt tokens prefilled so far. */
  prefilledTokens = 0;

  constructor(options: ChunkedPrefillEngineOptions) {
    this.#options = options;
    this.#cache = new PromptCache(options.cacheTokens);
  }

  /** Number of running requests. */
  get running(): number {
    return Math.min(this.#options.slots, this.#sequences.size);
  }

  /** Number of requests waiting for a slot. */
  get waiting(): number {
    return this.#sequences.size - this.running;
  }

  /** Factor by which the duration of a step is currently multiplied; 1 is normal. */
  get slowness(): number {
    return this.#options.slownessAt(this.#options.clock.now());
  }

  /** Whether a prompt part is in the prefix cache. */
  hasCached(part: string): boolean {
    return this.#cache.has(part);
  }

  /** Queues a request; `listener` receives its events. */
  submit(job: EngineJob, listener: StreamEventListener): void {
    this.#order += 1;
    this.#sequences.set(job.id, {
      job,
      order: this.#order,
      listener,
      remainingPrefillTokens: undefined,
      generated: 0,
      events: 0,
    });
    if (this.#step === undefined) this.#schedule();
  }

  /** Cancels a request; no further tokens are generated. */
  cancel(id: string): void {
    this.#sequences.delete(id);
  }

  /** Stops the engine and discards all requests; the contents of the prefix cache are kept. */
  stop(): void {
    this.#sequences.clear();
    this.#step?.[Symbol.dispose]();
    this.#step = undefined;
  }

  #schedule(): void {
    const batch = this.#batch();
    if (batch.length === 0) return;
    const prefillPlan = this.#planPrefill(batch);
    this.#step = this.#options.clock.schedule(this.#durationMs(batch, prefillPlan), () => {
      this.#advance(batch, prefillPlan);
      this.#step = undefined;
      this.#schedule();
    });
  }

  #batch(): readonly Sequence[] {
    const all = [...this.#sequences.values()];
    all.sort((a, b) => a.job.rank - b.job.rank || a.order - b.order);
    return all.slice(0, this.#options.slots);
  }

  /** Distributes the prefill tokens of a step over the prompts, in batch order. */
  #planPrefill(batch: readonly Sequence[]): ReadonlyMap<Sequence, number> {
    const prefillPlan = new Map<Sequence, number>();
    let left = this.#options.stepCosts.stepReadTokens;
    for (const sequence of batch) {
      const {job} = sequence;
      sequence.remainingPrefillTokens ??= Math.max(
        1,
        job.promptTokens - this.#cache.cachedTokens(job.parts),
      );
      if (sequence.remainingPrefillTokens === 0 || left === 0) continue;
      const tokens = Math.min(left, sequence.remainingPrefillTokens);
      prefillPlan.set(sequence, tokens);
      left -= tokens;
    }
    return prefillPlan;
  }

  #durationMs(batch: readonly Sequence[], prefillPlan: ReadonlyMap<Sequence, number>): number {
    const {stepCosts} = this.#options;
    let readTokens = 0;
    for (const tokens of prefillPlan.values()) readTokens += tokens;
    let contextTokens = 0;
    for (const {job, generated} of batch) contextTokens += job.promptTokens + generated;
    const nominalMs =
      stepCosts.stepMs +
      stepCosts.stepMsPerRequest * batch.length +
      (stepCosts.stepMsPerThousandTokens * contextTokens) / 1000 +
      readTokens / stepCosts.readTokensPerMs;
    return nominalMs * this.slowness;
  }

  #advance(batch: readonly Sequence[], prefillPlan: ReadonlyMap<Sequence, number>): void {
    for (const sequence of batch) {
      if (!this.#sequences.has(sequence.job.id)) continue;
      const read = prefillPlan.get(sequence);
      if (read !== undefined) this.#prefill(sequence, read);
      if (sequence.remainingPrefillTokens === 0) this.#generate(sequence);
    }
  }

  #prefill(sequence: Sequence, tokens: number): void {
    this.prefilledTokens += tokens;
    sequence.remainingPrefillTokens = (sequence.remainingPrefillTokens ?? 0) - tokens;
    if (sequence.remainingPrefillTokens === 0) this.#cache.add(sequence.job.parts);
  }

  #generate(sequence: Sequence): void {
    const {job} = sequence;
    const {tokensPerEvent} = this.#options.stepCosts;
    sequence.generated += 1;
    const isLast = sequence.generated >= job.outputTokens;
    if (isLast) this.#sequences.delete(job.id);
    if (sequence.generated % tokensPerEvent !== 0 && !isLast) return;
    sequence.events += 1;
    this.#emit(sequence, sequence.events, isLast);
  }

  #emit({listener}: Sequence, number: number, isLast: boolean): void {
    const {clock, stepCosts} = this.#options;
    if (stepCosts.firstEventMs === 0) listener(number, isLast);
    // All events of a stream are delayed by the same time, so the gaps between them do not change.
    else
      clock.schedule(stepCosts.firstEventMs, () => {
        listener(number, isLast);
      });
  }
}
