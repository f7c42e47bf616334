/** Sends requests to agents, with retries at other agents and moves between queues. */
import {
  type Candidate,
  ClassBaseline,
  type EndpointCriteria,
  type EndpointSelector,
  type RetryBudget,
} from '@marigoldfold/coordination';
import {
  type Failure,
  type Instance,
  movedRequestId,
  combineRan,
  refusal,
  type WorkRequest,
} from '@marigoldfold/protocol';
import {type Clock, isAborted, type Logger} from '@marigoldfold/runtime';
import {ok} from 'neverthrow';
import type {AgentClient} from './agentClient.js';
import {Attempt, type RoutedAnswer} from './attempt.js';
import {AttemptObserver} from './attemptObserver.js';

/** Endpoint selector, retry budget and agent clients that a router needs. */
export interface RouterOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly endpointSelector: EndpointSelector;
  readonly retryBudget: RetryBudget;
  readonly agentClientFor: (instance: Instance) => AgentClient;
}

/** A request with the criteria by which its endpoint is chosen. */
export interface RoutedRequest {
  readonly work: WorkRequest;
  readonly criteria: Omit<EndpointCriteria, 'excluded'>;
}

/** Failure of a request whose caller disconnects before the request is sent to an agent. */
const callerGone = refusal('caller_gone', 'the caller disconnected');
/** Maximum number of times that one request moves from an agent's queue to an endpoint with a shorter wait. */
const MAX_MOVES = 2;

/** Routes requests; the first-token baseline of a class is measured over all requests of the router. */
export class Router {
  readonly #options: RouterOptions;
  readonly #baseline = new ClassBaseline();

  constructor(options: RouterOptions) {
    this.#options = options;
  }

  /** Yields the events of the answer; the signal is aborted when the caller disconnects. */
  async *route(request: RoutedRequest, signal: AbortSignal): RoutedAnswer {
    const {endpointSelector, retryBudget} = this.#options;
    const excluded = new Set<string>();
    let failure: Failure | undefined;
    let moveTarget: Candidate | undefined;
    let moves = 0;
    while (true) {
      const criteria = {...request.criteria, excluded};
      const chosen =
        moveTarget === undefined
          ? await endpointSelector.chooseWithProbes(criteria)
          : ok(moveTarget);
      if (chosen.isErr()) return {kind: 'failed', failure: failure ?? chosen.error};
      if (isAborted(signal)) return {kind: 'failed', failure: failure ?? callerGone};
      const {instance} = chosen.value;
      // An agent refuses an id that was withdrawn from it, so a moved request gets a new one.
      const id = movedRequestId(request.work.id, moves);
      const work = {...request.work, id};
      using observer = this.#createObserver(work, chosen.value, criteria, moves < MAX_MOVES);
      const attempt = this.#createAttempt(work, instance, signal, observer);
      const end = yield* attempt.run();
      if (end.kind === 'whole') {
        retryBudget.recordSuccess();
        return end;
      }
      // `ran` covers all attempts: one that may have run takes precedence over a later refusal.
      const ran = combineRan(failure?.ran ?? 'no', end.failure.ran);
      failure = {...end.failure, ran};
      if (signal.aborted || !isRetryable(work, attempt, end.failure)) break;
      moveTarget = end.failure.code === 'withdrawn' ? observer.moveTarget : undefined;
      if (moveTarget !== undefined) moves += 1;
      // A draining agent has not failed, so leaving it does not use the retry budget.
      else if (end.failure.code !== 'leaving' && !retryBudget.takeRetry()) break;
      if (end.failure.ran !== 'no') void this.#options.agentClientFor(instance).cancel(id);
      this.#logMove(work, chosen.value, failure);
      if (moveTarget === undefined) excluded.add(instance.name);
    }
    return {kind: 'failed', failure};
  }

  #createObserver(
    work: WorkRequest,
    candidate: Candidate,
    criteria: EndpointCriteria,
    canMove: boolean,
  ): AttemptObserver {
    const {clock, logger, endpointSelector, agentClientFor} = this.#options;
    const {target} = criteria;
    // A call with an idempotency key is not moved from the endpoint that its key selects.
    const hasAffinity = target.kind === 'service' && target.affinityKey !== undefined;
    return new AttemptObserver({
      clock,
      logger,
      endpointSelector,
      baseline: this.#baseline,
      candidate,
      agentClient: agentClientFor(candidate.instance),
      work,
      criteria,
      canMove: canMove && !hasAffinity,
    });
  }

  #createAttempt(
    work: WorkRequest,
    instance: Instance,
    signal: AbortSignal,
    observer: AttemptObserver,
  ): Attempt {
    const {clock, logger, endpointSelector, agentClientFor} = this.#options;
    return new Attempt({
      clock,
      logger,
      agentClient: agentClientFor(instance),
      work,
      signal,
      onLoad: (load) => {
        endpointSelector.observe(instance.name, load);
      },
      onEvent: (event) => {
        observer.onEvent(event);
      },
      onSlowCaller: () => {
        observer.ignoreNextGap();
      },
      onUnreachable: () => {
        endpointSelector.recordFailure(instance.name);
      },
    });
  }

  #logMove(work: WorkRequest, from: Candidate, failure: Failure): void {
    this.#options.logger.info('moved', {
      decision: 'move',
      request: work.id,
      class: work.class,
      account: work.account,
      from: from.instance.name,
      code: failure.code,
      ran: failure.ran,
      configuration: work.configuration,
    });
  }
}

/** Whether the request may be sent to another agent: it was not run, or running it twice is harmless. */
function isRetryable(work: WorkRequest, attempt: Attempt, failure: Failure): boolean {
  if (attempt.chunkCount > 0 || nonRetryableCodes.has(failure.code)) return false;
  if (failure.ran === 'no') return true;
  // A generation has no side effects, and the claim of a call with a key prevents a second run.
  return work.task.kind === 'generation' || work.task.idempotencyKey !== undefined;
}

/** Codes of failures that would recur at another agent, or that the caller would not learn of after a retry. */
const nonRetryableCodes: ReadonlySet<Failure['code']> = new Set([
  'bad_request',
  'idempotency_key_reused',
  'call_outcome_unknown',
  'store_unavailable',
  'caller_gone',
  'timed_out',
]);
