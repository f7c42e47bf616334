/** The environment of a measured process: stand-ins of the platform, an engine and other processes. */
import {type AgentProcess, agentSettingsSchema, startAgent} from '@marigoldfold/agent';
import {type Secrets} from '@marigoldfold/coordination';
import {type EntryProcess, entrySettingsSchema, startEntry} from '@marigoldfold/entry';
import {probeMethod} from '@marigoldfold/protocol';
import {DisposableStore, silentLogger, systemClock, systemRandom} from '@marigoldfold/runtime';
import {
  type LaggingInstanceList,
  type StandIn,
  startInstanceList,
  startKeyValue,
} from '@marigoldfold/standin';
import {digestText, generateMonitorKey, openRecord} from '@marigoldfold/state';
import {createClusterKey, createPeer, type Peer} from '@marigoldfold/transport';
import {startTimestampingEngine} from './timestampingEngine.js';
import {accountChange, classNames, type ConfigurationSize, TicketWriter} from './ticketWriter.js';

/** Configuration size of a testbed, chunk interval of its engine, and whether an agent runs. */
export interface TestbedOptions extends ConfigurationSize {
  /** Milliseconds between the chunks of the engine. */
  readonly intervalMs: number;
  /** Whether it runs an agent, which is listed for every endpoint. */
  readonly hasAgent: boolean;
}

/** Addresses and secrets that a measured process needs to join a testbed. */
export interface TestbedAccess {
  readonly keyValue: string;
  readonly instances: string;
  readonly engine: string;
  /** Address of the agent; empty without one. */
  readonly agent: string;
  readonly secrets: Secrets;
  readonly operatorKey: string;
  /** Number of the newest ticket. */
  readonly ticket: number;
}

/** Bearer key of the operator of all measured entries. */
export const operatorKey = 'operator-key-of-the-bench';
const MEASURED_DOMAIN = 'a';
const LOOPBACK_ANY = '127.0.0.1:0';
const SLOTS = 4096;
const permissiveLimits = {maxConnections: 100_000, idleTimeoutMs: 600_000};

/** The stand-ins and processes that surround a measured process; disposal ends all of them. */
export class Testbed implements Disposable {
  readonly #disposables = new DisposableStore();
  readonly #peers: Peer[] = [];
  #access: TestbedAccess | undefined;
  #writer: TicketWriter | undefined;
  #instanceList: StandIn<LaggingInstanceList> | undefined;
  #classes: readonly string[] = [];

