/** The place of one agent beside its endpoint: a life of the agent, and its replacement after a crash. */
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
import {RESTART_MS} from './faults.js';
import {Host} from './host.js';
import type {Receiver} from './network.js';

/** One life of an agent. */
export interface AgentLife {
  readonly host: Host;
  readonly worker: Worker;
}

/** What a slot needs. */
export interface AgentSlotOptions {
  readonly clock: Clock;
  readonly name: string;
  readonly slots: number;
  /** The engine as a life reaches it. */
  readonly engine?: (host: Host) => Engine;
  /** The plain service as a life reaches it. */
  readonly service?: (host: Host) => PlainService;
  /** The key-value service as a life reaches it. */
  readonly store: (host: Host) => KeyValue;
}

const CLAIM_RETENTION_MS = 86_400_000;

/** The slot. */
export class AgentSlot implements Receiver {
  readonly name: string;
  readonly #options: AgentSlotOptions;
  #life: AgentLife;
  #lives = 0;
  #isGone = false;
  /** Whether the agent has begun to leave. */
  isLeaving = false;

  constructor(options: AgentSlotOptions) {
    this.name = options.name;
    this.#options = options;
    this.#life = this.#begin();
  }

  /** The newest life. */
  get life(): AgentLife {
    return this.#life;
  }

  host(): Host | undefined {
    const {host} = this.#life;
    return host.isAlive && !this.#isGone ? host : undefined;
  }

  crash(): void {
    this.#life.host.crash();
  }

  /** Ends the agent without a successor, as when its instance was taken away. */
  remove(): void {
    this.#isGone = true;
    this.crash();
  }

  /** Begins to leave; the process ends when its work has ended. */
  async drain(): Promise<void> {
    this.isLeaving = true;
    const {worker} = this.#life;
    await worker.drain();
    if (worker === this.#life.worker) this.remove();
  }

  #begin(): AgentLife {
    const {clock, name, slots, engine, service, store} = this.#options;
    this.#lives += 1;
    const host = new Host(clock);
    const worker = new Worker({
      incarnation: `${name}-life-${this.#lives}`,
      clock: host.clock,
      logger: silentLogger,
      queue: new WorkQueue({clock: host.clock, slots, capacity: 100}),
      ...(engine === undefined ? {} : {engine: engine(host)}),
      ...(service === undefined
        ? {}
        : {
            calls: new CallRunner({
              service: service(host),
              store: store(host),
              clock: host.clock,
              logger: silentLogger,
              claimRetentionMs: CLAIM_RETENTION_MS,
            }),
          }),
      configurationNumber: () => 1,
      timing: defaultWorkerTiming,
    });
    host.ended.addEventListener('abort', () => {
      worker[Symbol.dispose]();
      if (this.#isGone) return;
      clock.schedule(RESTART_MS, () => {
        this.isLeaving = false;
        this.#life = this.#begin();
      });
    });
    return {host, worker};
  }
}
