/** In-memory {@link AgentClient} of the fault matrix, which injects faults into its messages. */
import type {Answer} from '@marigoldfold/agent';
import type {AgentClient, StartError, WithdrawalResult, WorkEvents} from '@marigoldfold/entry';
import type {Load, WorkRequest, WorkEvent} from '@marigoldfold/protocol';
import {refusal} from '@marigoldfold/protocol';
import {type Clock, sleep} from '@marigoldfold/runtime';
import type {CallError} from '@marigoldfold/transport';
import {err, ok, type Result} from 'neverthrow';
import type {RestartableAgent} from './restartableAgent.js';
import {
  type MatrixFault,
  LATENCY_MS,
  PAUSE_DURATION_MS,
  type InterceptedMessage,
  type InjectionPoint,
  SLOW_MESSAGE_MS,
} from './faults.js';
import type {SimulatedProcess} from './simulatedProcess.js';
import {sendSimulatedRequest, type ExchangeError, type Partitions} from './network.js';

/** Agent, fault injector and callbacks of a {@link MemoryAgentClient}. */
export interface MemoryAgentClientOptions {
  readonly clock: Clock;
  readonly partitions: Partitions;
  readonly entry: SimulatedProcess;
  readonly agent: RestartableAgent;
  readonly takeFault: (message: InterceptedMessage) => InjectedFault;
  /** Called before each attempt to start a request. */
  readonly recordAttempt: (id: string) => void;
  /** Properties of a request that injections match on. */
  readonly describeRequest: (id: string) => Omit<InterceptedMessage, 'point' | 'isLeaving'>;
}

type InjectedFault = MatrixFault | 'refusal' | undefined;

const HTTP_TIMEOUT_MS = 30_000;
const RPC_TIMEOUT_MS = 2000;

/** Connects one entry with the current incarnation of one agent. */
export class MemoryAgentClient implements AgentClient {
  readonly #options: MemoryAgentClientOptions;
  incarnation: string | undefined;

  constructor(options: MemoryAgentClientOptions) {
    this.#options = options;
  }

  async start(work: WorkRequest, signal: AbortSignal): Promise<Result<WorkEvents, StartError>> {
    const {agent, recordAttempt} = this.#options;
    recordAttempt(work.id);
    const fault = this.#takeFault('request', work.id);
    if (fault === 'stale-list') agent.remove();
    if (fault === 'refusal') {
      const failure = refusal('leaving', 'the endpoint is leaving');
      return err({kind: 'refused', failure, load: agent.current.worker.load()});
    }
    const opened = await this.#send(fault, HTTP_TIMEOUT_MS, () => {
      const {worker} = agent.current;
      return {answer: worker.submit(work), load: worker.load()};
    });
    if (opened.isErr()) return err(unreachable(opened.error));
    const {answer, load} = opened.value;
    this.incarnation = load.incarnation;
    if (answer.isErr()) return err({kind: 'refused', failure: answer.error, load});
    return ok(this.#read(answer.value, 0, signal));
  }

  async resume(id: string, after: number, signal: AbortSignal) {
    const {agent} = this.#options;
    const fault = faultOf(this.#takeFault('resume', id));
    const opened = await this.#send(fault, HTTP_TIMEOUT_MS, () => {
      const {worker} = agent.current;
      return {answer: worker.answer(id), incarnation: worker.incarnation};
    });
    if (opened.isErr()) return err<WorkEvents, StartError>(unreachable(opened.error));
    this.incarnation = opened.value.incarnation;
    const {answer} = opened.value;
    if (answer === undefined) return err<WorkEvents, StartError>({kind: 'unknown'});
    return ok<WorkEvents, StartError>(this.#read(answer, after, signal));
  }

  acknowledge(id: string, chunk: number): Promise<Result<void, CallError>> {
    return this.#call(undefined, () => {
      this.#options.agent.current.worker.acknowledge(id, chunk);
    });
  }

  withdraw(id: string): Promise<Result<WithdrawalResult, CallError>> {
    return this.#call(this.#takeFault('withdrawal', id), () => {
      const {worker} = this.#options.agent.current;
      return {outcome: worker.withdraw(id), incarnation: worker.incarnation};
    });
  }

  cancel(id: string): Promise<Result<boolean, CallError>> {
    return this.#call(this.#takeFault('cancel', id), () =>
      this.#options.agent.current.worker.cancel(id),
    );
  }

  async probe(): Promise<Result<Load, CallError>> {
    const load = await this.#call(undefined, () => this.#options.agent.current.worker.load());
    if (load.isOk()) this.incarnation = load.value.incarnation;
    return load;
  }

  #takeFault(point: InjectionPoint, id: string): InjectedFault {
    const {takeFault, describeRequest, agent} = this.#options;
    return takeFault({point, ...describeRequest(id), isLeaving: agent.isLeaving});
  }

  #send<T>(fault: MatrixFault | undefined, timeoutMs: number, handle: () => T) {
    const {clock, partitions, entry, agent} = this.#options;
    return sendSimulatedRequest({
      clock,
      partitions,
      pair: agent.name,
      from: entry,
      to: agent,
      fault,
      timeoutMs,
      handle,
    });
  }

  async #call<T>(fault: InjectedFault, handle: () => T) {
    const sent = await this.#send(faultOf(fault), RPC_TIMEOUT_MS, handle);
    return sent.mapErr((): CallError => ({code: 'unreachable', message: 'no answer'}));
  }

  async *#read(
    answer: Answer,
    after: number,
    signal: AbortSignal,
  ): AsyncGenerator<WorkEvent, void> {
    const {clock, partitions, entry, agent} = this.#options;
    const {process} = agent.current;
    const connection = AbortSignal.any([signal, process.exitSignal, entry.exitSignal]);
    for await (const event of answer.read(after, connection)) {
      await process.waitUntilRunning();
      const fault = event.kind === 'chunk' ? this.#takeFault('stream', answer.id) : undefined;
      if (fault === 'agent-crash') agent.crash();
      if (fault === 'entry-crash') entry.crash();
      if (fault === 'agent-pause') process.pause(PAUSE_DURATION_MS);
      if (fault === 'entry-pause') entry.pause(PAUSE_DURATION_MS);
      if (fault === 'cut-off') partitions.cut(agent.name);
      await sleep(clock, fault === 'slow' ? SLOW_MESSAGE_MS : LATENCY_MS);
      while (partitions.remainingMs(agent.name) > 0) {
        await sleep(clock, partitions.remainingMs(agent.name), signal);
        if (signal.aborted) return;
      }
      await entry.waitUntilRunning();
      if (connection.aborted || fault === 'late') return;
      if (fault === 'answer-lost') continue;
      yield event;
      if (fault === 'duplicate') yield event;
    }
  }
}

function faultOf(injected: InjectedFault): MatrixFault | undefined {
  return injected === 'refusal' ? undefined : injected;
}

function unreachable({mayHaveBeenSent}: ExchangeError): StartError {
  return {kind: 'unreachable', message: 'no answer', mayHaveBeenSent};
}
