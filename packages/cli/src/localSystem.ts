/** The whole system on loopback in one process, with stand-ins for the platform and the endpoints. */
import {randomBytes} from 'node:crypto';
import {type AgentProcess, agentSettingsSchema, startAgent} from '@marigoldfold/agent';
import {type EntryProcess, entrySettingsSchema, startEntry} from '@marigoldfold/entry';
import type {Instance} from '@marigoldfold/protocol';
import {
  DisposableStore,
  type Logger,
  sleep,
  systemClock,
  systemRandom,
} from '@marigoldfold/runtime';
import {
  batchingSpeed,
  type KeyValueStandIn,
  LaggingInstanceList,
  type Ledger,
  type SimulatedEngine,
  type StandIn,
  startEngine,
  startInstanceList,
  startKeyValue,
  startLedger,
} from '@marigoldfold/standin';
import {digestText, type Draft, generateMonitorKey, type MonitorKeyPair} from '@marigoldfold/state';
import type {ServerLimits} from '@marigoldfold/transport';
import {err, ok, type Result} from 'neverthrow';
import {signNextDecision} from './monitorDecision.js';
import {createExampleDrafts} from './exampleConfiguration.js';
import {createOperatorClient, formatOperatorError, type OperatorClient} from './operatorClient.js';

/** Ports, size and logger of the local system. */
export interface LocalSystemOptions {
  /** Port for callers; 0 selects a free port. */
  readonly port: number;
  /** Port for operators; 0 selects a free port. */
  readonly operatorsPort: number;
  readonly logger: Logger;
  readonly engines?: number;
  readonly slots?: number;
  readonly interTokenMs?: number;
  /** Limits of the entry's servers for callers and operators; defaults when absent. */
  readonly limits?: Partial<ServerLimits>;
}

/** Keys generated at the start of a local system; they are valid only while the system runs. */
export interface LocalKeys {
  readonly client: string;
  readonly operator: string;
  readonly cluster: string;
  readonly monitor: MonitorKeyPair;
}

/** A running local system. Disposal stops all processes at once, so requests in flight fail. */
export interface LocalSystem extends Disposable {
  readonly entry: EntryProcess;
  readonly agents: readonly AgentProcess[];
  readonly engines: readonly StandIn<SimulatedEngine>[];
  readonly ledger: StandIn<Ledger>;
  readonly keyValue: KeyValueStandIn;
  readonly instances: StandIn<LaggingInstanceList>;
  readonly keys: LocalKeys;
  /** Proposes and approves a ticket, and waits up to 10 s until it is in force at the entry. */
  applyDraft(draft: Draft): Promise<Result<void, string>>;
  /** Drains and stops all processes; resolves when their requests in flight have finished. */
  drain(): Promise<void>;
}

const LOOPBACK = '127.0.0.1';
const DEFAULT_ENGINES = 2;
const DEFAULT_SLOTS = 16;
const DEFAULT_INTER_TOKEN_MS = 20;
const KEY_BYTES = 24;
/** Short because no load balancer sends requests to the processes and would need time to stop doing so. */
const DRAIN_GRACE_MS = 100;
const POLL_INTERVAL_MS = 10;
const POLL_TIMEOUT_MS = 10_000;

/** Starts all processes and applies the example configuration by signed tickets. */
export async function startLocalSystem(
  options: LocalSystemOptions,
): Promise<Result<LocalSystem, string>> {
  const disposables = new DisposableStore();
  const started = await startProcesses(options, disposables);
  if (started.isErr()) {
    disposables[Symbol.dispose]();
    return err(started.error);
  }
  const system = started.value;
  for (const draft of createExampleDrafts(digestText(system.keys.client))) {
    const changed = await system.applyDraft(draft);
    if (changed.isErr()) {
      disposables[Symbol.dispose]();
      return err(changed.error);
    }
  }
  await waitUntil(() =>
    system.agents.every(({feed}) => feed.head.number === system.entry.feed.head.number),
  );
  return ok(system);
}

