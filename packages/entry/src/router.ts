/** Carries one request to an agent and its answer back, through breaks and moves. */
import {
  type Candidate,
  type Demand,
  type EndpointChoice,
  type RetryBudget,
} from '@marigoldfold/coordination';
import {type Failure, type Instance, ranByAny, type Work} from '@marigoldfold/protocol';
import type {Clock, Logger} from '@marigoldfold/runtime';
import type {AgentLink} from './agentLink.js';
import {Attempt, type RoutedAnswer} from './attempt.js';

/** What a router needs. */
export interface RouterOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly choice: EndpointChoice;
  readonly retryBudget: RetryBudget;
  readonly linkTo: (instance: Instance) => AgentLink;
}

/** A request to carry. */
export interface RoutedRequest {
  readonly work: Work;
  readonly demand: Omit<Demand, 'excluded'>;
}

/** Routes requests. */
export class Router {
  readonly #options: RouterOptions;

  constructor(options: RouterOptions) {
    this.#options = options;
  }

  /** Carries a request; aborting the signal means that the caller has gone. */
  async *route(request: RoutedRequest, signal: AbortSignal): RoutedAnswer {
    const {choice, retryBudget} = this.#options;
    const excluded = new Set<string>();
    let failure: Failure | undefined;
    while (true) {
      const chosen = await choice.chooseFresh({...request.demand, excluded});
      if (chosen.isErr()) return {kind: 'failed', failure: failure ?? chosen.error};
      const {instance} = chosen.value;
      const attempt = this.#attempt(request.work, instance, signal);
      const end = yield* attempt.run();
      if (end.kind === 'whole') {
        retryBudget.earn();
        return end;
      }
      // The caller is told of all attempts: one that may have run outweighs a later refusal.
      const ran = ranByAny(failure?.ran ?? 'no', end.failure.ran);
      failure = {...end.failure, ran};
      if (signal.aborted || !isMovable(request.work, attempt, end.failure)) break;
      // A planned stop cuts nothing, so a move away from it is not counted as a retry.
      if (end.failure.code !== 'leaving' && !retryBudget.spend()) break;
      if (end.failure.ran !== 'no') void this.#options.linkTo(instance).cancel(request.work.id);
      this.#logMove(request.work, chosen.value, failure);
      excluded.add(instance.name);
    }
    return {kind: 'failed', failure};
  }

  #attempt(work: Work, instance: Instance, signal: AbortSignal): Attempt {
    const {clock, logger, choice, linkTo} = this.#options;
    return new Attempt({
      clock,
      logger,
      link: linkTo(instance),
      work,
      signal,
      observe: (load) => {
        choice.observe(instance.name, load);
      },
      onUnreachable: () => {
        choice.bar(instance.name);
      },
    });
  }

  #logMove(work: Work, from: Candidate, failure: Failure): void {
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

/** Whether the request may be tried elsewhere: it was not run, or running it twice does no harm. */
function isMovable(work: Work, attempt: Attempt, failure: Failure): boolean {
  if (attempt.chunkCount > 0 || finalCodes.has(failure.code)) return false;
  if (failure.ran === 'no') return true;
  // A generation changes nothing, and the claim of a keyed call keeps it from running again.
  return work.task.kind === 'generation' || work.task.idempotencyKey !== undefined;
}

/** Failures that would be the same elsewhere, or that a second try would hide. */
const finalCodes: ReadonlySet<Failure['code']> = new Set([
  'bad_request',
  'idempotency_key_reused',
  'call_outcome_unknown',
  'store_unavailable',
  'caller_gone',
  'timed_out',
]);
