/** In-memory fleet that gossips configurations: production code on a simulated network, list and key-value service. */
import {
  ConfigurationFeed,
  InstanceFeed,
  type InstanceSource,
  computeListAgeLimitMs,
  type Locality,
  Gossip,
} from '@marigoldfold/coordination';
import type {Instance} from '@marigoldfold/protocol';
import {
  type Clock,
  DisposableStore,
  seededRandom,
  silentLogger,
  sleep,
} from '@marigoldfold/runtime';
import {SwitchableKeyValue, LaggingInstanceList, MemoryKeyValue} from '@marigoldfold/standin';
import {
  advanceHead,
  type Change,
  type Decision,
  decideTicket,
  generateMonitorKey,
  createInitialHead,
  type ChainHead,
  openRecord,
  type Ticket,
} from '@marigoldfold/state';
import {err, ok} from 'neverthrow';
import {MemoryNetwork, type NetworkNode, type Traffic} from './memoryNetwork.js';
import {PausableClock} from './pausableClock.js';

/** Size of a fleet, and delays of its network and of the list of instances. */
export interface FleetOptions {
  readonly clock: Clock;
  readonly seed: number;
  readonly domains: number;
  /** Failure domains are assigned to regions round-robin. */
  readonly regions: number;
  readonly instances: number;
  /** One-way latency of a message. */
  readonly delayMs: (from: Locality, to: Locality) => number;
  /** Delay until a change becomes visible in the platform's list of instances. */
  readonly listLagMs: number;
}

/** A configuration that came into force at a process, and when. */
export interface AppliedHead {
  readonly number: number;
  readonly stateDigest: string;
  readonly atMs: number;
}

/** A simulated process with its own clock, key-value client and feeds; disposal stops it. */
export interface FleetNode extends Disposable {
  readonly instance: Instance;
  readonly clock: PausableClock;
  readonly store: SwitchableKeyValue;
  readonly feed: ConfigurationFeed;
  readonly instances: InstanceFeed;
  readonly gossip: Gossip;
  readonly traffic: Traffic;
  /** The configurations applied since the start of the process, oldest first. */
  readonly appliedHeads: readonly AppliedHead[];
}

const LIST_INTERVAL_MS = 2000;

/** Processes with their network, the key-value service, the platform's list, and a monitor that approves tickets. */
export class Fleet implements Disposable {
  readonly options: FleetOptions;
  readonly store: MemoryKeyValue;
  readonly list: LaggingInstanceList;
  readonly network: MemoryNetwork;
  readonly nodes: FleetNode[] = [];
  /** Chain head after each approved or rejected ticket, indexed by ticket number. */
  readonly heads: ChainHead[];
  /** While true, reads of the platform's list of instances fail. */
  isListDown = false;
  readonly monitor = generateMonitorKey();
  #startedCount = 0;

  constructor(options: FleetOptions) {
    this.options = options;
    this.store = new MemoryKeyValue(options.clock);
    this.list = new LaggingInstanceList(options.clock, options.listLagMs);
    const random = seededRandom(options.seed);
    this.network = new MemoryNetwork(options.clock, random, options.delayMs);
    this.heads = [createInitialHead(this.monitor.publicKey)];
    while (this.nodes.length < options.instances) this.add();
  }

  /** Head after the newest decided ticket. */
  get head(): ChainHead {
    return this.heads.at(-1) ?? createInitialHead(this.monitor.publicKey);
  }

  /** Total calls of all processes to the key-value service, including failed ones. */
  get storeCalls(): number {
    return this.nodes.reduce((total, {store}) => total + store.callCount, 0);
  }

