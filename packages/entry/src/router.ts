/** Carries one request to an agent and its answer back, through breaks and moves. */
import {
  type Candidate,
  type Demand,
  type EndpointChoice,
  type RetryBudget,
} from '@marigoldfold/coordination';
import {
  type Failure,
  type Instance,
  type Load,
  refusal,
  type Work,
  type WorkEvent,
} from '@marigoldfold/protocol';
import {type Clock, type Logger, sleep} from '@marigoldfold/runtime';

import type {AgentLink, StartError, WorkEvents} from './agentLink.js';

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

/** A part of the answer that goes to the caller. */
export type RoutedEvent = Extract<WorkEvent, {kind: 'head' | 'chunk'}>;

/** How the answer ended. */
export type RoutedEnd =
  {readonly kind: 'whole'} | {readonly kind: 'failed'; readonly failure: Failure};

/** Events that are passed on, and how it ended. */
export type RoutedAnswer = AsyncGenerator<RoutedEvent, RoutedEnd>;

interface Attempt {
  readonly link: AgentLink;
  readonly work: Work;
  readonly instance: string;
  readonly signal: AbortSignal;
  lastChunk: number;
  hasStarted: boolean;
}

const MAX_RESUMES = 4;
const RESUME_DELAY_MS = 100;

/** Routes requests. */
export class Router {
  readonly #options: RouterOptions;

  constructor(options: RouterOptions) {
    this.#options = options;
  }

  /** Carries a request; aborting the signal means that the caller has gone. */
  async *route(request: RoutedRequest, signal: AbortSignal): RoutedAnswer {
    const {choice, retryBudget, linkTo} = this.#options;
    const excluded = new Set<string>();
    let failure: Failure | undefined;
    while (true) {
      const chosen = await choice.chooseFresh({...request.demand, excluded});
      if (chosen.isErr()) return {kind: 'failed', failure: failure ?? chosen.error};
      const {instance} = chosen.value;
      const attempt: Attempt = {
        link: linkTo(instance),
        work: request.work,
        instance: instance.name,
        signal,
        lastChunk: 0,
        hasStarted: false,
      };
      const end = yield* this.#attempt(attempt);
      if (end.kind === 'whole') {
        retryBudget.earn();
        return end;
      }
      failure = end.failure;
      if (signal.aborted || !isMovable(attempt, failure) || !retryBudget.spend()) return end;
      this.#logMove(request.work, chosen.value, failure);
      excluded.add(instance.name);
    }
  }

  /** One try at one agent. */
  async *#attempt(attempt: Attempt): RoutedAnswer {
    const {link, work, signal} = attempt;
    let opened = await link.start(work, signal);
    for (let resumes = 0; ; resumes += 1) {
      if (opened.isOk()) {
        const end = yield* this.#copy(attempt, opened.value);
        if (end !== undefined) return end;
      }
      if (signal.aborted) return this.#cancel(attempt);
      if (opened.isErr()) {
        const failure = this.#judgeStart(attempt, opened.error);
        if (failure !== undefined) return {kind: 'failed', failure};
      }
      if (resumes === MAX_RESUMES) break;
      await sleep(this.#options.clock, RESUME_DELAY_MS * 2 ** resumes, signal);
      opened = await link.resume(work.id, attempt.lastChunk, signal);
    }
    return {kind: 'failed', failure: await this.#giveUp(attempt)};
  }

  /** Passes events on; resolves to undefined when the connection broke before the end. */
  async *#copy(
    attempt: Attempt,
    events: WorkEvents,
  ): AsyncGenerator<RoutedEvent, RoutedEnd | undefined> {
    for await (const event of events) {
      switch (event.kind) {
        case 'queued':
          this.#observe(attempt, event.load);
          break;
        case 'started':
          attempt.hasStarted = true;
          break;
        case 'head':
          if (attempt.lastChunk === 0) yield event;
          break;
        case 'chunk':
          if (event.number <= attempt.lastChunk) break;
          if (event.number > attempt.lastChunk + 1) return undefined;
          attempt.lastChunk = event.number;
          yield event;
          break;
        case 'end':
          this.#observe(attempt, event.load);
          if (event.chunks !== attempt.lastChunk) return undefined;
          return {kind: 'whole'};
        case 'failed':
          this.#observe(attempt, event.load);
          return {kind: 'failed', failure: event.failure};
      }
    }
    return undefined;
  }

  #observe({instance}: Attempt, load: Load): void {
    this.#options.choice.observe(instance, load);
  }

  /** The failure that ends the attempt, or undefined when resuming makes sense. */
  #judgeStart(attempt: Attempt, error: StartError): Failure | undefined {
    switch (error.kind) {
      case 'refused':
        this.#observe(attempt, error.load);
        return error.failure;
      case 'unknown':
        // The agent lives but has no trace of the request: it is a later incarnation.
        this.#options.choice.bar(attempt.instance);
        return lost(attempt, 'the agent was restarted');
      case 'unreachable':
        this.#options.choice.bar(attempt.instance);
        if (error.maySent || attempt.hasStarted) return undefined;
        return refusal('endpoint_unreachable', error.message);
    }
  }

  async #cancel({link, work}: Attempt): Promise<RoutedEnd> {
    const cancelled = await link.cancel(work.id);
    if (cancelled.isErr()) {
      this.#options.logger.warn('cancel not delivered', {request: work.id});
    }
    const failure: Failure = {code: 'caller_gone', message: 'the caller has gone', ran: 'unknown'};
    return {kind: 'failed', failure};
  }

  /** Asks what became of a request whose agent does not answer any more. */
  async #giveUp(attempt: Attempt): Promise<Failure> {
    const withdrawn = await attempt.link.withdraw(attempt.work.id);
    if (withdrawn.isOk() && withdrawn.value === 'never-started') {
      return refusal('endpoint_unreachable', 'the agent could not be reached in time');
    }
    return lost(attempt, 'the agent stopped answering');
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
function isMovable(attempt: Attempt, failure: Failure): boolean {
  if (attempt.lastChunk > 0 || failure.code === 'bad_request') return false;
  if (failure.ran === 'no') return !finalRefusals.has(failure.code);
  if (failure.ran === 'yes') return false;
  const {task} = attempt.work;
  if (task.kind === 'generation') return true;
  // A claim keeps a second try from running the call again.
  return task.idempotencyKey !== undefined && failure.code !== 'call_outcome_unknown';
}

const finalRefusals: ReadonlySet<Failure['code']> = new Set([
  'idempotency_key_reused',
  'store_unavailable',
  'caller_gone',
]);

function lost(attempt: Attempt, message: string): Failure {
  return {code: 'answer_incomplete', message, ran: attempt.hasStarted ? 'yes' : 'unknown'};
}
