/** Creates the components of an entry and starts its servers. */
import {
  addConnectionMetrics,
  type ConfigurationFeed,
  createMembership,
  createProcessRegistry,
  EndpointSelector,
  type InstanceFeed,
  RetryBudget,
  type Secrets,
} from '@marigoldfold/coordination';
import {
  createIncarnation,
  type Instance,
  type Load,
  createRequestIdGenerator,
} from '@marigoldfold/protocol';
import {type Clock, DisposableStore, type Logger, type Random, sleep} from '@marigoldfold/runtime';
import {createEtcdKeyValue} from '@marigoldfold/state';
import {
  budgetOptions,
  createClusterKey,
  createHttpClient,
  type HttpServer,
  listen,
  type ListenError,
  MemoryBudget,
  splitAddress,
} from '@marigoldfold/transport';
import {err, ok, type Result} from 'neverthrow';
import {combineLatest} from 'rxjs';
import {createAccountLimiting} from './accountLimiting.js';
import {RequestMetrics} from './requestMetrics.js';
import {createCallersApi} from './callersApi.js';
import {AgentClientPool} from './httpAgentClient.js';
import {createOperatorsApi} from './operatorsApi.js';
import {Router} from './router.js';
import type {EntrySettings} from './settings.js';
import {gatherStatus} from './status.js';
import {createClaimManager} from './claimManager.js';
import {createTicketManager} from './ticketManager.js';

/** Settings, secrets, clock, randomness and logger with which an entry is started. */
export interface EntryProcessOptions {
  readonly settings: EntrySettings;
  readonly secrets: Secrets;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** Whether to serve Node.js process metrics too; only for a process that runs no other instance. */
  readonly includesNodeMetrics?: boolean;
}

/** A running entry with its two HTTP servers; disposing of it stops the entry without draining it. */
export interface EntryProcess extends Disposable {
  readonly callers: HttpServer;
  readonly operators: HttpServer;
  readonly feed: ConfigurationFeed;
  readonly instances: InstanceFeed;
  /** Makes the readiness check fail, waits until all requests have ended, and stops the entry. */
  drain(): Promise<void>;
}

