/** A model engine as a batch that makes one step after another. */
import type {Clock} from '@marigoldfold/runtime';
import type {Backend, BackendJob, TokenListener} from './backend.js';

/** What an engine model needs. */
export interface EngineModelOptions {
  readonly clock: Clock;
  readonly slots: number;
  /** Duration of a step without a batch, in milliseconds. */
  readonly stepMs: number;
  /** What each request of the batch adds to a step, in milliseconds. */
  readonly stepPerRequestMs: number;
  readonly prefillTokensPerSecond: number;
}

interface Sequence {
  readonly job: BackendJob;
  readonly order: number;
  readonly listener: TokenListener;
  generated: number;
  prefillLeft: number;
  pausedAtMs: number | undefined;
}

const MS_PER_SECOND = 1000;
/** How long the state of a paused request is kept. */
const PAUSED_STATE_MS = 30_000;
/** How much longer a step is in which prompts are read as well. */
const PREFILL_STEP_FACTOR = 1.1;

/** The engine. Prompts are read in order of priority and share one rate. */
export class EngineModel implements Backend {
  readonly #options: EngineModelOptions;
  readonly #sequences = new Map<string, Sequence>();
  #order = 0;
  #slowdown = 1;
  #step: Disposable | undefined;
  recomputedTokens = 0;

  constructor(options: EngineModelOptions) {
    this.#options = options;
  }

  begin(job: BackendJob, listener: TokenListener): void {
    this.#order += 1;
    this.#sequences.set(job.id, {
      job,
      order: this.#order,
      listener,
      generated: 0,
      prefillLeft: job.promptTokens,
      pausedAtMs: undefined,
    });
    this.#wake();
  }

  pause(id: string): void {
    const sequence = this.#sequences.get(id);
    if (sequence !== undefined) sequence.pausedAtMs = this.#options.clock.now();
  }

  resume(id: string): void {
    const sequence = this.#sequences.get(id);
    if (sequence?.pausedAtMs === undefined) return;
    if (this.#options.clock.now() - sequence.pausedAtMs > PAUSED_STATE_MS) {
      const contextTokens = sequence.job.promptTokens + sequence.generated;
      this.recomputedTokens += contextTokens - sequence.prefillLeft;
      sequence.prefillLeft = contextTokens;
    }
    sequence.pausedAtMs = undefined;
    this.#wake();
  }

  crash(): void {
    this.#sequences.clear();
    this.#step?.[Symbol.dispose]();
    this.#step = undefined;
  }

  setSlowdown(factor: number): void {
    this.#slowdown = factor;
  }

  #wake(): void {
    if (this.#step === undefined) this.#schedule();
  }

  #schedule(): void {
    const batch = this.#batch();
    if (batch.length === 0) return;
    const {stepMs, stepPerRequestMs, clock} = this.#options;
    const isPrefilling = batch.some(({prefillLeft}) => prefillLeft > 0);
    const prefillFactor = isPrefilling ? PREFILL_STEP_FACTOR : 1;
    const durationMs = (stepMs + stepPerRequestMs * batch.length) * this.#slowdown * prefillFactor;
    this.#step = clock.schedule(durationMs, () => {
      // A listener may begin or resume requests; they wait for the next step.
      this.#advance(batch, durationMs / this.#slowdown);
      this.#step = undefined;
      this.#wake();
    });
  }

  #advance(batch: readonly Sequence[], durationMs: number): void {
    let prefillBudget = (this.#options.prefillTokensPerSecond * durationMs) / MS_PER_SECOND;
    for (const sequence of batch) {
      if (sequence.pausedAtMs !== undefined) continue;
      if (sequence.prefillLeft > 0) {
        const read = Math.min(prefillBudget, sequence.prefillLeft);
        sequence.prefillLeft -= read;
        prefillBudget -= read;
        continue;
      }
      sequence.generated += 1;
      if (sequence.generated === sequence.job.outputTokens) {
        this.#sequences.delete(sequence.job.id);
      }
      sequence.listener(sequence.generated);
    }
  }

  #batch(): readonly Sequence[] {
    const active: Sequence[] = [];
    for (const sequence of this.#sequences.values()) {
      if (sequence.pausedAtMs === undefined) active.push(sequence);
    }
    active.sort((a, b) => a.job.priority - b.job.priority || a.order - b.order);
    return active.slice(0, this.#options.slots);
  }
}
