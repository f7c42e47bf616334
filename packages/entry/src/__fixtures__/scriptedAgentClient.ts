/** An agent client that follows a script, for tests of attempts and of the router. */
import type {Load, Task, WorkRequest, WorkEvent} from '@marigoldfold/protocol';
import type {CallError} from '@marigoldfold/transport';
import {err, ok, type Result} from 'neverthrow';
import type {AgentClient, StartError, WithdrawalResult, WorkEvents} from '../agentClient.js';

/** What one connection does: sends events and then closes, fails with an error, or stays open without events. */
export type ConnectionScript = readonly WorkEvent[] | StartError | 'hang' | QueuedScript;

/** A request that stays queued until it is withdrawn. */
export interface QueuedScript {
  readonly queuedLoad: Load;
  /** Events that the agent sends once the request has been withdrawn. */
  readonly afterWithdrawal: readonly WorkEvent[];
}

/** Scripted responses of one agent; calls that withdraw a request fail when `withdrawal` is absent. */
export interface AgentScript {
  readonly incarnation?: string;
  readonly start: ConnectionScript;
  readonly secondStart?: ConnectionScript;
  /** Scripts of the connections that resume the answer, in order; the last one is used for all further resumes. */
  readonly resumes?: readonly ConnectionScript[];
  readonly withdrawal?: WithdrawalResult;
}

/** A generation task for the model `m`, for tests in which its content does not matter. */
export const generationTask: Task = {
  kind: 'generation',
  model: 'm',
  path: '/v1/completions',
  body: {},
};

/** Creates a request of tier 0 with the id `e.1`. */
export function createWorkRequest(task: Task = generationTask): WorkRequest {
  return {
    id: 'e.1',
    entry: 'e',
    account: 'band',
    class: 'short',
    tier: 0,
    firstTokenBudgetMs: 1000,
    promptTokens: 1,
    configuration: 1,
    task,
  };
}

/** Creates the load report of an idle agent. */
export function createLoadReport(incarnation = 'life-1'): Load {
  return {
    incarnation,
    configuration: 1,
    running: [],
    queued: [],
    waitMs: [],
    window: 1,
    interTokenMs: 0,
    firstTokenMs: 0,
    isLeaving: false,
  };
}

/** Creates chunk events with the numbers from `from` to `to`, both included. */
export function createChunkEvents(from: number, to: number): WorkEvent[] {
  const events: WorkEvent[] = [];
  for (let number = from; number <= to; number += 1) {
    events.push({kind: 'chunk', number, data: `part ${number}`});
  }
  return events;
}

/** Creates the final event of a complete answer with the given number of chunks. */
export function createEndEvent(chunks: number): WorkEvent {
  return {kind: 'end', chunks, load: createLoadReport()};
}

const unreachable: CallError = {code: 'unreachable', message: 'cut off'};

/** An agent client that returns scripted responses and records the calls to it. */
export class ScriptedAgentClient implements AgentClient {
  incarnation: string | undefined;
  readonly started: WorkRequest[] = [];
  readonly resumedAfter: number[] = [];
  readonly acknowledged: number[] = [];
  readonly cancelled: string[] = [];
  withdrawals = 0;
  probes = 0;
  #onWithdrawal: () => void = () => undefined;

  constructor(private readonly script: AgentScript) {}

  start(work: WorkRequest, signal: AbortSignal): Promise<Result<WorkEvents, StartError>> {
    this.started.push(work);
    const {start, secondStart} = this.script;
    const connectionScript = this.started.length > 1 ? (secondStart ?? start) : start;
    if (typeof connectionScript === 'object' && 'queuedLoad' in connectionScript) {
      return Promise.resolve(ok(this.#queue(connectionScript)));
    }
    return open(connectionScript, signal);
  }

  resume(
    _id: string,
    afterChunk: number,
    signal: AbortSignal,
  ): Promise<Result<WorkEvents, StartError>> {
    const resumes = this.script.resumes ?? [];
    const connectionScript = resumes[Math.min(this.resumedAfter.length, resumes.length - 1)];
    this.resumedAfter.push(afterChunk);
    return open(
      connectionScript ?? {kind: 'unreachable', message: 'cut off', mayHaveBeenSent: true},
      signal,
    );
  }

  acknowledge(_id: string, chunk: number): Promise<Result<void, CallError>> {
    this.acknowledged.push(chunk);
    return Promise.resolve(ok(undefined));
  }

  withdraw(): Promise<Result<WithdrawalResult, CallError>> {
    this.withdrawals += 1;
    this.#onWithdrawal();
    const {withdrawal} = this.script;
    return Promise.resolve(withdrawal === undefined ? err(unreachable) : ok(withdrawal));
  }

  async *#queue({queuedLoad, afterWithdrawal}: QueuedScript): AsyncGenerator<WorkEvent, void> {
    yield {kind: 'queued', load: queuedLoad};
    await new Promise<void>((resolve) => {
      this.#onWithdrawal = resolve;
    });
    yield* afterWithdrawal;
  }

  cancel(id: string): Promise<Result<boolean, CallError>> {
    this.cancelled.push(id);
    return Promise.resolve(ok(true));
  }

  probe(): Promise<Result<Load, CallError>> {
    this.probes += 1;
    this.incarnation = this.script.incarnation ?? 'life-1';
    return Promise.resolve(ok(createLoadReport(this.incarnation)));
  }
}

function open(
  connectionScript: ConnectionScript,
  signal: AbortSignal,
): Promise<Result<WorkEvents, StartError>> {
  if (typeof connectionScript === 'object' && 'queuedLoad' in connectionScript) {
    throw new Error('only a start can be queued');
  }
  if (connectionScript === 'hang') return Promise.resolve(ok(waitForAbort(signal)));
  if ('kind' in connectionScript) return Promise.resolve(err(connectionScript));
  return Promise.resolve(ok(replay(connectionScript)));
}

async function* replay(events: readonly WorkEvent[]): AsyncGenerator<WorkEvent, void> {
  for (const event of events) {
    await Promise.resolve();
    yield event;
  }
}

async function* waitForAbort(signal: AbortSignal): AsyncGenerator<WorkEvent, void> {
  await new Promise<void>((resolve) => {
    signal.addEventListener('abort', () => {
      resolve();
    });
  });
  yield* [];
}
