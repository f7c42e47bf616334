/** Tells the choice of endpoints what one attempt shows, and moves the request while it waits in a queue. */
import type {
  Candidate,
  ClassBaseline,
  Demand,
  EndpointSelector,
  TrackedRequest,
} from '@marigoldfold/coordination';
import type {Work, WorkEvent} from '@marigoldfold/protocol';
import {type Clock, DisposableStore, type Logger, repeat} from '@marigoldfold/runtime';
import type {AgentClient} from './agentClient.js';

/** What an observer needs. */
export interface AttemptObserverOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly choice: EndpointSelector;
  readonly baseline: ClassBaseline;
  readonly candidate: Candidate;
  readonly agentClient: AgentClient;
  readonly work: Work;
  readonly demand: Demand;
  /** Whether the request may be taken back from the agent's queue. */
  readonly canMove: boolean;
}

/** Milliseconds between comparisons while a request waits. */
const COMPARE_INTERVAL_MS = 200;

/** Follows one attempt; disposed of when the attempt has ended. */
export class AttemptObserver implements Disposable {
  readonly #options: AttemptObserverOptions;
  readonly #disposables = new DisposableStore();
  readonly #sentRequest: TrackedRequest;
  #startedAtMs: number;
  /** When the last chunk came; undefined when the time since then says nothing of the endpoint. */
  #lastChunkAtMs: number | undefined;
  #hasStarted = false;
  #comparisons: Disposable | undefined;
  #moveTarget: Candidate | undefined;

  constructor(options: AttemptObserverOptions) {
    this.#options = options;
    const {choice, candidate, work, clock} = options;
    this.#sentRequest = this.#disposables.add(choice.trackRequest(candidate, work.tier));
    this.#startedAtMs = clock.now();
  }

  /** Where the request is to go after it was taken back; undefined when it was not. */
  get moveTarget(): Candidate | undefined {
    return this.#moveTarget;
  }

  /** Takes an event of the answer. */
  onEvent(event: WorkEvent): void {
    const {choice, candidate, clock} = this.#options;
    switch (event.kind) {
      case 'queued':
        // Requests that were sent after this one may not be in the report.
        choice.observe(candidate.instance.name, event.load, this.#sentRequest.sentAtMs);
        this.#startComparisons();
        break;
      case 'started':
        this.#comparisons?.[Symbol.dispose]();
        this.#hasStarted = true;
        this.#startedAtMs = clock.now();
        this.#sentRequest.recordStart();
        break;
      case 'chunk':
        this.#measureChunk(event.number);
        break;
      case 'end':
      case 'failed':
        choice.observe(candidate.instance.name, event.load);
        break;
      case 'head':
      case 'alive':
        break;
    }
  }

  /** Notes that the caller was slow to take a chunk; the gap before the next one is the caller's. */
  ignoreNextGap(): void {
    this.#lastChunkAtMs = undefined;
  }

  [Symbol.dispose](): void {
    this.#disposables[Symbol.dispose]();
  }

  /** Compares while the request waits; the agent's own answer tells whether it was taken back in time. */
  #startComparisons(): void {
    if (this.#comparisons !== undefined || !this.#options.canMove) return;
    const {clock} = this.#options;
    const watch = repeat(
      clock,
      () => COMPARE_INTERVAL_MS,
      () => this.#moveIfBetter(),
    );
    this.#comparisons = this.#disposables.add(watch);
  }

  async #moveIfBetter(): Promise<void> {
    const {choice, candidate, demand, agentClient, logger, work} = this.#options;
    const better = await choice.findBetterWithProbes(candidate.instance.name, demand);
    if (better === undefined || this.#hasStarted) return;
    this.#comparisons?.[Symbol.dispose]();
    this.#moveTarget = better;
    const withdrawn = await agentClient.withdraw(work.id);
    logger.debug('withdrawal for a move', {
      request: work.id,
      to: better.instance.name,
      outcome: withdrawn.isOk() ? withdrawn.value.outcome : withdrawn.error.code,
    });
  }

  #measureChunk(number: number): void {
    const {baseline, clock, work} = this.#options;
    if (work.task.kind === 'call') return;
    const now = clock.now();
    if (number === 1) {
      this.#sentRequest.observeFirstToken(
        baseline.observeRatio(work.class, now - this.#startedAtMs),
      );
    } else if (this.#lastChunkAtMs !== undefined) {
      this.#sentRequest.observeInterToken(now - this.#lastChunkAtMs);
    }
    this.#lastChunkAtMs = now;
  }
}
