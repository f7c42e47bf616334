/** The system under test: production router, workers and claims on a virtual clock, with in-memory stand-ins. */
import {EndpointSelector, RetryBudget} from '@marigoldfold/coordination';
import {type AgentClient, Router} from '@marigoldfold/entry';
import {
  type Instance,
  originalRequestId,
  type Task,
  type WorkRequest,
} from '@marigoldfold/protocol';
import {seededRandom, silentLogger, sleep, VirtualClock} from '@marigoldfold/runtime';
import {createFaultyKeyValue, MemoryKeyValue, type StoreFault} from '@marigoldfold/standin';
import {Configuration, type KeyValue, type RequestClass} from '@marigoldfold/state';
import {RestartableAgent} from './restartableAgent.js';
import {MatrixEngine, MatrixLedger} from './endpoints.js';
import {
  type MatrixFault,
  type Injector,
  LATE_DELIVERY_MS,
  LATENCY_MS,
  OUTAGE_DURATION_MS,
  type InterceptedMessage,
  PAUSE_DURATION_MS,
  type InjectionPoint,
  SLOW_MESSAGE_MS,
} from './faults.js';
import {SimulatedProcess} from './simulatedProcess.js';
import {MemoryAgentClient} from './memoryAgentClient.js';
import {Partitions} from './network.js';

const ENDPOINTS_PER_KIND = 3;
const ENGINE_SPEED = {slots: 1, prefillTokensPerSecond: 1000, interTokenMs: () => 20};
const LEDGER_SLOTS = 4;
/** Longer than any run, because an agent may refuse a request whose latency objective has passed during a fault. */
const FIRST_TOKEN_BUDGET_MS = 3_600_000;

const requestClass: RequestClass = {
  tier: 0,
  endpointSets: ['engines', 'ledgers'],
  guaranteedShare: 0,
  typicalOutputTokens: 16,
};

/** A generation or call that a simulated caller sends to the entry. */
export interface SimulatedRequest {
  readonly kind: 'generation' | 'call';
  /** Idempotency key of a call; unused for a generation. */
  readonly key: string;
  readonly isRepeat: boolean;
}

interface RequestProgress {
  readonly request: SimulatedRequest;
  attempt: number;
}

interface Entry {
  readonly process: SimulatedProcess;
  readonly router: Router;
}

/** One entry, agents with their endpoints, and the key-value service. */
export class SimulatedSystem {
  readonly clock = new VirtualClock();
  readonly engines: readonly MatrixEngine[];
  readonly ledger: MatrixLedger;
  readonly agents: readonly RestartableAgent[];
  readonly memory: MemoryKeyValue;
  readonly #injector: Injector;
  readonly #partitions = new Partitions(this.clock);
  readonly #random: () => number;
  readonly #sentRequests = new Map<string, RequestProgress>();
  readonly #claimedDigests = new Set<string>();
  #entry: Entry;
  #entryStartCount = 0;
  #sequence = 0;
  #storeDownUntilMs = 0;

  constructor(injector: Injector, seed: number) {
    this.#injector = injector;
    this.#random = seededRandom(seed);
    this.memory = new MemoryKeyValue(this.clock);
    this.ledger = new MatrixLedger(this.clock);
    this.engines = endpointNumbers().map(() => new MatrixEngine(this.clock, ENGINE_SPEED));
    this.agents = [...this.#createEngineAgents(), ...this.#createLedgerAgents()];
    this.#entry = this.#startEntry();
  }

  /** Routes a request through the current entry; starts a new entry if the last one has exited. */
  send(request: SimulatedRequest, signal: AbortSignal) {
    if (!this.#entry.process.isAlive) this.#entry = this.#startEntry();
    const {process, router} = this.#entry;
    this.#sequence += 1;
    const id = `entry-${this.#entryStartCount}.${this.#sequence}`;
    this.#sentRequests.set(id, {request, attempt: 0});
    const target =
      request.kind === 'generation'
        ? ({kind: 'model', model: 'm'} as const)
        : ({kind: 'service', service: 'ledger', affinityKey: request.key} as const);
    const criteria = {requestClass, tier: requestClass.tier, target};
    const answer = router.route({work: toWorkRequest(id, request), criteria}, signal);
    return {id, process, answer};
  }

  #startEntry(): Entry {
    this.#entryStartCount += 1;
    const process = new SimulatedProcess(this.clock);
    const endpointSelector = new EndpointSelector({
      clock: process.clock,
      random: this.#random,
      self: 'entry',
    });
    endpointSelector.update(createConfiguration(this.agents), this.agents.map(toInstance));
    const agentClients = new Map<string, AgentClient>();
    for (const agent of this.agents) {
      const agentClient = new MemoryAgentClient({
        clock: this.clock,
        partitions: this.#partitions,
        entry: process,
        agent,
        takeFault: (message) => this.#injector.takeFault(message),
        recordAttempt: (id) => {
          const progress = this.#sentRequests.get(originalRequestId(id));
          if (progress !== undefined) progress.attempt += 1;
        },
        describeRequest: (id) => this.#describeRequest(id),
      });
      agentClients.set(agent.name, agentClient);
    }
    const router = new Router({
      clock: process.clock,
      logger: silentLogger,
      endpointSelector,
      retryBudget: new RetryBudget(),
      agentClientFor: ({name}) => {
        const agentClient = agentClients.get(name);
        if (agentClient === undefined) throw new Error(`there is no agent named ${name}`);
        return agentClient;
      },
    });
    return {process, router};
  }

  #createEngineAgents(): RestartableAgent[] {
    return this.engines.map(
      (engine, index) =>
        new RestartableAgent({
          clock: this.clock,
          name: `engine-${index + 1}`,
          slots: ENGINE_SPEED.slots,
          engine: (process) => engine.connect(process, (point, id) => this.#takeFault(point, id)),
          store: () => this.memory,
        }),
    );
  }

  #createLedgerAgents(): RestartableAgent[] {
    return endpointNumbers().map(
      (number) =>
        new RestartableAgent({
          clock: this.clock,
          name: `ledger-${number}`,
          slots: LEDGER_SLOTS,
          service: (process) => this.ledger.connect(process, (id) => this.#takeFault('call', id)),
          store: (process) => this.#storeOf(process),
        }),
    );
  }

  #describeRequest(id: string): Omit<InterceptedMessage, 'point' | 'isLeaving'> {
    const progress = this.#sentRequests.get(originalRequestId(id));
    if (progress === undefined) throw new Error(`no request with id ${id} was sent`);
    const {request, attempt} = progress;
    return {kind: request.kind, attempt, isRepeat: request.isRepeat};
  }

