/** The system of the matrix: the product's own router, workers and claims over in-memory stand-ins. */
import {EndpointSelector, RetryBudget} from '@marigoldfold/coordination';
import {type AgentClient, Router} from '@marigoldfold/entry';
import {
  type Instance,
  originalRequestId,
  type Task,
  type WorkRequest,
} from '@marigoldfold/protocol';
import {seededRandom, silentLogger, sleep, VirtualClock} from '@marigoldfold/runtime';
import {faultyKeyValue, MemoryKeyValue, type StoreFault} from '@marigoldfold/standin';
import {Configuration, type KeyValue, type RequestClass} from '@marigoldfold/state';
import {AgentSlot} from './agentSlot.js';
import {MatrixEngine, MatrixLedger} from './endpoints.js';
import {
  type Fault,
  type Injector,
  LATE_MS,
  LATENCY_MS,
  OUTAGE_MS,
  type Passage,
  PAUSE_MS,
  type Point,
  SLOW_MS,
} from './faults.js';
import {Host} from './host.js';
import {MemoryLink} from './memoryLink.js';
import {Partitions} from './network.js';

const ENDPOINTS_OF_A_KIND = 3;
const ENGINE_SPEED = {slots: 1, prefillTokensPerSecond: 1000, interTokenMs: () => 20};
const LEDGER_SLOTS = 4;
/** The matrix has no targets: a refusal because a fault has eaten the target up would be true as well. */
const NO_TARGET_MS = 3_600_000;

/** Class of all requests. */
const requestClass: RequestClass = {
  tier: 0,
  endpointSets: ['engines', 'ledgers'],
  guaranteedShare: 0,
  typicalOutputTokens: 16,
};

/** What a caller asks for. */
export interface Order {
  readonly kind: 'generation' | 'call';
  /** The idempotency key of a call. */
  readonly key: string;
  readonly isRepeat: boolean;
}

interface Facts {
  readonly order: Order;
  attempt: number;
}

interface Entry {
  readonly host: Host;
  readonly router: Router;
}

/** The system. */
export class World {
  readonly clock = new VirtualClock();
  readonly engines: readonly MatrixEngine[];
  readonly ledger: MatrixLedger;
  readonly slots: readonly AgentSlot[];
  readonly memory: MemoryKeyValue;
  readonly #injector: Injector;
  readonly #partitions = new Partitions(this.clock);
  readonly #random: () => number;
  readonly #facts = new Map<string, Facts>();
  readonly #claimedDigests = new Set<string>();
  #entry: Entry;
  #entryLives = 0;
  #sequence = 0;
  #storeDownUntilMs = 0;

  constructor(injector: Injector, seed: number) {
    this.#injector = injector;
    this.#random = seededRandom(seed);
    this.memory = new MemoryKeyValue(this.clock);
    this.ledger = new MatrixLedger(this.clock);
    this.engines = numbers().map(() => new MatrixEngine(this.clock, ENGINE_SPEED));
    this.slots = [...this.#engineSlots(), ...this.#ledgerSlots()];
    this.#entry = this.#beginEntry();
  }

  /** Routes an order from the entry that lives now. */
  send(order: Order, signal: AbortSignal) {
    if (!this.#entry.host.isAlive) this.#entry = this.#beginEntry();
    const {host, router} = this.#entry;
    this.#sequence += 1;
    const id = `entry-${this.#entryLives}.${this.#sequence}`;
    this.#facts.set(id, {order, attempt: 0});
    const target =
      order.kind === 'generation'
        ? ({kind: 'model', model: 'm'} as const)
        : ({kind: 'service', service: 'ledger', affinityKey: order.key} as const);
    const demand = {requestClass, tier: requestClass.tier, target};
    const answer = router.route({work: toWork(id, order), demand}, signal);
    return {id, host, answer};
  }

  #beginEntry(): Entry {
    this.#entryLives += 1;
    const host = new Host(this.clock);
    const choice = new EndpointSelector({clock: host.clock, random: this.#random, self: 'entry'});
    choice.update(configuration(this.slots), this.slots.map(toInstance));
    const links = new Map<string, AgentClient>();
    for (const slot of this.slots) {
      const link = new MemoryLink({
        clock: this.clock,
        partitions: this.#partitions,
        entry: host,
        slot,
        take: (passage) => this.#injector.take(passage),
        noteAttempt: (id) => {
          const facts = this.#facts.get(originalRequestId(id));
          if (facts !== undefined) facts.attempt += 1;
        },
        describe: (id) => this.#describe(id),
      });
      links.set(slot.name, link);
    }
    const router = new Router({
      clock: host.clock,
      logger: silentLogger,
      choice,
      retryBudget: new RetryBudget(),
      agentClientFor: ({name}) => {
        const link = links.get(name);
        if (link === undefined) throw new Error(`no agent ${name}`);
        return link;
      },
    });
    return {host, router};
  }

  #engineSlots(): AgentSlot[] {
    return this.engines.map(
      (engine, index) =>
        new AgentSlot({
          clock: this.clock,
          name: `engine-${index + 1}`,
          slots: ENGINE_SPEED.slots,
          engine: (host) => engine.connect(host, (point, id) => this.#take(point, id)),
          store: () => this.memory,
        }),
    );
  }

  #ledgerSlots(): AgentSlot[] {
    return numbers().map(
      (number) =>
        new AgentSlot({
          clock: this.clock,
          name: `ledger-${number}`,
          slots: LEDGER_SLOTS,
          service: (host) => this.ledger.connect(host, (id) => this.#take('call', id)),
          store: (host) => this.#storeOf(host),
        }),
    );
  }

  #describe(id: string): Omit<Passage, 'point' | 'isLeaving'> {
    const facts = this.#facts.get(originalRequestId(id));
    if (facts === undefined) throw new Error(`no request ${id}`);
    const {order, attempt} = facts;
    return {kind: order.kind, attempt, isRepeat: order.isRepeat};
  }

  #take(point: Point, id: string): Fault | undefined {
    const fault = this.#injector.take({point, ...this.#describe(id), isLeaving: false});
    return fault === 'refusal' ? undefined : fault;
  }

  /** The key-value service as one life of an agent reaches it. */
  #storeOf(host: Host): KeyValue {
    return faultyKeyValue({
      clock: this.clock,
      store: this.memory,
      chooseFault: ({method, value}) => this.#storeFault(host, method, value),
      wrapCall: async (run) => {
        await sleep(this.clock, LATENCY_MS);
        await host.awake();
        const result = await run();
        await host.awake();
        return result;
      },
    });
  }

