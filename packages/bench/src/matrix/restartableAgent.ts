/** An agent of the fault matrix that restarts after a crash, as a new incarnation with the same name and endpoint. */
import {
  CallRunner,
  defaultWorkerTiming,
  type Engine,
  type PlainService,
  Worker,
  WorkQueue,
} from '@marigoldfold/agent';
import {type Clock, silentLogger} from '@marigoldfold/runtime';
import type {KeyValue} from '@marigoldfold/state';
import {RESTART_DELAY_MS} from './faults.js';
import {SimulatedProcess} from './simulatedProcess.js';
import type {Receiver} from './network.js';

/** One incarnation of an agent, from its start to its exit. */
export interface AgentIncarnation {
  readonly process: SimulatedProcess;
  readonly worker: Worker;
}

/** Name, clock and connections of a {@link RestartableAgent}, which has either an engine or a plain service. */
export interface RestartableAgentOptions {
  readonly clock: Clock;
  readonly name: string;
  readonly slots: number;
  /** The engine as seen by one incarnation. */
  readonly engine?: (process: SimulatedProcess) => Engine;
  /** The plain service as seen by one incarnation. */
  readonly service?: (process: SimulatedProcess) => PlainService;
  /** The key-value service as seen by one incarnation. */
  readonly store: (process: SimulatedProcess) => KeyValue;
}

const CLAIM_RETENTION_MS = 86_400_000;

/** Starts a new incarnation `RESTART_DELAY_MS` after each crash, until the agent is removed. */
export class RestartableAgent implements Receiver {
  readonly name: string;
  readonly #options: RestartableAgentOptions;
  #current: AgentIncarnation;
  #startCount = 0;
  #isRemoved = false;
  /** Whether the current incarnation is draining. */
  isLeaving = false;

  constructor(options: RestartableAgentOptions) {
    this.name = options.name;
    this.#options = options;
    this.#current = this.#startProcess();
  }

  /** The newest incarnation, which may have exited. */
  get current(): AgentIncarnation {
    return this.#current;
  }

  runningProcess(): SimulatedProcess | undefined {
    const {process} = this.#current;
    return process.isAlive && !this.#isRemoved ? process : undefined;
  }

  crash(): void {
    this.#current.process.crash();
  }

  /** Ends the agent without a restart, as when the platform removes its instance. */
  remove(): void {
    this.#isRemoved = true;
    this.crash();
  }

  /** Drains the worker, then removes the agent unless it restarted meanwhile. */
  async drain(): Promise<void> {
    this.isLeaving = true;
    const {worker} = this.#current;
    await worker.drain();
    if (worker === this.#current.worker) this.remove();
  }

  #startProcess(): AgentIncarnation {
    const {clock, name, slots, engine, service, store} = this.#options;
    this.#startCount += 1;
    const process = new SimulatedProcess(clock);
    const worker = new Worker({
      incarnation: `${name}-life-${this.#startCount}`,
      clock: process.clock,
      logger: silentLogger,
      queue: new WorkQueue({clock: process.clock, slots, capacity: 100}),
      ...(engine === undefined ? {} : {engine: engine(process)}),
      ...(service === undefined
        ? {}
        : {
            calls: new CallRunner({
              service: service(process),
              store: store(process),
              clock: process.clock,
              logger: silentLogger,
              claimRetentionMs: CLAIM_RETENTION_MS,
            }),
          }),
      configurationNumber: () => 1,
      timing: defaultWorkerTiming,
    });
    process.exitSignal.addEventListener('abort', () => {
      worker[Symbol.dispose]();
      if (this.#isRemoved) return;
      clock.schedule(RESTART_DELAY_MS, () => {
        this.isLeaving = false;
        this.#current = this.#startProcess();
      });
    });
    return {process, worker};
  }
}
