/** Creates and connects the components of the agent process. */
import {
  addConnectionMetrics,
  type ConfigurationFeed,
  createMembership,
  createProcessRegistry,
  type ProcessMetricsOptions,
  type Secrets,
} from '@marigoldfold/coordination';
import {createIncarnation} from '@marigoldfold/protocol';
import {
  type Clock,
  DisposableStore,
  type Logger,
  type Random,
  systemRandom,
} from '@marigoldfold/runtime';
import {createEtcdKeyValue} from '@marigoldfold/state';
import {
  createClusterKey,
  createHttpClient,
  type HttpServer,
  type ListenError,
  splitAddress,
} from '@marigoldfold/transport';
import {err, ok, type Result} from 'neverthrow';
import {Gauge, type Registry} from 'prom-client';
import {CallRunner} from './callRunner.js';
import type {Engine} from './engine.js';
import {createHttpEngine} from './httpEngine.js';
import {type TierShares, computeTierShares} from './minimumShares.js';
import {createHttpService} from './plainService.js';
import {startAgentServer} from './server.js';
import type {AgentSettings} from './settings.js';
import {Worker} from './worker.js';
import {defaultWorkerTiming, type WorkerTiming} from './workerOptions.js';
import {WorkQueue} from './workQueue.js';

/** Settings of an agent process, and replacements for its dependencies in tests. */
export interface AgentProcessOptions {
  readonly settings: AgentSettings;
  readonly secrets: Secrets;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Takes precedence over the durations in the settings and the defaults. */
  readonly timing?: Partial<WorkerTiming>;
  /** Replaces the HTTP engine at the endpoint's address. */
  readonly engine?: Engine;
  /** Whether to export Node.js metrics too; for a process that runs only this agent. */
  readonly includesNodeMetrics?: boolean;
  /** Defaults to the random source of the operating system. */
  readonly random?: Random;
}

/** A running agent; disposing it stops it at once. */
export interface AgentProcess extends Disposable {
  readonly server: HttpServer;
  readonly worker: Worker;
  readonly feed: ConfigurationFeed;
  /** Drains the worker and the server, then disposes of the agent. */
  drain(): Promise<void>;
}

const MS_PER_HOUR = 3_600_000;

/** Starts an agent; fails when its address cannot be bound. */
export async function startAgent(
  options: AgentProcessOptions,
): Promise<Result<AgentProcess, ListenError>> {
  const {settings, secrets, clock, logger} = options;
  const disposables = new DisposableStore();
  const client = disposables.add(createHttpClient());
  const store = createEtcdKeyValue({
    client,
    address: settings.platform.keyValue,
    timeoutMs: settings.platform.keyValueTimeoutMs,
  });
  const clusterKey = createClusterKey(secrets.clusterKey);
  const membership = disposables.add(
    createMembership({
      self: settings.process,
      store,
      client,
      clusterKey,
      monitorKey: secrets.monitorKey,
      platform: settings.platform,
      clock,
      random: options.random ?? systemRandom(),
      logger,
    }),
  );
  const {feed} = membership;
  const {endpoint} = settings;
  const worker = disposables.add(
    new Worker({
      incarnation: createIncarnation(clock.now()),
      clock,
      logger,
      queue: new WorkQueue({
        clock,
        slots: endpoint.slots,
        capacity: endpoint.queueCapacity,
        canPause: endpoint.type === 'engine',
        guaranteedShares: currentShares(feed, endpoint.name),
      }),
      ...(endpoint.type === 'engine'
        ? {engine: options.engine ?? createHttpEngine(client, endpoint.address)}
        : {
            calls: new CallRunner({
              service: createHttpService(client, endpoint.address),
              store,
              clock,
              logger,
              claimRetentionMs: settings.claims.retentionHours * MS_PER_HOUR,
            }),
          }),
      configurationNumber: () => feed.head.number,
      timing: {
        ...defaultWorkerTiming,
        drainGraceMs: settings.drain.graceMs,
        firstTokenLimitMs: endpoint.firstTokenLimitMs,
        silenceLimitMs: endpoint.silenceLimitMs,
        ...options.timing,
      },
    }),
  );
  const [host, port] = splitAddress(settings.listen);
  const registry = createRegistry(worker, {
    feed,
    includesNode: options.includesNodeMetrics === true,
  });
  const server = await startAgentServer({
    host,
    port,
    limits: settings.limits,
    clusterKey,
    addPeerMethods: (methods) => membership.addMethods(methods),
    worker,
    clock,
    registry,
    isReady: () => feed.head.number > 0 && !worker.isLeaving,
    logger,
  });
  if (server.isErr()) {
    disposables[Symbol.dispose]();
    return err(server.error);
  }
  disposables.add(server.value);
  addConnectionMetrics(registry, {entries: server.value.connectionCount});
  await membership.start();
  logger.info('ready', {address: server.value.address, endpoint: endpoint.name});
  return ok({
    server: server.value,
    worker,
    feed,
    async drain() {
      await worker.drain();
      await server.value.drain();
      disposables[Symbol.dispose]();
    },
    [Symbol.dispose]() {
      disposables[Symbol.dispose]();
    },
  });
}

/** Reads the tier shares of an endpoint from the current configuration, cached by its number. */
function currentShares(feed: ConfigurationFeed, endpoint: string): () => TierShares {
  let number = feed.head.number;
  let shares: TierShares = [];
  return () => {
    const {head} = feed;
    if (head.number === number) return shares;
    number = head.number;
    const set = head.configuration.get('endpoint', endpoint)?.set;
    shares = set === undefined ? [] : computeTierShares(head.configuration, set);
    return shares;
  };
}

function createRegistry(worker: Worker, options: ProcessMetricsOptions): Registry {
  const registry = createProcessRegistry(options);
  const registers = [registry];
  new Gauge({
    name: 'marigoldfold_agent_requests',
    help: 'Requests at the endpoint by state and tier.',
    labelNames: ['state', 'tier'],
    registers,
    collect() {
      const {running, queued} = worker.load();
      for (const [tier, count] of running.entries()) this.set({state: 'running', tier}, count);
      for (const [tier, count] of queued.entries()) this.set({state: 'queued', tier}, count);
    },
  });
  return registry;
}
