/** One try of a request at one agent: start, resume after breaks, and find out what became of it. */
import {
  type Failure,
  failureWith,
  type Load,
  type Work,
  type WorkEvent,
} from '@marigoldfold/protocol';
import {type Clock, type Logger, sleep} from '@marigoldfold/runtime';
import type {Result} from 'neverthrow';
import type {AgentClient, StartError, WorkEvents} from './agentClient.js';

/** A part of the answer that goes to the caller. */
export type RoutedEvent = Extract<WorkEvent, {kind: 'head' | 'chunk'}>;

/** How the answer ended. */
export type RoutedEnd =
  {readonly kind: 'whole'} | {readonly kind: 'failed'; readonly failure: Failure};

/** Events that are passed on, and how it ended. */
export type RoutedAnswer = AsyncGenerator<RoutedEvent, RoutedEnd>;

/** What an attempt needs. */
export interface AttemptOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly agentClient: AgentClient;
  readonly work: Work;
  /** Aborted when the caller has gone. */
  readonly signal: AbortSignal;
  /** Takes the load report of a refusal. */
  readonly onLoad: (load: Load) => void;
  /** Takes each event of the answer, repeated ones left out. */
  readonly onEvent: (event: WorkEvent) => void;
  /** Notes that the caller was slow to take a chunk. */
  readonly onSlowCaller: () => void;
  /** Notes that the agent could not be reached. */
  readonly onUnreachable: () => void;
}

const MAX_RESUMES = 4;
const RESUME_DELAY_MS = 100;
/** Agents send at least one event in a third of this time. */
const SILENCE_TIMEOUT_MS = 15_000;
const ACKNOWLEDGE_INTERVAL_CHUNKS = 256;
const MAX_WITHDRAWAL_CALLS = 2;
/** A caller that takes longer for a chunk spoils the measure of the next gap; engines' gaps are longer. */
const SLOW_CALLER_THRESHOLD_MS = 5;

/** One try at one agent. */
export class Attempt {
  readonly #options: AttemptOptions;
  /** The incarnation that the request was sent to. */
  #incarnation: string | undefined;
  /** Whether the agent may have received the request. */
  #mayHaveBeenReceived = false;
  #lastChunk = 0;
  #connectionController = new AbortController();

  constructor(options: AttemptOptions) {
    this.#options = options;
  }

  /** Number of chunks that were passed on. */
  get chunkCount(): number {
    return this.#lastChunk;
  }

