/** Runs entries, agents and stand-ins in one process; each can be drained, killed and replaced. */
import {type AgentProcess, agentSettingsSchema, type Engine, startAgent} from '@marigoldfold/agent';
import {type LocalSystem, startLocalSystem} from '@marigoldfold/cli';
import {type EntryProcess, entrySettingsSchema, startEntry} from '@marigoldfold/entry';
import type {Instance} from '@marigoldfold/protocol';
import {
  DisposableStore,
  type Logger,
  silentLogger,
  sleep,
  systemClock,
  systemRandom,
} from '@marigoldfold/runtime';
import {
  batchingSpeed,
  type Ledger,
  type SimulatedEngine,
  type StandIn,
  startEngine,
  startLedger,
} from '@marigoldfold/standin';
import {digestText} from '@marigoldfold/state';
import {createClusterKey} from '@marigoldfold/transport';

/** Number of processes of each role, and the behaviour of the engines. */
export interface FleetOptions {
  readonly entries: number;
  readonly engines: number;
  readonly ledgers: number;
  readonly slots: number;
  readonly interTokenMs: number;
  /** Milliseconds without a token after which an agent gives up on its engine. */
  readonly silenceLimitMs?: number;
  /** Replaces every engine except that of the local system. */
  readonly engine?: Engine;
  readonly logger?: Logger;
}

/** An entry of the fleet, as a load balancer sees it. */
export interface FleetEntry {
  readonly process: EntryProcess;
  /** Whether the load balancer sends it requests. */
  isReady: boolean;
}

/** Address of a process, with the headers that it requires. */
export interface FleetTarget {
  readonly address: string;
  readonly headers: Readonly<Record<string, string>>;
}

/** An agent with the name of its endpoint. */
export interface FleetAgent {
  readonly name: string;
  readonly endpoint: string;
  readonly process: AgentProcess;
}

const LOOPBACK = '127.0.0.1';
const SERVICE_SLOTS = 64;
const DRAIN_GRACE_MS = 300;
const INSTANCE_LIST_INTERVAL_MS = 200;
const READY_CHECK_MS = 10;
const UNLIMITED = 1_000_000;
/** The agent of the local system's own engine. */
const LOCAL_ENGINE_AGENT = 'agent-engine-1';

/** A local system with additional entries, agents and stand-ins; disposal ends all of them. */
export class Fleet implements Disposable {
  readonly entries: FleetEntry[] = [];
  readonly agents: FleetAgent[] = [];
  readonly engines = new Map<string, StandIn<SimulatedEngine>>();
  readonly ledgers = new Map<string, StandIn<Ledger>>();
  /** Ids of all generations that any engine has started. */
  readonly generationIds = new Set<string>();
  readonly #options: FleetOptions;
  readonly #system: LocalSystem;
  readonly #disposables = new DisposableStore();
  #sequence = 0;

  private constructor(options: FleetOptions, system: LocalSystem) {
    this.#options = options;
    this.#system = this.#disposables.add(system);
  }

