/** A model engine that reads prompts in chunks between the tokens of the streams that it runs. */
import type {Clock} from '@marigoldfold/runtime';
import {type CachedPart, PromptCache} from './promptCache.js';

/** How fast an engine is. */
export interface EngineStepCosts {
  /** Milliseconds of a step without requests. */
  readonly stepMs: number;
  /** Milliseconds that each running request adds to a step. */
  readonly stepMsPerRequest: number;
  /** Milliseconds that a thousand tokens of running requests add to a step. */
  readonly stepMsPerThousandTokens: number;
  /** Tokens of prompts that are read in a millisecond. */
  readonly readTokensPerMs: number;
  /** Tokens of prompts that are read in one step at most. */
  readonly stepReadTokens: number;
  /** Milliseconds from the end of reading to the first event, beside the steps. */
  readonly firstEventMs: number;
  readonly tokensPerEvent: number;
}

/** What an engine needs. */
export interface ChunkedPrefillEngineOptions {
  readonly clock: Clock;
  readonly stepCosts: EngineStepCosts;
  /** Requests that run at one time. */
  readonly slots: number;
  /** Tokens of cached prompt parts that are kept. */
  readonly cacheTokens: number;
  /** How long work takes at a time; 1 is usual. */
  readonly slownessAt: (nowMs: number) => number;
}

/** A request. */
export interface EngineJob {
  readonly id: string;
  /** 0 is first. */
  readonly rank: number;
  readonly parts: readonly CachedPart[];
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Takes an event of a stream: its number from 1, and whether it is the last. */
export type StreamEventListener = (number: number, isLast: boolean) => void;

interface Sequence {
  readonly job: EngineJob;
  readonly order: number;
  readonly listener: StreamEventListener;
  remainingPrefillTokens: number | undefined;
  generated: number;
  events: number;
}

/** The engine. */
export class ChunkedPrefillEngine {
  readonly #options: ChunkedPrefillEngineOptions;
  readonly #sequences = new Map<string, Sequence>();
  readonly #cache: PromptCache;
  #order = 0;
  #step: Disposable | undefined;
  /** Tokens of prompts that were read so far. */
  prefilledTokens = 0;

  constructor(options: ChunkedPrefillEngineOptions) {
    this.#options = options;
    this.#cache = new PromptCache(options.cacheTokens);
  }

  /** Requests that run. */
  get running(): number {
    return Math.min(this.#options.slots, this.#sequences.size);
  }

  /** Requests that wait for a slot. */
  get waiting(): number {
    return this.#sequences.size - this.running;
  }

  /** How long work takes now; 1 is usual. */
  get slowness(): number {
    return this.#options.slownessAt(this.#options.clock.now());
  }

  /** Whether a part of prompts is cached. */
  hasCached(part: string): boolean {
    return this.#cache.has(part);
  }

  /** Takes a request. */
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

  /** Gives a request up. */
  cancel(id: string): void {
    this.#sequences.delete(id);
  }

  /** Loses all requests and what was read. */
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

  /** The tokens that each prompt gets of the step. */
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
    // All events of a stream come later by the same time, so its pauses stay what they are.
    else
      clock.schedule(stepCosts.firstEventMs, () => {
        listener(number, isLast);
      });
  }
}