  #takeFault(point: InjectionPoint, id: string): MatrixFault | undefined {
    const fault = this.#injector.takeFault({point, ...this.#describeRequest(id), isLeaving: false});
    return fault === 'refusal' ? undefined : fault;
  }

  /** The key-value service as seen by one incarnation of an agent. */
  #storeOf(process: SimulatedProcess): KeyValue {
    return createFaultyKeyValue({
      clock: this.clock,
      store: this.memory,
      chooseFault: ({method, value}) => this.#takeStoreFault(process, method, value),
      wrapCall: async (run) => {
        await sleep(this.clock, LATENCY_MS);
        await process.waitUntilRunning();
        const result = await run();
        await process.waitUntilRunning();
        return result;
      },
    });
  }

  #takeStoreFault(process: SimulatedProcess, method: keyof KeyValue, value = ''): StoreFault {
    if (this.clock.now() < this.#storeDownUntilMs) return 'refused';
    const point = storePoint(method, value);
    if (point === undefined) return 'none';
    // Calls to the key-value service carry no request id; a repeat is detected by an earlier claim of the same digest.
    const isRepeat = point === 'claim' && this.#wasClaimed(value);
    const fault = this.#injector.takeFault({
      point,
      kind: 'call',
      attempt: 1,
      isRepeat,
      isLeaving: false,
    });
    switch (fault) {
      case 'agent-crash':
        process.crash();
        return 'none';
      case 'agent-pause':
        process.pause(PAUSE_DURATION_MS);
        return 'none';
      case 'cut-off':
      case 'store-down':
        this.#storeDownUntilMs = this.clock.now() + OUTAGE_DURATION_MS;
        return 'refused';
      case 'request-lost':
      case 'answer-lost':
      case 'duplicate':
        return fault;
      case 'late':
        return {lateByMs: LATE_DELIVERY_MS};
      case 'slow':
        return {slowByMs: SLOW_MESSAGE_MS};
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

  #wasClaimed(value: string): boolean {
    const {requestDigest} = JSON.parse(value) as {readonly requestDigest: string};
    const wasClaimed = this.#claimedDigests.has(requestDigest);
    this.#claimedDigests.add(requestDigest);
    return wasClaimed;
  }
}

function storePoint(method: keyof KeyValue, value: string): InjectionPoint | undefined {
  if (method === 'remove') return 'release';
  if (method !== 'write') return undefined;
  return value.includes('"outcome"') ? 'record' : 'claim';
}

function endpointNumbers(): number[] {
  return Array.from({length: ENDPOINTS_PER_KIND}, (_, index) => index + 1);
}

function toWorkRequest(id: string, {kind, key}: SimulatedRequest): WorkRequest {
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
    firstTokenBudgetMs: FIRST_TOKEN_BUDGET_MS,
    promptTokens: 1,
    configuration: 1,
    task: kind === 'generation' ? generation : call,
  };
}

function toInstance({name}: RestartableAgent): Instance {
  const locality = {failureDomain: 'a', region: 'r'};
  return {name, role: 'agent', address: `${name}:1`, ...locality, endpoint: name, state: 'live'};
}

function createConfiguration(agents: readonly RestartableAgent[]): Configuration {
  const engines = {type: 'engine', models: ['m'], slots: 1};
  const ledgers = {type: 'service', service: 'ledger', slots: LEDGER_SLOTS};
  return Configuration.empty.apply(
    [
      {kind: 'endpointSet', name: 'engines', state: engines},
      {kind: 'endpointSet', name: 'ledgers', state: ledgers},
      ...agents.map(({name}) => ({
        kind: 'endpoint' as const,
        name,
        state: {set: name.startsWith('engine') ? 'engines' : 'ledgers'},
      })),
    ],
    1,
  );
}
