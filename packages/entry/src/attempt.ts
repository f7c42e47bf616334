/** One attempt of a request at one agent: starts it, resumes it after broken connections, and determines its outcome. */
import {
  type Failure,
  createFailure,
  type Load,
  type WorkRequest,
  type WorkEvent,
} from '@marigoldfold/protocol';
import {type Clock, type Logger, sleep} from '@marigoldfold/runtime';
import type {Result} from 'neverthrow';
import type {AgentClient, StartError, WorkEvents} from './agentClient.js';

/** An event that is forwarded to the caller. */
export type RoutedEvent = Extract<WorkEvent, {kind: 'head' | 'chunk'}>;

/** Outcome of a routed request: a complete answer or a failure. */
export type RoutedEnd =
  {readonly kind: 'whole'} | {readonly kind: 'failed'; readonly failure: Failure};

/** Yields the events for the caller and returns the outcome. */
export type RoutedAnswer = AsyncGenerator<RoutedEvent, RoutedEnd>;

/** Request, agent and callbacks of one attempt. */
export interface AttemptOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly agentClient: AgentClient;
  readonly work: WorkRequest;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
  /** Called with the load report of a refusal. */
  readonly onLoad: (load: Load) => void;
  /** Called for each event of the answer, without events repeated by a resume. */
  readonly onEvent: (event: WorkEvent) => void;
  /** Called when the caller took longer than 5 ms to read a chunk. */
  readonly onSlowCaller: () => void;
  /** Called when the agent cannot be reached. */
  readonly onUnreachable: () => void;
}

const MAX_RESUMES = 4;
const RESUME_DELAY_MS = 100;
/**
 * Time without an event after which a connection is aborted: three times the longest interval between two events of
 * an agent.
 */
const SILENCE_TIMEOUT_MS = 15_000;
const ACKNOWLEDGE_INTERVAL_CHUNKS = 256;
const MAX_WITHDRAWAL_CALLS = 2;
/** Slower reads by the caller distort the next inter-token latency; the latencies of engines exceed this value. */
const SLOW_CALLER_THRESHOLD_MS = 5;

/** Runs one request at one agent; `run` may be called only once. */
export class Attempt {
  readonly #options: AttemptOptions;
  /** Incarnation of the agent that the request was sent to. */
  #incarnation: string | undefined;
  /** Whether the agent may have received the request. */
  #mayHaveBeenReceived = false;
  #lastChunk = 0;
  #connectionController = new AbortController();

  constructor(options: AttemptOptions) {
    this.#options = options;
  }

  /** Number of chunks that were forwarded. */
  get chunkCount(): number {
    return this.#lastChunk;
  }

  /** Starts the request and resumes its answer; only resumes that yield no new chunk count towards their limit. */
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

  /**
   * Sends the request with the agent's incarnation, so that reports of a restarted agent are not attributed to it.
   */
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

  /** Creates an abort signal for one connection, which is also aborted when the caller disconnects. */
  #createConnectionSignal(): AbortSignal {
    this.#connectionController = new AbortController();
    return AbortSignal.any([this.#connectionController.signal, this.#options.signal]);
  }

  /** Forwards events; returns undefined when the connection breaks before the end. */
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
    const forwardedAtMs = clock.now();
    yield chunk;
    if (clock.now() - forwardedAtMs > SLOW_CALLER_THRESHOLD_MS) onSlowCaller();
  }

  /** Aborts the connection when no event arrives in time; the time that the caller needs to read is excluded. */
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
      // The promise of a stalled connection may never settle, so it is not awaited.
      void iterator.return?.();
    }
  }

  #acknowledge(): void {
    if (this.#lastChunk % ACKNOWLEDGE_INTERVAL_CHUNKS !== 0) return;
    const {agentClient, work} = this.#options;
    const connection = this.#connectionController;
    void agentClient.acknowledge(work.id, this.#lastChunk).then((acknowledged) => {
      // Resuming the answer also acknowledges the last chunk, so the failed call need not be repeated.
      if (acknowledged.isErr()) connection.abort();
    });
  }

  /** The failure that ends the attempt, or undefined when resuming may succeed. */
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
        // That the resume was not sent does not show whether the agent received the start request before it.
        return this.#mayHaveBeenReceived
          ? undefined
          : createFailure('not-sent', 'endpoint_unreachable', error.message);
    }
  }

  async #cancel(): Promise<RoutedEnd> {
    const {agentClient, work, logger} = this.#options;
    const cancelled = await agentClient.cancel(work.id);
    if (cancelled.isErr())
      logger.warn('cancellation not delivered to the agent', {request: work.id});
    const failure = createFailure(this.#runEvidence(), 'caller_gone', 'the caller disconnected');
    return {kind: 'failed', failure};
  }

  /** Withdraws the request and returns the failure that matches its state at the agent. */
  async #withdraw(): Promise<Failure> {
    const {clock, agentClient, work, signal} = this.#options;
    for (let calls = 1; calls <= MAX_WITHDRAWAL_CALLS; calls += 1) {
      const withdrawn = await agentClient.withdraw(work.id);
      if (withdrawn.isErr()) {
        await sleep(clock, RESUME_DELAY_MS, signal);
        continue;
      }
      const {outcome, incarnation} = withdrawn.value;
      if (incarnation !== this.#incarnation) {
        return createFailure(this.#runEvidence(), 'answer_incomplete', 'the agent was restarted');
      }
      if (outcome === 'never-started') {
        const message = 'the agent could not be reached in time';
        return createFailure('withdrawn', 'endpoint_unreachable', message);
      }
      return createFailure(this.#runEvidence(), 'answer_incomplete', "the agent's answer was lost");
    }
    this.#options.onUnreachable();
    return createFailure(this.#runEvidence(), 'answer_incomplete', 'the agent stopped responding');
  }

  /** An agent sends `started` before its endpoint has the request, so only a chunk proves that the request ran. */
  #runEvidence(): 'started' | 'no-answer' {
    return this.#lastChunk > 0 ? 'started' : 'no-answer';
  }
}

/** Resolves to the value of a promise, or to undefined once the signal is aborted. */
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