  /** Runs the attempt to its end. */
  async *run(): RoutedAnswer {
    const {clock, agentClient, work, signal} = this.#options;
    let opened = await this.#start();
    this.#mayHaveBeenReceived =
      opened.isOk() || (opened.error.kind === 'unreachable' && opened.error.mayHaveBeenSent);
    let resumes = 0;
    while (true) {
      const chunksBefore = this.#lastChunk;
      if (opened.isOk()) {
        const end = yield* this.#forwardEvents(opened.value);
        if (end !== undefined) return end;
      }
      if (signal.aborted) return this.#cancel();
      if (opened.isErr()) {
        const failure = await this.#classifyStartError(opened.error);
        if (failure !== undefined) return {kind: 'failed', failure};
      }
      if (this.#lastChunk > chunksBefore) resumes = 0;
      if (resumes === MAX_RESUMES) break;
      await sleep(clock, RESUME_DELAY_MS * 2 ** resumes, signal);
      resumes += 1;
      opened = await agentClient.resume(work.id, this.#lastChunk, this.#createConnectionSignal());
    }
    return {kind: 'failed', failure: await this.#withdraw()};
  }

  /** Sends the request to a known incarnation, so that a later one cannot speak for it. */
  async #start(): Promise<Result<WorkEvents, StartError>> {
    const {agentClient, work} = this.#options;
    if (agentClient.incarnation === undefined) await agentClient.probe();
    this.#incarnation = agentClient.incarnation;
    const opened = await agentClient.start(
      {...work, agent: this.#incarnation},
      this.#createConnectionSignal(),
    );
    if (opened.isOk() || opened.error.kind !== 'refused') return opened;
    const {failure, load} = opened.error;
    if (failure.code !== 'stale_incarnation') return opened;
    this.#incarnation = load.incarnation;
    return agentClient.start({...work, agent: this.#incarnation}, this.#createConnectionSignal());
  }

  /** A signal for one connection; it is aborted as well when the caller has gone. */
  #createConnectionSignal(): AbortSignal {
    this.#connectionController = new AbortController();
    return AbortSignal.any([this.#connectionController.signal, this.#options.signal]);
  }

  /** Passes events on; resolves to undefined when the connection broke before the end. */
  async *#forwardEvents(events: WorkEvents): AsyncGenerator<RoutedEvent, RoutedEnd | undefined> {
    const {onEvent} = this.#options;
    for await (const event of this.#withSilenceTimeout(events)) {
      switch (event.kind) {
        case 'queued':
          onEvent(event);
          break;
        case 'alive':
          break;
        case 'started':
          onEvent(event);
          break;
        case 'head':
          if (this.#lastChunk === 0) yield event;
          break;
        case 'chunk':
          if (event.number <= this.#lastChunk) break;
          if (event.number > this.#lastChunk + 1) return undefined;
          this.#lastChunk = event.number;
          onEvent(event);
          yield* this.#forwardChunk(event);
          this.#acknowledge();
          break;
        case 'end':
          if (event.chunks !== this.#lastChunk) return undefined;
          onEvent(event);
          return {kind: 'whole'};
        case 'failed':
          onEvent(event);
          return {kind: 'failed', failure: event.failure};
      }
    }
    return undefined;
  }

  *#forwardChunk(chunk: RoutedEvent): Generator<RoutedEvent, void> {
    const {clock, onSlowCaller} = this.#options;
    const passedAtMs = clock.now();
    yield chunk;
    if (clock.now() - passedAtMs > SLOW_CALLER_THRESHOLD_MS) onSlowCaller();
  }

  /** Breaks the connection when nothing comes for too long; the time that the caller takes does not count. */
  async *#withSilenceTimeout(events: WorkEvents): AsyncGenerator<WorkEvent, void> {
    const connection = this.#connectionController;
    const iterator = events[Symbol.asyncIterator]();
    try {
      while (true) {
        const timer = this.#options.clock.schedule(SILENCE_TIMEOUT_MS, () => {
          connection.abort();
        });
        const next = await raceAbort(iterator.next(), connection.signal);
        timer[Symbol.dispose]();
        if (next === undefined || next.done === true) return;
        yield next.value;
      }
    } finally {
      // A connection that is silent may never settle, so its end is not waited for.
      void iterator.return?.();
    }
  }

  #acknowledge(): void {
    if (this.#lastChunk % ACKNOWLEDGE_INTERVAL_CHUNKS !== 0) return;
    const {agentClient, work} = this.#options;
    const connection = this.#connectionController;
    void agentClient.acknowledge(work.id, this.#lastChunk).then((acknowledged) => {
      // A resumed connection names the last chunk as well, so it takes the place of the lost call.
      if (acknowledged.isErr()) connection.abort();
    });
  }

  /** The failure that ends the attempt, or undefined when resuming makes sense. */
  async #classifyStartError(error: StartError): Promise<Failure | undefined> {
    const {onLoad, onUnreachable} = this.#options;
    switch (error.kind) {
      case 'refused':
        onLoad(error.load);
        return error.failure;
      case 'unknown':
        return this.#withdraw();
      case 'unreachable':
        onUnreachable();
        // That a resume was not sent says nothing of the request before it.
        return this.#mayHaveBeenReceived
          ? undefined
          : failureWith('not-sent', 'endpoint_unreachable', error.message);
    }
  }

  async #cancel(): Promise<RoutedEnd> {
    const {agentClient, work, logger} = this.#options;
    const cancelled = await agentClient.cancel(work.id);
    if (cancelled.isErr()) logger.warn('cancel not delivered', {request: work.id});
    const failure = failureWith(this.#runEvidence(), 'caller_gone', 'the caller has gone');
    return {kind: 'failed', failure};
  }

  /** Takes the request back and learns what became of it. */
  async #withdraw(): Promise<Failure> {
    const {clock, agentClient, work, signal} = this.#options;
    for (let tries = 1; tries <= MAX_WITHDRAWAL_CALLS; tries += 1) {
      const withdrawn = await agentClient.withdraw(work.id);
      if (withdrawn.isErr()) {
        await sleep(clock, RESUME_DELAY_MS, signal);
        continue;
      }
      const {outcome, incarnation} = withdrawn.value;
      if (incarnation !== this.#incarnation) {
        return failureWith(this.#runEvidence(), 'answer_incomplete', 'the agent was restarted');
      }
      if (outcome === 'never-started') {
        const message = 'the agent could not be reached in time';
        return failureWith('withdrawn', 'endpoint_unreachable', message);
      }
      return failureWith(
        this.#runEvidence(),
        'answer_incomplete',
        'the answer of the agent was lost',
      );
    }
    this.#options.onUnreachable();
    return failureWith(this.#runEvidence(), 'answer_incomplete', 'the agent stopped answering');
  }

  /** An agent that has started may still be about to reach its endpoint; only output is proof. */
  #runEvidence(): 'started' | 'no-answer' {
    return this.#lastChunk > 0 ? 'started' : 'no-answer';
  }
}

/** The value of a promise, or undefined once the signal is aborted. */
function raceAbort<T>(promise: Promise<T>, signal: AbortSignal): Promise<T | undefined> {
  return new Promise((resolve, reject) => {
    const abort = () => {
      resolve(undefined);
    };
    if (signal.aborted) abort();
    signal.addEventListener('abort', abort, {once: true});
    promise.then(resolve, reject).finally(() => {
      signal.removeEventListener('abort', abort);
    });
  });
}
