/** Simulated engine with continuous batching: a batch of sequences advances in discrete steps. */
import type {Clock} from '@marigoldfold/runtime';
import type {Backend, BackendJob, TokenListener} from './backend.js';

/** Number of slots, step durations and prefill rate of a simulated engine. */
export interface EngineModelOptions {
  readonly clock: Clock;
  readonly slots: number;
  /** Duration of a step in milliseconds before `stepPerRequestMs` is added for each sequence. */
  readonly stepMs: number;
  /** Milliseconds that each sequence of the batch adds to a step. */
  readonly stepPerRequestMs: number;
  readonly prefillTokensPerSecond: number;
}

interface Sequence {
  readonly job: BackendJob;
  readonly order: number;
  readonly listener: TokenListener;
  generated: number;
  remainingPrefillTokens: number;
  pausedAtMs: number | undefined;
}

const MS_PER_SECOND = 1000;
/** After this time a paused request is prefilled again when it resumes. */
const PAUSED_STATE_RETENTION_MS = 30_000;
/** A step that also prefills prompts takes longer by this factor. */
const PREFILL_STEP_FACTOR = 1.1;

/** Runs up to `slots` sequences. Prompts are prefilled in order of priority and share one token rate. */
export class EngineModel implements Backend {
  readonly #options: EngineModelOptions;
  readonly #sequences = new Map<string, Sequence>();
  #lastOrder = 0;
  #slowdown = 1;
  #pendingStep: Disposable | undefined;
  recomputedTokens = 0;

  constructor(options: EngineModelOptions) {
    this.#options = options;
  }

  begin(job: BackendJob, listener: TokenListener): void {
    this.#lastOrder += 1;
    this.#sequences.set(job.id, {
      job,
      order: this.#lastOrder,
      listener,
      generated: 0,
      remainingPrefillTokens: job.promptTokens,
      pausedAtMs: undefined,
    });
    this.#scheduleIfIdle();
  }

  pause(id: string): void {
    const sequence = this.#sequences.get(id);
    if (sequence !== undefined) sequence.pausedAtMs = this.#options.clock.now();
  }

  resume(id: string): void {
    const sequence = this.#sequences.get(id);
    if (sequence?.pausedAtMs === undefined) return;
    if (this.#options.clock.now() - sequence.pausedAtMs > PAUSED_STATE_RETENTION_MS) {
      const contextTokens = sequence.job.promptTokens + sequence.generated;
      this.recomputedTokens += contextTokens - sequence.remainingPrefillTokens;
      sequence.remainingPrefillTokens = contextTokens;
    }
    sequence.pausedAtMs = undefined;
    this.#scheduleIfIdle();
  }

  crash(): void {
    this.#sequences.clear();
    this.#pendingStep?.[Symbol.dispose]();
    this.#pendingStep = undefined;
  }

  setSlowdown(factor: number): void {
    this.#slowdown = factor;
  }

  #scheduleIfIdle(): void {
    if (this.#pendingStep === undefined) this.#scheduleStep();
  }

  #scheduleStep(): void {
    const batch = this.#selectBatch();
    if (batch.length === 0) return;
    const {stepMs, stepPerRequestMs, clock} = this.#options;
    const isPrefilling = batch.some(({remainingPrefillTokens}) => remainingPrefillTokens > 0);
    const prefillFactor = isPrefilling ? PREFILL_STEP_FACTOR : 1;
    const durationMs = (stepMs + stepPerRequestMs * batch.length) * this.#slowdown * prefillFactor;
    this.#pendingStep = clock.schedule(durationMs, () => {
      // Requests that a listener begins or resumes join the next step.
      this.#advance(batch, durationMs / this.#slowdown);
      this.#pendingStep = undefined;
      this.#scheduleIfIdle();
    });
  }

  #advance(batch: readonly Sequence[], durationMs: number): void {
    let prefillBudget = (this.#options.prefillTokensPerSecond * durationMs) / MS_PER_SECOND;
    for (const sequence of batch) {
      if (sequence.pausedAtMs !== undefined) continue;
      if (sequence.remainingPrefillTokens > 0) {
        const readTokens = Math.min(prefillBudget, sequence.remainingPrefillTokens);
        sequence.remainingPrefillTokens -= readTokens;
        prefillBudget -= readTokens;
        continue;
      }
      sequence.generated += 1;
      if (sequence.generated === sequence.job.outputTokens) {
        this.#sequences.delete(sequence.job.id);
      }
      sequence.listener(sequence.generated);
    }
  }

  #selectBatch(): readonly Sequence[] {
    const active: Sequence[] = [];
    for (const sequence of this.#sequences.values()) {
      if (sequence.pausedAtMs === undefined) active.push(sequence);
    }
    active.sort((a, b) => a.job.priority - b.job.priority || a.order - b.order);
    return active.slice(0, this.#options.slots);
  }
}