  /** Starts all processes and writes their configuration. Throws when one cannot start. */
  static async start(options: FleetOptions): Promise<Fleet> {
    const {logger = silentLogger, slots, interTokenMs} = options;
    const system = await startLocalSystem({
      port: 0,
      operatorsPort: 0,
      engines: 1,
      slots,
      interTokenMs,
      logger,
    });
    const fleet = new Fleet(options, system._unsafeUnwrap());
    for (const {implementation} of fleet.#system.engines) fleet.#recordGenerations(implementation);
    await fleet.#configure();
    for (let index = 1; index <= options.engines; index += 1) {
      await fleet.startEngine(`fleet-engine-${index}`);
      await fleet.startAgent(`fleet-engine-${index}`);
    }
    for (let index = 1; index <= options.ledgers; index += 1) {
      await fleet.#startLedger(`fleet-ledger-${index}`);
      await fleet.startAgent(`fleet-ledger-${index}`);
    }
    if (options.engine !== undefined)
      fleet.#system.instances.implementation.remove(LOCAL_ENGINE_AGENT);
    for (let index = 0; index < options.entries; index += 1) await fleet.startEntry();
    return fleet;
  }

  /** All ledgers, including that of the local system. */
  get allLedgers(): readonly StandIn<Ledger>[] {
    return [this.#system.ledger, ...this.ledgers.values()];
  }

  /** All engines, including those of the local system. */
  get allEngines(): readonly StandIn<SimulatedEngine>[] {
    return [...this.#system.engines, ...this.engines.values()];
  }

  /** The first engine, which requires no headers. */
  engineTarget(): FleetTarget {
    const [engine] = this.engines.values();
    return {address: engine?.address ?? '', headers: {}};
  }

  /** The first agent, with the cluster key that it requires of entries. */
  agentTarget(): FleetTarget {
    const address = this.agents[0]?.process.server.address ?? '';
    return {address, headers: createClusterKey(this.#system.keys.cluster).headers};
  }

  /** The first entry, with the bearer key that it requires of callers. */
  entryTarget(): FleetTarget {
    const address = this.entries[0]?.process.callers.address ?? '';
    return {address, headers: {authorization: `Bearer ${this.clientKey}`}};
  }

  /** The bearer key of the fleet's client account. */
  get clientKey(): string {
    return this.#system.keys.client;
  }

  /** Number of calls that the key-value service has received. */
  get storeCalls(): number {
    return this.#system.keyValue.implementation.callCount;
  }

  /** Starts an engine for an endpoint; it replaces the previous one. */
  async startEngine(endpoint: string): Promise<void> {
    const {slots, interTokenMs} = this.#options;
    const started = await startEngine(systemClock, batchingSpeed(slots, interTokenMs));
    const engine = this.#disposables.add(started._unsafeUnwrap());
    this.#recordGenerations(engine.implementation);
    this.engines.set(endpoint, engine);
  }

  /** Starts an agent for an endpoint and lists it once it has the newest configuration. */
  async startAgent(endpoint: string): Promise<FleetAgent> {
    const engine = this.engines.get(endpoint);
    const address = engine?.address ?? this.ledgers.get(endpoint)?.address;
    this.#sequence += 1;
    const name = `agent-${endpoint}-${this.#sequence}`;
    const started = await startAgent({
      settings: agentSettingsSchema.parse({
        process: identity(name),
        listen: `${LOOPBACK}:0`,
        endpoint: {
          type: engine === undefined ? 'service' : 'engine',
          name: endpoint,
          address,
          slots: engine === undefined ? SERVICE_SLOTS : this.#options.slots,
          silenceLimitMs: this.#options.silenceLimitMs,
        },
        drain: {graceMs: DRAIN_GRACE_MS},
        platform: this.#platform(),
      }),
      ...(this.#options.engine === undefined ? {} : {engine: this.#options.engine}),
      ...this.#commonOptions(),
    });
    const process = this.#disposables.add(started._unsafeUnwrap());
    const agent = {name, endpoint, process};
    this.agents.push(agent);
    await this.#waitUntilCurrent(() => process.feed.head.number);
    this.#publishInstance(agent, 'live');
    return agent;
  }

  /** Starts an entry; resolves once it has the newest configuration. */
  async startEntry(): Promise<FleetEntry> {
    this.#sequence += 1;
    const started = await startEntry({
      settings: entrySettingsSchema.parse({
        process: identity(`entry-${this.#sequence}`),
        listen: `${LOOPBACK}:0`,
        operatorsListen: `${LOOPBACK}:0`,
        drain: {graceMs: DRAIN_GRACE_MS},
        platform: this.#platform(),
      }),
      random: systemRandom(),
      ...this.#commonOptions(),
    });
    const process = this.#disposables.add(started._unsafeUnwrap());
    await this.#waitUntilCurrent(() => process.feed.head.number);
    const entry = {process, isReady: true};
    this.entries.push(entry);
    return entry;
  }

  /** Drains and stops an entry without cutting its requests. */
  async drainEntry(entry: FleetEntry): Promise<void> {
    this.#removeEntry(entry);
    await entry.process.drain();
  }

  /** Stops an entry immediately; its open requests fail. */
  killEntry(entry: FleetEntry): void {
    this.#removeEntry(entry);
    entry.process[Symbol.dispose]();
  }

  /** Drains and stops an agent without cutting its requests. */
  async drainAgent(agent: FleetAgent): Promise<void> {
    this.#removeAgent(agent);
    this.#publishInstance(agent, 'leaving');
    await agent.process.drain();
    this.#system.instances.implementation.remove(agent.name);
  }

  /** Stops an agent immediately; the platform's list of instances still contains it for some time. */
  killAgent(agent: FleetAgent): void {
    this.#removeAgent(agent);
    agent.process[Symbol.dispose]();
    systemClock.schedule(INSTANCE_LIST_INTERVAL_MS * 2, () => {
      this.#system.instances.implementation.remove(agent.name);
    });
  }

  /** Stops an engine immediately; its open generations fail. */
  killEngine(endpoint: string): void {
    this.engines.get(endpoint)?.[Symbol.dispose]();
  }

  [Symbol.dispose](): void {
    this.#disposables[Symbol.dispose]();
  }

  #recordGenerations(engine: SimulatedEngine): void {
    engine.onBegin = (id) => {
      this.generationIds.add(id);
    };
  }

  async #configure(): Promise<void> {
    const {engines, ledgers} = this.#options;
    const endpoint = (name: string, set: string) => ({
      kind: 'endpoint' as const,
      name,
      state: {set},
    });
    const changes = [
      ...numberedNames('fleet-engine', engines).map((name) => endpoint(name, 'engines')),
      ...numberedNames('fleet-ledger', ledgers).map((name) => endpoint(name, 'ledgers')),
      {
        kind: 'account' as const,
        name: 'demo',
        state: {
          keyDigests: [digestText(this.clientKey)],
          classes: ['urgent', 'standard', 'bulk'],
          defaultClass: 'standard',
          requestsPerSecond: UNLIMITED,
          burst: UNLIMITED,
          concurrency: UNLIMITED,
        },
      },
    ];
    const changed = await this.#system.applyDraft({reason: 'fleet', changes});
    if (changed.isErr()) throw new Error(changed.error);
  }

  async #startLedger(endpoint: string): Promise<void> {
    const started = await startLedger();
    this.ledgers.set(endpoint, this.#disposables.add(started._unsafeUnwrap()));
  }

  #platform() {
    return {
      keyValue: this.#system.keyValue.address,
      instances: this.#system.instances.address,
      instancesIntervalMs: INSTANCE_LIST_INTERVAL_MS,
    };
  }

  #commonOptions() {
    const {cluster, monitor} = this.#system.keys;
    return {
      secrets: {clusterKey: cluster, monitorKey: monitor.publicKey},
      clock: systemClock,
      logger: this.#options.logger ?? silentLogger,
    };
  }

  #publishInstance({name, endpoint, process}: FleetAgent, state: Instance['state']): void {
    const {address} = process.server;
    this.#system.instances.implementation.set({
      ...identity(name),
      role: 'agent',
      address,
      endpoint,
      state,
    });
  }

  #removeEntry(entry: FleetEntry): void {
    entry.isReady = false;
    this.entries.splice(this.entries.indexOf(entry), 1);
  }

  #removeAgent(agent: FleetAgent): void {
    this.agents.splice(this.agents.indexOf(agent), 1);
  }

  async #waitUntilCurrent(number: () => number): Promise<void> {
    while (number() < this.#system.entry.feed.head.number) await sleep(systemClock, READY_CHECK_MS);
  }
}

function numberedNames(prefix: string, count: number): string[] {
  return Array.from({length: count}, (_, index) => `${prefix}-${index + 1}`);
}

function identity(name: string) {
  return {name, failureDomain: 'local-a', region: 'local'};
}
