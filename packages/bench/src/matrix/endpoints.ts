/** Simulated engines and a plain service for the fault matrix, with faults on the messages from their agents. */
import {originalRequestId} from '@marigoldfold/protocol';
import type {CallFailure, Engine, EngineChunk, EngineEnd, PlainService} from '@marigoldfold/agent';
import {type Clock, sleep} from '@marigoldfold/runtime';
import {
  createAnswerText,
  type EngineSpeed,
  Ledger,
  SimulatedEngine,
  type Token,
} from '@marigoldfold/standin';
import type {CallOutcome} from '@marigoldfold/state';
import {err, ok, type Result} from 'neverthrow';
import {
  BREAK_DETECTION_MS,
  type MatrixFault,
  LATE_DELIVERY_MS,
  LATENCY_MS,
  OUTAGE_DURATION_MS,
  PAUSE_DURATION_MS,
  SLOW_MESSAGE_MS,
} from './faults.js';
import type {SimulatedProcess} from './simulatedProcess.js';

/** Number of tokens in each answer. */
export const OUTPUT_TOKENS = 5;
const PROMPT_TOKENS = 4;

/** A simulated engine that can crash and hang, and that records the ids of the generations it started. */
export class MatrixEngine {
  readonly startedIds = new Set<string>();
  readonly #clock: Clock;
  readonly #speed: EngineSpeed;
  #engine: SimulatedEngine;
  #unreachableUntilMs = 0;

  constructor(clock: Clock, speed: EngineSpeed) {
    this.#clock = clock;
    this.#speed = speed;
    this.#engine = new SimulatedEngine(clock, speed);
  }

  /** Number of generations that the engine holds. */
  get generationCount(): number {
    return this.#engine.generationCount;
  }

  /** Replaces the engine by an empty one, so all its generations are lost. */
  crash(): void {
    this.#engine[Symbol.dispose]();
    this.#engine = new SimulatedEngine(this.#clock, this.#speed);
  }

