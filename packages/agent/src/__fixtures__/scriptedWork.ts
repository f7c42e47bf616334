/** Requests and in-memory endpoints for tests of the agent. */
import type {Call, WorkRequest, WorkEvent} from '@marigoldfold/protocol';
import {silentLogger, VirtualClock} from '@marigoldfold/runtime';
import {ok, type Result} from 'neverthrow';
import type {CallOutcome} from '@marigoldfold/state';
import type {Answer} from '../answer.js';
import type {CallRunner} from '../callRunner.js';
import type {Engine, EngineChunk, EngineEnd} from '../engine.js';
import type {CallFailure, PlainService} from '../plainService.js';
import {Worker} from '../worker.js';
import {defaultWorkerTiming, type WorkerTiming} from '../workerOptions.js';
import {WorkQueue} from '../workQueue.js';

/** A generation request of tier 0. */
export function createGenerationWork(
  id: string,
  overrides: Partial<WorkRequest> = {},
): WorkRequest {
  return {
    id,
    entry: 'entry-life',
    account: 'band',
    class: 'short',
    tier: 0,
    firstTokenBudgetMs: 1000,
    promptTokens: 1,
    configuration: 1,
    task: {kind: 'generation', model: 'm', path: '/v1/completions', body: {model: 'm'}},
    ...overrides,
  };
}

/** A POST call with an idempotency key. */
export function createCallWork(id: string, key = 'key-1', body = 'one'): WorkRequest {
  const task: Call = {
    kind: 'call',
    service: 'ledger',
    method: 'POST',
    path: '/postings',
    headers: {},
    body,
    idempotencyKey: key,
  };
  return createGenerationWork(id, {task});
}

/** The call of a request; throws when it is a generation. */
export function requireCall(work: WorkRequest): Call {
  if (work.task.kind !== 'call') throw new Error('the work request must be a call');
  return work.task;
}

/** One stream that was opened at a scripted engine. */
export interface EngineConnection {
  readonly kind: 'begin' | 'resume';
  readonly afterChunk: number;
  readonly signal: AbortSignal;
}

/** Produces the chunks and the end of one stream. */
export type EngineScript = (connection: EngineConnection) => AsyncGenerator<EngineChunk, EngineEnd>;

/** An engine that runs a script; records its connections and the cancelled ids. */
export function createScriptedEngine(script: EngineScript) {
  const connections: EngineConnection[] = [];
  const cancelled: string[] = [];
  const connect = (connection: EngineConnection) => {
    connections.push(connection);
    return script(connection);
  };
  const engine: Engine = {
    begin: (_job, signal) => connect({kind: 'begin', afterChunk: 0, signal}),
    resume: (_id, afterChunk, signal) => connect({kind: 'resume', afterChunk, signal}),
    cancel(id) {
      cancelled.push(id);
      return Promise.resolve();
    },
  };
  return {engine, connections, cancelled};
}

/** Yields the chunks numbered `from` to `to`, then returns `end`. */
export async function* chunks(
  from: number,
  to: number,
  end: EngineEnd,
): AsyncGenerator<EngineChunk, EngineEnd> {
  for (let number = from; number <= to; number += 1) {
    await Promise.resolve();
    yield {number, data: `part ${number}`};
  }
  return end;
}

/** A stream without chunks that ends as broken when it is aborted. */
export async function* openSilentStream(
  signal: AbortSignal,
): AsyncGenerator<EngineChunk, EngineEnd> {
  await new Promise<void>((resolve) => {
    signal.addEventListener('abort', () => {
      resolve();
    });
  });
  yield* [];
  return {kind: 'broken', mayHaveBeenSent: true};
}

/** A plain service that records the ids of the calls it receives. */
export function createCountingService(
  answer: (count: number) => Promise<Result<CallOutcome, CallFailure>> = (count) =>
    Promise.resolve(ok({status: 201, headers: {}, body: `receipt ${count}`})),
) {
  const ran: string[] = [];
  const service: PlainService = (id) => {
    ran.push(id);
    return answer(ran.length);
  };
  return {service, ran};
}

/** Replacements for the defaults of {@link createTestWorker}. */
export interface TestWorkerOptions {
  readonly engine?: Engine;
  readonly calls?: CallRunner;
  readonly slots?: number;
  readonly incarnation?: string;
  readonly timing?: Partial<WorkerTiming>;
  readonly clock?: VirtualClock;
}

/** Creates a worker on a virtual clock; one slot by default. */
export function createTestWorker(options: TestWorkerOptions) {
  const clock = options.clock ?? new VirtualClock();
  const worker = new Worker({
    incarnation: options.incarnation ?? 'life-1',
    clock,
    logger: silentLogger,
    queue: new WorkQueue({clock, slots: options.slots ?? 1, capacity: 100}),
    ...(options.engine === undefined ? {} : {engine: options.engine}),
    ...(options.calls === undefined ? {} : {calls: options.calls}),
    configurationNumber: () => 1,
    timing: {...defaultWorkerTiming, ...options.timing},
  });
  return {clock, worker};
}

/** Reads an answer to its end and returns the events. */
export async function readAll(answer: Answer, after = 0): Promise<WorkEvent[]> {
  const events: WorkEvent[] = [];
  for await (const event of answer.read(after, new AbortController().signal)) events.push(event);
  return events;
}