  #storeFault(host: Host, method: keyof KeyValue, value = ''): StoreFault {
    if (this.clock.now() < this.#storeDownUntilMs) return 'refused';
    const point = storePoint(method, value);
    if (point === undefined) return 'none';
    // The key-value service knows nothing of requests, so repeats are told by the claim that stands.
    const isRepeat = point === 'claim' && this.#isClaimed(value);
    const fault = this.#injector.take({
      point,
      kind: 'call',
      attempt: 1,
      isRepeat,
      isLeaving: false,
    });
    switch (fault) {
      case 'agent-crash':
        host.crash();
        return 'none';
      case 'agent-pause':
        host.pause(PAUSE_MS);
        return 'none';
      case 'cut-off':
      case 'store-down':
        this.#storeDownUntilMs = this.clock.now() + OUTAGE_MS;
        return 'refused';
      case 'request-lost':
      case 'answer-lost':
      case 'duplicate':
        return fault;
      case 'late':
        return {lateByMs: LATE_MS};
      case 'slow':
        return {slowByMs: SLOW_MS};
      case undefined:
      case 'entry-crash':
      case 'entry-pause':
      case 'endpoint-crash':
      case 'endpoint-pause':
      case 'stale-list':
      case 'refusal':
        return 'none';
    }
  }

  #isClaimed(value: string): boolean {
    const {requestDigest} = JSON.parse(value) as {readonly requestDigest: string};
    const seen = this.#claimedDigests.has(requestDigest);
    this.#claimedDigests.add(requestDigest);
    return seen;
  }
}

function storePoint(method: keyof KeyValue, value: string): Point | undefined {
  if (method === 'remove') return 'release';
  if (method !== 'write') return undefined;
  return value.includes('"outcome"') ? 'record' : 'claim';
}

function numbers(): number[] {
  return Array.from({length: ENDPOINTS_OF_A_KIND}, (_, index) => index + 1);
}

function toWork(id: string, {kind, key}: Order): WorkRequest {
  const call: Task = {
    kind: 'call',
    service: 'ledger',
    method: 'POST',
    path: '/postings',
    headers: {},
    body: key,
    idempotencyKey: key,
  };
  const generation: Task = {kind: 'generation', model: 'm', path: '/v1/completions', body: {}};
  return {
    id,
    entry: 'entry',
    account: 'band',
    class: 'short',
    tier: requestClass.tier,
    firstTokenBudgetMs: NO_TARGET_MS,
    promptTokens: 1,
    configuration: 1,
    task: kind === 'generation' ? generation : call,
  };
}

function toInstance({name}: AgentSlot): Instance {
  const place = {failureDomain: 'a', region: 'r'};
  return {name, role: 'agent', address: `${name}:1`, ...place, endpoint: name, state: 'live'};
}

function configuration(slots: readonly AgentSlot[]): Configuration {
  const engines = {type: 'engine', models: ['m'], slots: 1};
  const ledgers = {type: 'service', service: 'ledger', slots: LEDGER_SLOTS};
  return Configuration.empty.apply(
    [
      {kind: 'endpointSet', name: 'engines', state: engines},
      {kind: 'endpointSet', name: 'ledgers', state: ledgers},
      ...slots.map(({name}) => ({
        kind: 'endpoint' as const,
        name,
        state: {set: name.startsWith('engine') ? 'engines' : 'ledgers'},
      })),
    ],
    1,
  );
}
