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
import type {AgentLink, StartError, WorkEvents} from './agentLink.js';

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
  readonly link: AgentLink;
  readonly work: Work;
  /** Aborted when the caller has gone. */
  readonly signal: AbortSignal;
  /** Takes the load report of a refusal. */
  readonly observe: (load: Load) => void;
  /** Takes each event of the answer, repeated ones left out. */
  readonly onEvent: (event: WorkEvent) => void;
  /** Notes that the caller was slow to take a chunk. */
  readonly onHeld: () => void;
  /** Notes that the agent could not be reached. */
  readonly onUnreachable: () => void;
}

const MAX_RESUMES = 4;
const RESUME_DELAY_MS = 100;
/** Agents send at least one event in a third of this time. */
const SILENCE_LIMIT_MS = 15_000;
const ACKNOWLEDGE_EVERY_CHUNKS = 256;
const WITHDRAWAL_TRIES = 2;
/** A caller that takes longer for a chunk spoils the measure of the next gap; engines' gaps are longer. */
const HELD_MS = 5;

/** One try at one agent. */
export class Attempt {
  readonly #options: AttemptOptions;
  /** The incarnation that the request was sent to. */
  #incarnation: string | undefined;
  /** Whether the agent may have received the request. */
  #maySent = false;
  #lastChunk = 0;
  #connection = new AbortController();

  constructor(options: AttemptOptions) {
    this.#options = options;
  }

  /** Number of chunks that were passed on. */
  get chunkCount(): number {
    return this.#lastChunk;
  }

  /** Runs the attempt to its end. */
  async *run(): RoutedAnswer {
    const {clock, link, work, signal} = this.#options;
    let opened = await this.#start();
    this.#maySent = opened.isOk() || (opened.error.kind === 'unreachable' && opened.error.maySent);
    let resumes = 0;
    while (true) {
      const chunksBefore = this.#lastChunk;
      if (opened.isOk()) {
        const end = yield* this.#copy(opened.value);
        if (end !== undefined) return end;
      }
      if (signal.aborted) return this.#cancel();
      if (opened.isErr()) {
        const failure = await this.#judgeStart(opened.error);
        if (failure !== undefined) return {kind: 'failed', failure};
      }
      if (this.#lastChunk > chunksBefore) resumes = 0;
      if (resumes === MAX_RESUMES) break;
      await sleep(clock, RESUME_DELAY_MS * 2 ** resumes, signal);
      resumes += 1;
      opened = await link.resume(work.id, this.#lastChunk, this.#connect());
    }
    return {kind: 'failed', failure: await this.#withdraw()};
  }

  /** Sends the request to a known incarnation, so that a later one cannot speak for it. */
  async #start(): Promise<Result<WorkEvents, StartError>> {
    const {link, work} = this.#options;
    if (link.incarnation === undefined) await link.probe();
    this.#incarnation = link.incarnation;
    const opened = await link.start({...work, agent: this.#incarnation}, this.#connect());
    if (opened.isOk() || opened.error.kind !== 'refused') return opened;
    const {failure, load} = opened.error;
    if (failure.code !== 'stale_incarnation') return opened;
    this.#incarnation = load.incarnation;
    return link.start({...work, agent: this.#incarnation}, this.#connect());
  }

  /** A signal for one connection; it is aborted as well when the caller has gone. */
  #connect(): AbortSignal {
    this.#connection = new AbortController();
    return AbortSignal.any([this.#connection.signal, this.#options.signal]);
  }

  /** Passes events on; resolves to undefined when the connection broke before the end. */
  async *#copy(events: WorkEvents): AsyncGenerator<RoutedEvent, RoutedEnd | undefined> {
    const {onEvent} = this.#options;
    for await (const event of this.#withinLimit(events)) {
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
          yield* this.#pass(event);
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

  *#pass(chunk: RoutedEvent): Generator<RoutedEvent, void> {
    const {clock, onHeld} = this.#options;
    const passedAtMs = clock.now();
    yield chunk;
    if (clock.now() - passedAtMs > HELD_MS) onHeld();
  }

  /** Breaks the connection when nothing comes for too long; the time that the caller takes does not count. */
  async *#withinLimit(events: WorkEvents): AsyncGenerator<WorkEvent, void> {
    const connection = this.#connection;
    const iterator = events[Symbol.asyncIterator]();
    try {
      while (true) {
        const timer = this.#options.clock.schedule(SILENCE_LIMIT_MS, () => {
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
    if (this.#lastChunk % ACKNOWLEDGE_EVERY_CHUNKS !== 0) return;
    const {link, work} = this.#options;
    const connection = this.#connection;
    void link.acknowledge(work.id, this.#lastChunk).then((acknowledged) => {
      // A resumed connection names the last chunk as well, so it takes the place of the lost call.
      if (acknowledged.isErr()) connection.abort();
    });
  }

  /** The failure that ends the attempt, or undefined when resuming makes sense. */
  async #judgeStart(error: StartError): Promise<Failure | undefined> {
    const {observe, onUnreachable} = this.#options;
    switch (error.kind) {
      case 'refused':
        observe(error.load);
        return error.failure;
      case 'unknown':
        return this.#withdraw();
      case 'unreachable':
        onUnreachable();
        // That a resume was not sent says nothing of the request before it.
        return this.#maySent
          ? undefined
          : failureWith('not-sent', 'endpoint_unreachable', error.message);
    }
  }

  async #cancel(): Promise<RoutedEnd> {
    const {link, work, logger} = this.#options;
    const cancelled = await link.cancel(work.id);
    if (cancelled.isErr()) logger.warn('cancel not delivered', {request: work.id});
    const failure = failureWith(this.#evidence(), 'caller_gone', 'the caller has gone');
    return {kind: 'failed', failure};
  }

  /** Takes the request back and learns what became of it. */
  async #withdraw(): Promise<Failure> {
    const {clock, link, work, signal} = this.#options;
    for (let tries = 1; tries <= WITHDRAWAL_TRIES; tries += 1) {
      const withdrawn = await link.withdraw(work.id);
      if (withdrawn.isErr()) {
        await sleep(clock, RESUME_DELAY_MS, signal);
        continue;
      }
      const {outcome, incarnation} = withdrawn.value;
      if (incarnation !== this.#incarnation) {
        return failureWith(this.#evidence(), 'answer_incomplete', 'the agent was restarted');
      }
      if (outcome === 'never-started') {
        const message = 'the agent could not be reached in time';
        return failureWith('withdrawn', 'endpoint_unreachable', message);
      }
      return failureWith(this.#evidence(), 'answer_incomplete', 'the answer of the agent was lost');
    }
    this.#options.onUnreachable();
    return failureWith(this.#evidence(), 'answer_incomplete', 'the agent stopped answering');
  }

  /** An agent that has started may still be about to reach its endpoint; only output is proof. */
  #evidence(): 'started' | 'no-answer' {
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