/** Starts an entry; fails when one of its two ports cannot be opened. */
export async function startEntry(
  options: EntryProcessOptions,
): Promise<Result<EntryProcess, ListenError>> {
  const {settings, clock, logger} = options;
  const disposables = new DisposableStore();
  const components = createComponents(options, disposables);
  const {membership, agentClients, endpointSelector, accounts} = components;
  const {feed, instances, record, peers} = membership;
  let isLeaving = false;
  const isReady = () => !isLeaving && feed.head.number > 0;
  const includesNode = options.includesNodeMetrics === true;
  const registry = createProcessRegistry({feed, includesNode});
  const agentClientFor = (instance: Instance) => agentClients.get(instance);
  const incarnation = createIncarnation(clock.now());
  const onUnhandledError = (error: unknown) => {
    logger.error('unhandled error in a request handler', {
      reason: error instanceof Error ? (error.stack ?? error.message) : String(error),
    });
  };

  const memory = new MemoryBudget({
    ...budgetOptions(clock, settings.limits.maxMemoryBytes),
    onEviction: (eviction) => {
      logger.info('memory evicted', {...eviction});
    },
    onCallbackError: onUnhandledError,
  });

  const callers = await listen({
    ...hostAndPort(settings.listen),
    limits: settings.limits,
    budget: memory,
    onConnectionClosed: (connection) => {
      logger.info('connection closed', {reason: 'limit', ...connection});
    },
    handle: createCallersApi({
      incarnation,
      clock,
      logger,
      limits: settings.limits,
      memory,
      head: () => feed.head,
      accountLimits: accounts.limits,
      router: new Router({
        clock,
        logger,
        endpointSelector,
        retryBudget: new RetryBudget(),
        agentClientFor,
      }),
      metrics: new RequestMetrics(registry),
      nextRequestId: createRequestIdGenerator(incarnation),
    }),
    onUnhandledError,
  });
  if (callers.isErr()) {
    disposables[Symbol.dispose]();
    return err(callers.error);
  }
  disposables.add(callers.value);

  const operators = await listen({
    ...hostAndPort(settings.operatorsListen),
    limits: settings.limits,
    budget: memory,
    onConnectionClosed: (connection) => {
      logger.info('connection closed', {reason: 'limit', ...connection});
    },
    handle: createOperatorsApi({
      operators: settings.operators,
      limits: settings.limits,
      memory,
      ticketManager: createTicketManager({record, head: () => feed.head, clock}),
      status: (ticket) =>
        gatherStatus({
          instance: settings.process.name,
          feed,
          instances,
          agentClientFor,
          peers,
          ticket,
        }),
      claimManager: createClaimManager({store: components.store, clock}),
      isReady,
      registry,
    }),
    // Other instances also open control connections to the operators' port; they authenticate with the cluster key.
    upgrade: (request, socket, head) => {
      accounts.control.upgrade(request, socket, head);
    },
    onUnhandledError,
  });
  if (operators.isErr()) {
    disposables[Symbol.dispose]();
    return err(operators.error);
  }
  disposables.add(operators.value);
  addConnectionMetrics(registry, {
    callers: callers.value.connectionCount,
    operators: operators.value.connectionCount,
  });

  const updates = combineLatest([feed.heads, instances.lists]).subscribe(([head, list]) => {
    endpointSelector.update(head.configuration, list.instances);
    agentClients.retain(list.instances);
    accounts.update(list.instances);
  });
  disposables.defer(() => {
    updates.unsubscribe();
  });
  await membership.start();
  logger.info('ready', {
    callers: callers.value.address,
    operators: operators.value.address,
  });
  return ok({
    callers: callers.value,
    operators: operators.value,
    feed,
    instances,
    async drain() {
      isLeaving = true;
      logger.info('leaving', {connections: callers.value.connectionCount()});
      // The load balancer keeps sending requests until its health check reports the entry as not ready.
      callers.value.disableKeepAlive();
      await sleep(clock, settings.drain.graceMs);
      await callers.value.drain();
      disposables[Symbol.dispose]();
    },
    [Symbol.dispose]() {
      disposables[Symbol.dispose]();
    },
  });
}

function createComponents(
  {settings, secrets, clock, random, logger}: EntryProcessOptions,
  disposables: DisposableStore,
) {
  const {platform, process} = settings;
  const client = disposables.add(createHttpClient());
  const store = createEtcdKeyValue({
    client,
    address: platform.keyValue,
    timeoutMs: platform.keyValueTimeoutMs,
  });
  const clusterKey = createClusterKey(secrets.clusterKey);
  const membership = disposables.add(
    createMembership({
      self: process,
      store,
      client,
      clusterKey,
      monitorKey: secrets.monitorKey,
      platform,
      clock,
      random,
      logger,
    }),
  );
  const agentClients = disposables.add(new AgentClientPool(client, clusterKey));
  const {name: self, failureDomain, region} = process;
  const probe = async (instance: Instance) =>
    (await agentClients.get(instance).probe()).unwrapOr(undefined);
  // A configuration number above this entry's own in a load report means that this entry lacks a ticket.
  const onLoad = (instance: string, {configuration}: Load) => {
    membership.gossip.observeNumber(instance, configuration);
  };
  const endpointSelector = new EndpointSelector({
    clock,
    random,
    self,
    failureDomain,
    region,
    probe,
    onLoad,
  });
  const accountOf = (name: string) => membership.feed.head.configuration.get('account', name);
  const {peers} = membership;
  const accounts = disposables.add(
    createAccountLimiting({
      clock,
      self,
      region,
      clusterKey,
      accountOf,
      peers,
      addPeerMethods: (methods) => membership.addMethods(methods),
    }),
  );
  return {store, membership, agentClients, endpointSelector, accounts};
}

function hostAndPort(address: string): {readonly host: string; readonly port: number} {
  const [host, port] = splitAddress(address);
  return {host, port};
}