async function startProcesses(
  options: LocalSystemOptions,
  disposables: DisposableStore,
): Promise<Result<LocalSystem, string>> {
  const keys = generateKeys();
  const standIns = await startStandIns(options, disposables);
  if (standIns.isErr()) return err(standIns.error);
  const {keyValue, instances, engines, ledger} = standIns.value;
  const platform = {
    keyValue: keyValue.address,
    instances: instances.address,
    instancesIntervalMs: 200,
  };
  const secrets = {clusterKey: keys.cluster, monitorKey: keys.monitor.publicKey};
  const logger = options.logger;

  const agents: AgentProcess[] = [];
  const endpoints = [
    ...engines.map(({address}, index) => ({type: 'engine', name: `engine-${index + 1}`, address})),
    {type: 'service', name: 'ledger-1', address: ledger.address},
  ];
  for (const endpoint of endpoints) {
    const settings = agentSettingsSchema.parse({
      process: processIdentity(`agent-${endpoint.name}`),
      listen: `${LOOPBACK}:0`,
      endpoint: {...endpoint, slots: options.slots ?? DEFAULT_SLOTS},
      drain: {graceMs: DRAIN_GRACE_MS},
      platform,
    });
    const agent = await startAgent({settings, secrets, clock: systemClock, logger});
    if (agent.isErr()) return err(agent.error.message);
    agents.push(disposables.add(agent.value));
    instances.implementation.set(agentInstance(endpoint.name, agent.value.server.address));
  }

  const entrySettings = entrySettingsSchema.parse({
    process: processIdentity('entry-1'),
    listen: `${LOOPBACK}:${options.port}`,
    operatorsListen: `${LOOPBACK}:${options.operatorsPort}`,
    operators: [{name: 'dev', keySha256: digestText(keys.operator)}],
    drain: {graceMs: DRAIN_GRACE_MS},
    platform,
    limits: options.limits ?? {},
  });
  const entry = await startEntry({
    settings: entrySettings,
    secrets,
    clock: systemClock,
    random: systemRandom(),
    logger,
  });
  if (entry.isErr()) return err(entry.error.message);
  disposables.add(entry.value);
  instances.implementation.set(entryInstance(entry.value.operators.address));
  const client = disposables.add(
    createOperatorClient({address: entry.value.operators.address, operatorKey: keys.operator}),
  );
  return ok({
    entry: entry.value,
    agents,
    engines,
    ledger,
    keyValue,
    instances,
    keys,
    applyDraft: (draft) => proposeAndApprove(client, entry.value, keys.monitor, draft),
    async drain() {
      await entry.value.drain();
      await Promise.all(agents.map((agent) => agent.drain()));
      disposables[Symbol.dispose]();
    },
    [Symbol.dispose]() {
      disposables[Symbol.dispose]();
    },
  });
}

interface StandIns {
  readonly keyValue: KeyValueStandIn;
  readonly instances: StandIn<LaggingInstanceList>;
  readonly engines: readonly StandIn<SimulatedEngine>[];
  readonly ledger: StandIn<Ledger>;
}

async function startStandIns(
  options: LocalSystemOptions,
  disposables: DisposableStore,
): Promise<Result<StandIns, string>> {
  const keyValue = await startKeyValue(systemClock);
  if (keyValue.isErr()) return err(keyValue.error.message);
  disposables.add(keyValue.value);
  const instances = await startInstanceList(systemClock, 0);
  if (instances.isErr()) return err(instances.error.message);
  disposables.add(instances.value);
  const ledger = await startLedger();
  if (ledger.isErr()) return err(ledger.error.message);
  disposables.add(ledger.value);
  const engines: StandIn<SimulatedEngine>[] = [];
  const speed = batchingSpeed(
    options.slots ?? DEFAULT_SLOTS,
    options.interTokenMs ?? DEFAULT_INTER_TOKEN_MS,
  );
  while (engines.length < (options.engines ?? DEFAULT_ENGINES)) {
    const engine = await startEngine(systemClock, speed);
    if (engine.isErr()) return err(engine.error.message);
    engines.push(disposables.add(engine.value));
  }
  return ok({keyValue: keyValue.value, instances: instances.value, engines, ledger: ledger.value});
}

function generateKeys(): LocalKeys {
  const secret = () => randomBytes(KEY_BYTES).toString('base64url');
  return {
    client: `mf.demo.${secret()}`,
    operator: secret(),
    cluster: secret(),
    monitor: generateMonitorKey(),
  };
}

function processIdentity(name: string) {
  return {name, failureDomain: 'local-a', region: 'local'};
}

function agentInstance(endpoint: string, address: string): Instance {
  return {...processIdentity(`agent-${endpoint}`), role: 'agent', address, endpoint, state: 'live'};
}

function entryInstance(address: string): Instance {
  return {...processIdentity('entry-1'), role: 'entry', address, state: 'live'};
}

async function proposeAndApprove(
  client: OperatorClient,
  entry: EntryProcess,
  monitor: MonitorKeyPair,
  draft: Draft,
): Promise<Result<void, string>> {
  const proposed = await client.propose({id: randomBytes(KEY_BYTES).toString('hex'), draft});
  if (proposed.isErr()) return err(formatOperatorError(proposed.error));
  const record = await client.readRecord(0);
  if (record.isErr()) return err(formatOperatorError(record.error));
  const decision = signNextDecision(record.value, {
    number: proposed.value.number,
    verdict: 'approved',
    note: '',
    privateKeyPem: monitor.privateKeyPem,
    firstPublicKey: monitor.publicKey,
    nowMs: systemClock.now(),
  });
  if (decision.isErr()) return err(decision.error);
  const decided = await client.decide(decision.value);
  if (decided.isErr()) return err(formatOperatorError(decided.error));
  const isInForce = await waitUntil(() => entry.feed.head.number >= proposed.value.number);
  return isInForce
    ? ok(undefined)
    : err(`ticket ${proposed.value.number} did not come into force in time`);
}

async function waitUntil(condition: () => boolean): Promise<boolean> {
  for (let waitedMs = 0; waitedMs < POLL_TIMEOUT_MS; waitedMs += POLL_INTERVAL_MS) {
    if (condition()) return true;
    await sleep(systemClock, POLL_INTERVAL_MS);
  }
  return condition();
}