  /** Starts all processes that have not been started. */
  start(): void {
    for (const node of this.nodes.slice(this.#startedCount)) this.#startNode(node);
    this.#startedCount = this.nodes.length;
  }

  /** Adds a process, to be started by `start`, and enters it in the platform's list. */
  add(): FleetNode {
    const index = this.nodes.length;
    const domain = index % this.options.domains;
    const instance: Instance = {
      name: `agent-${index}`,
      role: 'agent',
      address: `10.0.${index >> 8}.${index & 255}:7000`,
      failureDomain: `domain-${domain}`,
      region: `region-${domain % this.options.regions}`,
      state: 'live',
    };
    const node = this.#createNode(instance, index);
    this.nodes.push(node);
    this.list.set(instance);
    return node;
  }

  /** Writes a ticket as an entry does and its decision as the monitor does; returns the new head. */
  async decide(
    changes: readonly Change[],
    verdict: Decision['verdict'] = 'approved',
  ): Promise<ChainHead> {
    const {head} = this;
    const ticket: Ticket = {
      number: head.number + 1,
      id: `id-${head.number + 1}`,
      previousDigest: head.digest,
      base: head.number,
      author: 'ada',
      reason: 'measure the spread',
      proposedAtMs: this.options.clock.now(),
      changes: [...changes],
    };
    const record = openRecord(this.store);
    (await record.propose(ticket, () => true))._unsafeUnwrap();
    const {privateKeyPem} = this.monitor;
    const options = {privateKeyPem, decidedAtMs: this.options.clock.now()};
    const decision = decideTicket(head, ticket, verdict, options)._unsafeUnwrap();
    (await record.decide(decision, () => true))._unsafeUnwrap();
    const next = advanceHead(head, {ticket, decision})._unsafeUnwrap();
    this.heads.push(next);
    return next;
  }

  /** Makes the key-value service unavailable or available for all processes. */
  setStoreDown(isDown: boolean): void {
    for (const {store} of this.nodes) store.isDown = isDown;
  }

  [Symbol.dispose](): void {
    for (const node of this.nodes) node[Symbol.dispose]();
  }

  #createNode(instance: Instance, index: number): FleetNode {
    const disposables = new DisposableStore();
    const clock = new PausableClock(this.options.clock);
    const random = seededRandom(this.options.seed * 10_007 + index);
    const store = new SwitchableKeyValue(this.store, clock, () => clock.waitUntilRunning());
    const logger = silentLogger;
    const feed = disposables.add(
      new ConfigurationFeed({monitorKey: this.monitor.publicKey, clock, logger}),
    );
    const source: InstanceSource = async () => {
      await sleep(clock, 1);
      return this.isListDown ? err('the list of instances is unavailable') : ok(this.list.visible);
    };
    const instances: InstanceFeed = disposables.add(
      new InstanceFeed({
        source,
        clock,
        logger,
        intervalMs: LIST_INTERVAL_MS,
        maxAgeMs: (): number =>
          computeListAgeLimitMs(instances.list.instances, instance, LIST_INTERVAL_MS),
      }),
    );
    const traffic: Traffic = {messages: 0, bytes: 0};
    const networkNode: NetworkNode = {
      locality: instance,
      waitUntilRunning: () => clock.waitUntilRunning(),
      traffic,
    };
    const gossip = disposables.add(
      new Gossip({
        self: instance,
        feed,
        instances,
        store,
        peerOf: this.network.peersOf(networkNode),
        clock,
        random,
        logger,
      }),
    );
    const appliedHeads: AppliedHead[] = [];
    feed.heads.subscribe(({number, configuration}) => {
      appliedHeads.push({number, stateDigest: configuration.digest, atMs: clock.now()});
    });
    this.network.connect(networkNode, gossip);
    disposables.defer(() => {
      this.network.disconnect(instance.name);
    });
    return {
      instance,
      clock,
      store,
      feed,
      instances,
      gossip,
      traffic,
      appliedHeads,
      [Symbol.dispose]() {
        disposables[Symbol.dispose]();
      },
    };
  }

  #startNode({gossip, instances}: FleetNode): void {
    gossip.start();
    void instances.start();
  }
}

/**
 * Checks that each process applied only approved configurations, with increasing numbers. Describes the first
 * violation; undefined if there is none.
 */
export function findFleetViolation({nodes, heads}: Fleet): string | undefined {
  for (const {instance, appliedHeads} of nodes) {
    let previous = -1;
    for (const {number, stateDigest} of appliedHeads) {
      if (number <= previous) return `${instance.name} went from number ${previous} to ${number}`;
      if (heads[number]?.configuration.digest !== stateDigest) {
        return `${instance.name} applied a state as number ${number} that was not approved`;
      }
      previous = number;
    }
  }
  return undefined;
}

/** Names of the processes whose configuration differs from the newest one. */
export function findOutdatedNodes({nodes, head}: Fleet): readonly string[] {
  return nodes
    .filter(({feed}) => feed.head.configuration.digest !== head.configuration.digest)
    .map(({instance}) => instance.name);
}
