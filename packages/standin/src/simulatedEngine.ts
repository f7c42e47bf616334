/** Simulated model engine: continuous batching, priorities, streams that can be resumed and cancelled. */
import type {Clock} from '@marigoldfold/runtime';

/** Capacity and speed of an engine. */
export interface EngineSpeed {
  /** Maximum number of requests in the batch. */
  readonly slots: number;
  /** Prefill speed in prompt tokens per second. */
  readonly prefillTokensPerSecond: number;
  /** Inter-token latency in milliseconds for a batch size. */
  readonly interTokenMs: (batchSize: number) => number;
}

/** A request to generate text, with its priority and number of output tokens. */
export interface EngineRequest {
  readonly id: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Requests with lower values run first. */
  readonly priority: number;
  /** Returns the text of an output token; numbers start at 1. */
  readonly tokenText: (number: number) => string;
}

/** A generated token with its number in the answer, from 1. */
export interface Token {
  readonly number: number;
  readonly text: string;
  readonly isLast: boolean;
}

/** How the sending of one token fails. */
export type EngineFault =
  /** The connection is closed instead of sending the token. */
  | 'cut'
  /** The engine ends an incomplete answer as complete and drops the generation. */
  | 'done-early'
  /** Invalid JSON is sent instead of the token. */
  | 'garbage'
  /** The token is not sent. */
  | 'swallow'
  /** The token is sent twice. */
  | 'repeat';

/** Receives the tokens of one generation. */
export type EngineTokenListener = (token: Token) => void;

interface Generation {
  readonly request: EngineRequest;
  readonly order: number;
  generated: number;
  prefillLeftMs: number;
  listener: EngineTokenListener | undefined;
  pausedAtMs: number | undefined;
}

const MS_PER_SECOND = 1000;
const PAUSED_RETENTION_MS = 30_000;

/** The simulated engine. A generation without a listener is paused; its state is dropped after 30 s. */
export class SimulatedEngine implements Disposable {
  readonly #clock: Clock;
  readonly #generations = new Map<string, Generation>();
  #speed: EngineSpeed;
  #order = 0;
  #nextStep: Disposable | undefined;
  #isDisposed = false;
  /** Number of generated tokens. */
  tokensGenerated = 0;
  /** Chooses the fault of a token before it is sent; undefined for none. */
  chooseFault: ((id: string, token: number) => EngineFault | undefined) | undefined;
  /** Called with the ID of each new generation. */
  onBegin: ((id: string) => void) | undefined;
  /** While true, steps generate no tokens. */
  isHung = false;

  constructor(clock: Clock, speed: EngineSpeed) {
    this.#clock = clock;
    this.#speed = speed;
  }

  /** Number of generations, including paused ones. */
  get generationCount(): number {
    return this.#generations.size;
  }

  /** Changes the speed from the next step on. */
  setSpeed(speed: EngineSpeed): void {
    this.#speed = speed;
  }

  /** Starts a generation; false if the ID already exists. */
  begin(request: EngineRequest, listener: EngineTokenListener): boolean {
    if (this.#generations.has(request.id)) return false;
    const prefillLeftMs =
      (request.promptTokens / this.#speed.prefillTokensPerSecond) * MS_PER_SECOND;
    this.#order += 1;
    this.onBegin?.(request.id);
    this.#generations.set(request.id, {
      request,
      order: this.#order,
      generated: 0,
      prefillLeftMs,
      listener,
      pausedAtMs: undefined,
    });
    this.#ensureStepScheduled();
    return true;
  }

  /** Resumes a paused generation after a token number; false if its state no longer exists. */
  resume(id: string, after: number, listener: EngineTokenListener): boolean {
    const generation = this.#generations.get(id);
    if (generation === undefined || after > generation.generated) return false;
    generation.listener = listener;
    generation.pausedAtMs = undefined;
    for (let number = after + 1; number <= generation.generated; number += 1) {
      listener(toToken(generation, number));
    }
    if (generation.generated >= generation.request.outputTokens) this.#generations.delete(id);
    this.#ensureStepScheduled();
    return true;
  }

  /** Whether a generation exists, running or paused. */
  has(id: string): boolean {
    return this.#generations.has(id);
  }

  /** Pauses a generation and frees its slot, unless the generation has another listener by now. */
  pause(id: string, listener: EngineTokenListener): void {
    const generation = this.#generations.get(id);
    // A generation resumed on another connection has a newer listener and continues.
    if (generation?.listener !== listener) return;
    generation.listener = undefined;
    generation.pausedAtMs = this.#clock.now();
  }

  /** Drops a generation; false if it does not exist. */
  cancel(id: string): boolean {
    return this.#generations.delete(id);
  }

  /** Drops all paused generations. */
  cancelPaused(): void {
    for (const [id, {listener}] of this.#generations) {
      if (listener === undefined) this.#generations.delete(id);
    }
  }

  [Symbol.dispose](): void {
    this.#isDisposed = true;
    this.#nextStep?.[Symbol.dispose]();
    this.#generations.clear();
  }

  #ensureStepScheduled(): void {
    if (this.#nextStep === undefined && !this.#isDisposed) this.#scheduleStep();
  }

  #scheduleStep(): void {
    const batch = this.#batch();
    const stepMs = this.#speed.interTokenMs(Math.max(1, batch.length));
    this.#nextStep = this.#clock.schedule(stepMs, () => {
      this.#step(stepMs);
    });
  }

  #step(stepMs: number): void {
    if (!this.isHung) {
      for (const generation of this.#batch()) this.#advance(generation, stepMs);
    }
    this.#dropExpired();
    this.#nextStep = undefined;
    if (this.#generations.size > 0) this.#scheduleStep();
  }

  #advance(generation: Generation, stepMs: number): void {
    if (generation.prefillLeftMs > 0) {
      generation.prefillLeftMs -= stepMs;
      return;
    }
    generation.generated += 1;
    this.tokensGenerated += 1;
    const token = toToken(generation, generation.generated);
    if (token.isLast) this.#generations.delete(generation.request.id);
    generation.listener?.(token);
  }

  #batch(): readonly Generation[] {
    const active: Generation[] = [];
    for (const generation of this.#generations.values()) {
      if (generation.listener !== undefined) active.push(generation);
    }
    if (active.length <= this.#speed.slots) return active;
    active.sort((a, b) => a.request.priority - b.request.priority || a.order - b.order);
    return active.slice(0, this.#speed.slots);
  }

  #dropExpired(): void {
    const oldest = this.#clock.now() - PAUSED_RETENTION_MS;
    for (const [id, {pausedAtMs}] of this.#generations) {
      if (pausedAtMs !== undefined && pausedAtMs < oldest) this.#generations.delete(id);
    }
  }
}

function toToken({request}: Generation, number: number): Token {
  return {number, text: request.tokenText(number), isLast: number >= request.outputTokens};
}