  /** Starts all processes and writes the tickets of the configuration. */
  async start(options: TestbedOptions): Promise<TestbedAccess> {
    const monitor = generateMonitorKey();
    const keyValue = this.#disposables.add((await startKeyValue(systemClock))._unsafeUnwrap());
    this.#instanceList = this.#disposables.add(
      (await startInstanceList(systemClock, 0))._unsafeUnwrap(),
    );
    const engine = this.#disposables.add(await startTimestampingEngine(options.intervalMs));
    this.#writer = new TicketWriter(openRecord(keyValue.implementation), monitor);
    this.#classes = classNames(options.tiers);
    await this.#writer.writeConfiguration(options);
    const secrets = {clusterKey: 'cluster-key-of-the-bench', monitorKey: monitor.publicKey};
    const access = {
      keyValue: keyValue.address,
      instances: this.#instanceList.address,
      engine: engine.address,
      agent: '',
      secrets,
      operatorKey,
      ticket: this.#writer.number,
    };
    this.#access = access;
    if (!options.hasAgent) return access;
    const agent = this.#disposables.add(await startTestbedAgent(access));
    this.list(agent.server.address, options.endpoints);
    return {...access, agent: agent.server.address};
  }

  /**
   * Lists the same agent once for every endpoint. All records but the first name another failure domain. If they named
   * the domain of the measured process, it would leave the watch of the key-value service to listed instances that
   * don't exist, because all records belong to one agent.
   */
  list(address: string, endpoints: number): void {
    for (let index = 0; index < endpoints; index += 1) {
      this.#instanceList?.implementation.set({
        name: `agent-${index}`,
        role: 'agent',
        address,
        failureDomain: index === 0 ? MEASURED_DOMAIN : 'b',
        region: 'r',
        endpoint: `engine-${index}`,
        state: 'live',
      });
    }
  }

  /** Starts an entry for a measured agent; resolves to its address for callers. */
  async startEntry(): Promise<string> {
    const entry = this.#disposables.add(await startTestbedEntry(this.#requireAccess()));
    await waitForTicket(entry, this.#writer?.number ?? 0);
    return entry.callers.address;
  }

  /** Writes a ticket that changes one account; resolves to the number of the ticket. */
  async commitTicket(): Promise<number> {
    if (this.#writer === undefined) throw new Error('the testbed is not started');
    await this.#writer.commit([accountChange(0, this.#classes)]);
    return this.#writer.number;
  }

  /** Opens control connections to a process until their number is `count`. */
  async connectPeers(address: string, count: number): Promise<void> {
    const clusterKey = createClusterKey(this.#requireAccess().secrets.clusterKey);
    while (this.#peers.length < count) {
      const peer = this.#disposables.add(createPeer(address, clusterKey));
      (await peer.call(probeMethod, {}))._unsafeUnwrap();
      this.#peers.push(peer);
    }
  }

  /** Probes the connected process `count` times, on its connections in turn. */
  async probe(count: number): Promise<void> {
    for (let index = 0; index < count; index += 1) {
      const peer = this.#peers[index % this.#peers.length];
      (await peer?.call(probeMethod, {}))?._unsafeUnwrap();
    }
  }

  [Symbol.dispose](): void {
    this.#disposables[Symbol.dispose]();
  }

  #requireAccess(): TestbedAccess {
    if (this.#access === undefined) throw new Error('the testbed is not started');
    return this.#access;
  }
}

/** Starts an entry that joins a testbed. */
export async function startTestbedEntry(access: TestbedAccess): Promise<EntryProcess> {
  const settings = entrySettingsSchema.parse({
    process: {name: 'entry-1', failureDomain: MEASURED_DOMAIN, region: 'r'},
    listen: LOOPBACK_ANY,
    operatorsListen: LOOPBACK_ANY,
    operators: [{name: 'bench', keySha256: digestText(access.operatorKey)}],
    platform: {keyValue: access.keyValue, instances: access.instances},
    limits: permissiveLimits,
  });
  const entry = await startEntry({
    settings,
    secrets: access.secrets,
    clock: systemClock,
    random: systemRandom(),
    logger: silentLogger,
  });
  return entry._unsafeUnwrap();
}

/** Starts an agent that joins a testbed; resolves once it has the newest ticket. */
export async function startTestbedAgent(access: TestbedAccess): Promise<AgentProcess> {
  const settings = agentSettingsSchema.parse({
    process: {name: 'agent-0', failureDomain: MEASURED_DOMAIN, region: 'r'},
    listen: LOOPBACK_ANY,
    endpoint: {
      name: 'engine-0',
      type: 'engine',
      address: access.engine,
      slots: SLOTS,
      queueCapacity: SLOTS,
    },
    platform: {keyValue: access.keyValue, instances: access.instances},
    limits: permissiveLimits,
  });
  const {secrets} = access;
  const agent = await startAgent({settings, secrets, clock: systemClock, logger: silentLogger});
  const running = agent._unsafeUnwrap();
  await waitForTicket(running, access.ticket);
  return running;
}

/** Resolves when a process has applied a ticket. */
export async function waitForTicket(
  {feed}: Pick<EntryProcess, 'feed'>,
  number: number,
): Promise<void> {
  if (feed.head.number >= number) return;
  await new Promise<void>((resolve) => {
    const subscription = feed.heads.subscribe((head) => {
      if (head.number < number) return;
      queueMicrotask(() => {
        subscription.unsubscribe();
      });
      resolve();
    });
  });
}
