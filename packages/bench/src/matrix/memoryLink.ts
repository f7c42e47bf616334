/** An entry's link to an agent of the matrix, with a fault at each message. */
import type {Answer} from '@marigoldfold/agent';
import type {AgentClient, StartError, WithdrawalResult, WorkEvents} from '@marigoldfold/entry';
import type {Load, WorkRequest, WorkEvent} from '@marigoldfold/protocol';
import {refusal} from '@marigoldfold/protocol';
import {type Clock, sleep} from '@marigoldfold/runtime';
import type {CallError} from '@marigoldfold/transport';
import {err, ok, type Result} from 'neverthrow';
import type {AgentSlot} from './agentSlot.js';
import {type Fault, LATENCY_MS, PAUSE_MS, type Passage, type Point, SLOW_MS} from './faults.js';
import type {Host} from './host.js';
import {exchange, type Loss, type Partitions} from './network.js';

/** What a link needs. */
export interface MemoryLinkOptions {
  readonly clock: Clock;
  readonly partitions: Partitions;
  readonly entry: Host;
  readonly slot: AgentSlot;
  readonly take: (passage: Passage) => Injected;
  /** Notes that a request is sent once more. */
  readonly noteAttempt: (id: string) => void;
  /** Facts of a request that injections look at. */
  readonly describe: (id: string) => Omit<Passage, 'point' | 'isLeaving'>;
}

type Injected = Fault | 'refusal' | undefined;

const HTTP_TIMEOUT_MS = 30_000;
const RPC_TIMEOUT_MS = 2000;

/** The link. */
export class MemoryLink implements AgentClient {
  readonly #options: MemoryLinkOptions;
  incarnation: string | undefined;

  constructor(options: MemoryLinkOptions) {
    this.#options = options;
  }

  async start(work: WorkRequest, signal: AbortSignal): Promise<Result<WorkEvents, StartError>> {
    const {slot, noteAttempt} = this.#options;
    noteAttempt(work.id);
    const fault = this.#take('request', work.id);
    if (fault === 'stale-list') slot.remove();
    if (fault === 'refusal') {
      const failure = refusal('leaving', 'the endpoint is leaving');
      return err({kind: 'refused', failure, load: slot.life.worker.load()});
    }
    const opened = await this.#send(fault, HTTP_TIMEOUT_MS, () => {
      const {worker} = slot.life;
      return {answer: worker.submit(work), load: worker.load()};
    });
    if (opened.isErr()) return err(unreachable(opened.error));
    const {answer, load} = opened.value;
    this.incarnation = load.incarnation;
    if (answer.isErr()) return err({kind: 'refused', failure: answer.error, load});
    return ok(this.#read(answer.value, 0, signal));
  }

  async resume(id: string, after: number, signal: AbortSignal) {
    const {slot} = this.#options;
    const fault = faultOf(this.#take('resume', id));
    const opened = await this.#send(fault, HTTP_TIMEOUT_MS, () => {
      const {worker} = slot.life;
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
      this.#options.slot.life.worker.acknowledge(id, chunk);
    });
  }

  withdraw(id: string): Promise<Result<WithdrawalResult, CallError>> {
    return this.#call(this.#take('withdrawal', id), () => {
      const {worker} = this.#options.slot.life;
      return {outcome: worker.withdraw(id), incarnation: worker.incarnation};
    });
  }

  cancel(id: string): Promise<Result<boolean, CallError>> {
    return this.#call(this.#take('cancel', id), () => this.#options.slot.life.worker.cancel(id));
  }

  async probe(): Promise<Result<Load, CallError>> {
    const load = await this.#call(undefined, () => this.#options.slot.life.worker.load());
    if (load.isOk()) this.incarnation = load.value.incarnation;
    return load;
  }

  #take(point: Point, id: string): Injected {
    const {take, describe, slot} = this.#options;
    return take({point, ...describe(id), isLeaving: slot.isLeaving});
  }

  #send<T>(fault: Fault | undefined, timeoutMs: number, handle: () => T) {
    const {clock, partitions, entry, slot} = this.#options;
    return exchange({
      clock,
      partitions,
      pair: slot.name,
      from: entry,
      to: slot,
      fault,
      timeoutMs,
      handle,
    });
  }

  async #call<T>(fault: Injected, handle: () => T) {
    const sent = await this.#send(faultOf(fault), RPC_TIMEOUT_MS, handle);
    return sent.mapErr((): CallError => ({code: 'unreachable', message: 'no answer'}));
  }

  async *#read(
    answer: Answer,
    after: number,
    signal: AbortSignal,
  ): AsyncGenerator<WorkEvent, void> {
    const {clock, partitions, entry, slot} = this.#options;
    const {host} = slot.life;
    const connection = AbortSignal.any([signal, host.ended, entry.ended]);
    for await (const event of answer.read(after, connection)) {
      await host.awake();
      const fault = event.kind === 'chunk' ? this.#take('stream', answer.id) : undefined;
      if (fault === 'agent-crash') slot.crash();
      if (fault === 'entry-crash') entry.crash();
      if (fault === 'agent-pause') host.pause(PAUSE_MS);
      if (fault === 'entry-pause') entry.pause(PAUSE_MS);
      if (fault === 'cut-off') partitions.cut(slot.name);
      await sleep(clock, fault === 'slow' ? SLOW_MS : LATENCY_MS);
      while (partitions.leftMs(slot.name) > 0) {
        await sleep(clock, partitions.leftMs(slot.name), signal);
        if (signal.aborted) return;
      }
      await entry.awake();
      if (connection.aborted || fault === 'late') return;
      if (fault === 'answer-lost') continue;
      yield event;
      if (fault === 'duplicate') yield event;
    }
  }
}

function faultOf(injected: Injected): Fault | undefined {
  return injected === 'refusal' ? undefined : injected;
}

function unreachable({mayHaveBeenSent}: Loss): StartError {
  return {kind: 'unreachable', message: 'no answer', mayHaveBeenSent};
}
