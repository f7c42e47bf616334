/** Reports measurements of one attempt to the endpoint selector, and moves the request while it is queued. */
import type {
  Candidate,
  ClassBaseline,
  EndpointCriteria,
  EndpointSelector,
  TrackedRequest,
} from '@marigoldfold/coordination';
import type {WorkRequest, WorkEvent} from '@marigoldfold/protocol';
import {type Clock, DisposableStore, type Logger, repeat} from '@marigoldfold/runtime';
import type {AgentClient} from './agentClient.js';

/** Request, chosen endpoint and endpoint selector of the attempt to observe. */
export interface AttemptObserverOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly endpointSelector: EndpointSelector;
  readonly baseline: ClassBaseline;
  readonly candidate: Candidate;
  readonly agentClient: AgentClient;
  readonly work: WorkRequest;
  readonly criteria: EndpointCriteria;
  /** Whether the request may be withdrawn from the agent's queue. */
  readonly canMove: boolean;
}

/** Interval of the search for a better endpoint while the request is queued. */
const COMPARE_INTERVAL_MS = 200;

/** Observes one attempt; must be disposed of when the attempt has ended, to stop the search for a better endpoint. */
export class AttemptObserver implements Disposable {
  readonly #options: AttemptObserverOptions;
  readonly #disposables = new DisposableStore();
  readonly #sentRequest: TrackedRequest;
  #startedAtMs: number;
  /** Undefined before the first chunk and after a slow read, when the next interval does not measure the endpoint. */
  #lastChunkAtMs: number | undefined;
  #hasStarted = false;
  #comparisons: Disposable | undefined;
  #moveTarget: Candidate | undefined;

  constructor(options: AttemptObserverOptions) {
    this.#options = options;
    const {endpointSelector, candidate, work, clock} = options;
    this.#sentRequest = this.#disposables.add(endpointSelector.trackRequest(candidate, work.tier));
    this.#startedAtMs = clock.now();
  }

  /** The endpoint that the request moves to after its withdrawal; undefined when it is not moved. */
  get moveTarget(): Candidate | undefined {
    return this.#moveTarget;
  }

  /** Updates load, start time and token latencies from an event of the answer. */
  onEvent(event: WorkEvent): void {
    const {endpointSelector, candidate, clock} = this.#options;
    switch (event.kind) {
      case 'queued':
        // The load report may not include requests that were sent after this one.
        endpointSelector.observe(candidate.instance.name, event.load, this.#sentRequest.sentAtMs);
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
        endpointSelector.observe(candidate.instance.name, event.load);
        break;
      case 'head':
      case 'alive':
        break;
    }
  }

  /** Excludes the time until the next chunk from the inter-token latency, since a slow caller caused it. */
  ignoreNextGap(): void {
    this.#lastChunkAtMs = undefined;
  }

  [Symbol.dispose](): void {
    this.#disposables[Symbol.dispose]();
  }

  /** Searches for a better endpoint until the request starts; later events show whether a withdrawal was in time. */
  #startComparisons(): void {
    if (this.#comparisons !== undefined || !this.#options.canMove) return;
    const {clock} = this.#options;
    const comparisons = repeat(
      clock,
      () => COMPARE_INTERVAL_MS,
      () => this.#moveIfBetter(),
    );
    this.#comparisons = this.#disposables.add(comparisons);
  }

  async #moveIfBetter(): Promise<void> {
    const {endpointSelector, candidate, criteria, agentClient, logger, work} = this.#options;
    const better = await endpointSelector.findBetterWithProbes(candidate.instance.name, criteria);
    if (better === undefined || this.#hasStarted) return;
    this.#comparisons?.[Symbol.dispose]();
    this.#moveTarget = better;
    const withdrawn = await agentClient.withdraw(work.id);
    logger.debug('withdrawal requested because another endpoint has a shorter wait', {
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