  /** Stops all progress for `PAUSE_DURATION_MS`. */
  hang(): void {
    const engine = this.#engine;
    engine.isHung = true;
    this.#clock.schedule(PAUSE_DURATION_MS, () => {
      engine.isHung = false;
    });
  }

  /** The engine as seen by one incarnation of its agent. */
  connect(
    process: SimulatedProcess,
    takeFault: (point: 'engine-begin' | 'engine-stream', id: string) => MatrixFault | undefined,
  ): Engine {
    return {
      begin: (job, signal) => this.#begin(process, job.id, signal, takeFault),
      resume: (id, after, signal) =>
        this.#stream(process, id, signal, takeFault, (listener) =>
          this.#engine.resume(id, after, listener),
        ),
      cancel: async (id) => {
        await sleep(this.#clock, LATENCY_MS);
        await process.waitUntilRunning();
        this.#engine.cancel(id);
      },
    };
  }

  async *#begin(
    process: SimulatedProcess,
    id: string,
    signal: AbortSignal,
    takeFault: (point: 'engine-begin' | 'engine-stream', id: string) => MatrixFault | undefined,
  ): AsyncGenerator<EngineChunk, EngineEnd> {
    const fault = takeFault('engine-begin', id);
    if (fault === 'cut-off') this.#unreachableUntilMs = this.#clock.now() + OUTAGE_DURATION_MS;
    if (fault === 'slow') await sleep(this.#clock, SLOW_MESSAGE_MS, signal);
    if (fault === 'request-lost') return {kind: 'broken', mayHaveBeenSent: true};
    if (fault === 'late') {
      this.#clock.schedule(LATE_DELIVERY_MS, () => {
        if (this.#start(id, () => undefined)) this.#engine.pause(id, () => undefined);
      });
      return {kind: 'broken', mayHaveBeenSent: true};
    }
    if (fault === 'endpoint-pause') this.hang();
    const end = yield* this.#stream(process, id, signal, takeFault, (listener) => {
      const isNew = this.#start(id, listener);
      if (fault === 'duplicate') this.#start(id, listener);
      if (fault === 'endpoint-crash') this.crash();
      if (fault === 'agent-crash') process.crash();
      if (fault === 'agent-pause') process.pause(PAUSE_DURATION_MS);
      if (fault === 'answer-lost') return false;
      return isNew;
    });
    // An engine rejects the id of a generation that it already holds.
    if (end.kind === 'unknown') {
      if (fault === 'answer-lost') return {kind: 'broken', mayHaveBeenSent: true};
      return {kind: 'refused', status: 409, message: 'duplicate request id'};
    }
    return end;
  }

  #start(id: string, listener: (token: Token) => void): boolean {
    this.startedIds.add(originalRequestId(id));
    const request = {id, promptTokens: PROMPT_TOKENS, outputTokens: OUTPUT_TOKENS, priority: 0};
    return this.#engine.begin(
      {...request, tokenText: createAnswerText(originalRequestId(id))},
      listener,
    );
  }

  async *#stream(
    process: SimulatedProcess,
    id: string,
    signal: AbortSignal,
    takeFault: (point: 'engine-begin' | 'engine-stream', id: string) => MatrixFault | undefined,
    open: (listener: (token: Token) => void) => boolean,
  ): AsyncGenerator<EngineChunk, EngineEnd> {
    const engine = this.#engine;
    const tokens: Token[] = [];
    let wake: () => void = () => undefined;
    const listener = (token: Token) => {
      tokens.push(token);
      wake();
    };
    await sleep(this.#clock, LATENCY_MS, signal);
    await process.waitUntilRunning();
    if (this.#clock.now() < this.#unreachableUntilMs)
      return {kind: 'broken', mayHaveBeenSent: false};
    if (!open(listener)) return {kind: 'unknown'};
    try {
      while (true) {
        await process.waitUntilRunning();
        if (signal.aborted || engine !== this.#engine)
          return {kind: 'broken', mayHaveBeenSent: true};
        const token = tokens.shift();
        if (token === undefined) {
          const woken = waitForWake((resolve) => (wake = resolve), signal);
          await Promise.race([woken, sleep(this.#clock, BREAK_DETECTION_MS, signal)]);
          wake();
          continue;
        }
        const fault = takeFault('engine-stream', id);
        if (fault === 'answer-lost') continue;
        if (fault === 'late') return {kind: 'broken', mayHaveBeenSent: true};
        if (fault === 'slow') await sleep(this.#clock, SLOW_MESSAGE_MS, signal);
        if (fault === 'endpoint-pause') this.hang();
        if (fault === 'endpoint-crash') this.crash();
        if (fault === 'agent-crash') process.crash();
        if (fault === 'agent-pause') process.pause(PAUSE_DURATION_MS);
        if (fault === 'cut-off') {
          this.#unreachableUntilMs = this.#clock.now() + OUTAGE_DURATION_MS;
          return {kind: 'broken', mayHaveBeenSent: true};
        }
        const chunk = {number: token.number, data: token.text};
        yield chunk;
        if (fault === 'duplicate') yield chunk;
        if (token.isLast) return {kind: 'whole'};
      }
    } finally {
      engine.pause(id, listener);
    }
  }
}

function waitForWake(register: (resolve: () => void) => void, signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    const wake = () => {
      signal.removeEventListener('abort', wake);
      resolve();
    };
    register(wake);
    signal.addEventListener('abort', wake, {once: true});
  });
}

/** A ledger that executes postings and can lose requests or responses because of injected faults. */
export class MatrixLedger {
  readonly ledger = new Ledger();
  readonly #clock: Clock;
  #unreachableUntilMs = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** The ledger as seen by one incarnation of its agent. */
  connect(
    process: SimulatedProcess,
    takeFault: (id: string) => MatrixFault | undefined,
  ): PlainService {
    return async (id, call) => {
      const outcome = await this.#call(process, takeFault(id), id, call.body);
      await process.waitUntilRunning();
      return outcome;
    };
  }

  async #call(
    process: SimulatedProcess,
    fault: MatrixFault | undefined,
    id: string,
    account: string,
  ): Promise<Result<CallOutcome, CallFailure>> {
    if (fault === 'cut-off') this.#unreachableUntilMs = this.#clock.now() + OUTAGE_DURATION_MS;
    await sleep(this.#clock, fault === 'slow' ? SLOW_MESSAGE_MS : LATENCY_MS);
    if (this.#clock.now() < this.#unreachableUntilMs)
      return err({message: 'refused', mayHaveBeenSent: false});
    if (fault === 'request-lost') return err({message: 'broken', mayHaveBeenSent: true});
    const post = () => {
      this.ledger.post({account, pence: 1, requestId: id});
    };
    if (fault === 'late') {
      this.#clock.schedule(LATE_DELIVERY_MS, post);
      return err({message: 'timed out', mayHaveBeenSent: true});
    }
    if (fault === 'endpoint-pause') {
      await sleep(this.#clock, PAUSE_DURATION_MS);
      post();
      return err({message: 'timed out', mayHaveBeenSent: true});
    }
    post();
    if (fault === 'answer-lost' || fault === 'endpoint-crash') {
      return err({message: 'broken', mayHaveBeenSent: true});
    }
    if (fault === 'agent-crash') process.crash();
    if (fault === 'agent-pause') process.pause(PAUSE_DURATION_MS);
    await sleep(this.#clock, LATENCY_MS);
    return ok({
      status: 201,
      headers: {},
      body: Buffer.from(`posted ${account}`).toString('base64'),
    });
  }
}
