/** The forwarding router process: watches the store, serves clients and exchanges reports with its peers. */
import type {Server} from 'node:http';
import {
  DispatchQueue,
  EndpointPermits,
  EndpointRegistry,
  PeerChannel,
  Placement,
  PromptQuarantine,
  WindowedRetryBudget,
} from '@marigoldfold/coordination';
import {
  containTimers,
  type DefectReporter,
  describeError,
  DisposableStore,
  EventLoopMonitor,
} from '@marigoldfold/runtime';
import {
  createEndpointClient,
  isListening,
  listenPersistently,
  splitAddress,
} from '@marigoldfold/transport';
import {Registry} from 'prom-client';
import type {ConfigurationAgeLimits} from './admission.js';
import type {ForwardBounds} from './forwardSource.js';
import {ConfigurationHolder} from './configurationHolder.js';
import {CrashDetector} from './crashDetector.js';
import {FleetRecords} from './fleetRecords.js';
import {serveExchange} from './exchange.js';
import {createForwardMemory, maxClientConnections} from './forwardMemory.js';
import {ForwardMetrics} from './forwardMetrics.js';
import type {ForwardProcessOptions} from './forwardProcessOptions.js';
import {ForwardServer} from './forwardServer.js';
import {applyPeerUpdate} from './peerUpdates.js';
import {PlannedStop} from './plannedStop.js';
import {Reachability} from './reachability.js';
import {createStatusServer} from './statusServer.js';
import {StoreFollower} from './storeFollower.js';
import {keyedMaxAgeMs} from './storeTimings.js';

/** Time until load balancers send no new connections to an unready process: two failed checks and one in reserve. */
const ACCEPT_AFTER_STOP_MS = 2700;
/** Time reserved for the last writes before the process is killed. */
const STOP_RESERVE_MS = 700;
/** Event loop turns of at least this duration are logged, since they may exceed the shortest objectives. */
const LONG_LOOP_TURN_MS = 100;

/** One instance of the forwarding router with its client, readiness and metrics servers. */
export class ForwardProcess {
  readonly #options: ForwardProcessOptions;
  readonly #disposables = new DisposableStore();
  readonly #metricsRegistry = new Registry();
  readonly #metrics: ForwardMetrics;
  readonly #registry: EndpointRegistry;
  readonly #retryBudget: WindowedRetryBudget;
  readonly #peers: PeerChannel;
  readonly #permits: EndpointPermits;
  readonly #quarantine: PromptQuarantine;
  readonly #records: FleetRecords;
  readonly #server: ForwardServer;
  readonly #statusServers: readonly Server[];
  #bounds: ForwardBounds;
  /** Undefined before the start. */
  #follower: StoreFollower | undefined;
  readonly #configuration: ConfigurationHolder;
  readonly #plannedStop = new PlannedStop();
  /** Aborted when the process stops, which also ends the wait for addresses that are taken. */
  readonly #startController = new AbortController();
  /** Resolves to whether clients can connect; undefined before the start. */
  #listening: Promise<boolean> | undefined;
  #isStopping = false;
  readonly #reportDefect: DefectReporter = (place, error, fields) => {
    const reason = describeError(error);
    this.#options.logger.error('unexpected exception', {place, ...fields, reason});
    this.#metrics.defects.inc({place});
  };

  constructor(options: ForwardProcessOptions) {
    const clock = containTimers(options.clock, (error) => {
      this.#reportDefect('timer', error);
    });
    this.#options = {...options, clock};
    this.#bounds = options.bounds;
    const {logger} = options;
    this.#registry = new EndpointRegistry({
      clock,
      logger,
      pacesEndpoints: options.pacesEndpoints ?? false,
      remoteCoverage: () => this.#peers.coverage,
      onRemoved: (id) => {
        this.#metrics.removeEndpoint(id);
        this.#permits.drop(id);
      },
    });
    this.#configuration = new ConfigurationHolder({
      clock,
      logger,
      source: options.source,
      copyAgeMs: () => this.#follower?.ageMs ?? Number.POSITIVE_INFINITY,
      onInForce: ({limits}) => {
        this.#server.applyLimits(limits);
      },
    });
    this.#retryBudget = new WindowedRetryBudget(clock, options.bounds.retryBudget);
    this.#quarantine = new PromptQuarantine({
      clock,
      logger,
      onQuarantined: (digest) => this.#follower?.quarantineRecords.write(digest),
      onCleared: (digest) => this.#follower?.quarantineRecords.remove(digest),
    });
    this.#peers = this.#disposables.add(
      new PeerChannel({
        clock,
        logger,
        self: options.name,
        address: options.peerAddress,
        onUpdate: (update) => {
          applyPeerUpdate(peerUpdateTargets, update);
        },
      }),
    );
    this.#records = new FleetRecords({
      logger,
      source: options.source,
      self: options.name,
      registry: this.#registry,
      peers: this.#peers,
      quarantine: this.#quarantine,
      onPeer: (peer) => {
        this.#reportConfiguration(peer);
      },
      onRecordLost: (digest) => this.#follower?.quarantineRecords.write(digest),
    });
    this.#permits = this.#disposables.add(
      new EndpointPermits({
        clock,
        logger,
        random: options.random,
        self: options.name,
        registry: this.#registry,
        peers: () => this.#peers.names,
        isRegistered: () => this.#follower?.isRegistered === true,
        send: (peer, update) => {
          this.#peers.sendTo(peer, update);
        },
      }),
    );
    const placement = new Placement({
      clock,
      registry: this.#registry,
      publisher: this.#peers,
      onBegun: (prompt) => {
        this.#quarantine.recordBegun(prompt);
      },
    });
    const peerUpdateTargets = {
      logger,
      reportDefect: this.#reportDefect,
      placement,
      permits: this.#permits,
      quarantine: this.#quarantine,
      configuration: this.#configuration,
      duties: () => this.#follower?.duties,
      reportConfiguration: (peer: string) => {
        this.#reportConfiguration(peer);
      },
    };
    const crashDetector = new CrashDetector({
      clock,
      isListening,
      onCrash: (endpoint, crash) => {
        if (!endpoint.isBackedOff) placement.recordUnreachable(endpoint);
        this.#quarantine.recordCrash(crash);
        this.#peers.publishCrash(crash);
      },
    });
    const dispatch = new DispatchQueue({clock});
    const memory = createForwardMemory({
      clock,
      logger,
      memoryBytes: options.processLimits.memoryBytes,
      metrics: () => this.#metrics,
    });
    this.#metrics = new ForwardMetrics(this.#metricsRegistry, {
      configurationAgeMs: () => this.#configuration.state.ageMs,
      peers: () => this.#peers.size,
      remoteRequests: () => placement.remoteRequestCount,
      queued: () => dispatch.size,
      endpoints: () => this.#registry.size,
      paceWindows: () => this.#registry.paceWindows(),
      limitedEndpoints: () => this.#registry.limitedCount,
      quarantinedParts: () => this.#quarantine.size,
      heldBytes: (kind) => memory.bytesOf(kind),
      memoryLimitBytes: () => memory.maxBytes,
      retriesLeft: () =>
        [...this.#retryBudget.services].map((service) => [
          service,
          this.#retryBudget.available(service),
        ]),
    });
    const eventLoop = new EventLoopMonitor({
      clock,
      onTurn: (durationMs) => {
        this.#metrics.observeLoopTurn(durationMs);
        if (durationMs >= LONG_LOOP_TURN_MS) logger.info('long event loop turn', {durationMs});
      },
    });
    const forwardOptions = {
      clock,
      random: options.random,
      logger,
      reportDefect: this.#reportDefect,
      eventLoop,
      codec: options.codec,
      dispatch,
      client: this.#disposables.add(createEndpointClient(options.codec.responseHeaders)),
      placement,
      permits: this.#permits,
      crashDetector,
      memory,
      reachability: new Reachability({clock, isListening}),
      quarantine: this.#quarantine,
      plannedStop: this.#plannedStop,
      retryBudget: this.#retryBudget,
      metrics: this.#metrics,
      recordBegun:
        options.duties && ((account: string) => this.#follower?.duties?.recordBegun(account)),
      configurationState: () => this.#configuration.state,
      configurationAgeLimits: () => this.#configurationAgeLimits(),
    };
    const [host, port] = splitAddress(options.clientAddress);
    this.#server = new ForwardServer({
      clock,
      logger,
      eventLoop,
      host,
      port,
      budget: memory,
      maxConnections: maxClientConnections(options.processLimits),
      requestHeaders: options.codec.requestHeaders,
      serve: (request, response, arrival) =>
        serveExchange(forwardOptions, request, response, arrival),
      onConnectionClosed: ({rule}) => {
        this.#metrics.closedConnections.inc({rule});
      },
      endRequests: () => {
        this.#plannedStop.end();
      },
    });
    const onStatusError = (error: unknown) => {
      this.#reportDefect('status', error);
    };
    const respondReady = () =>
      Promise.resolve(this.isReady ? ([200, 'ready'] as const) : ([503, 'not ready'] as const));
    const respondMetrics = async () => [200, await this.metrics()] as const;
    this.#statusServers = [
      createStatusServer(options.readyPath, respondReady, onStatusError),
      createStatusServer(options.metricsPath, respondMetrics, onStatusError),
    ];
  }

  /**
   * Starts watching the store and listening. An address that is taken is tried again; resolves to true once the one for
   * clients is open, or to false if the process was stopped before.
   */
  async start(): Promise<boolean> {
    this.#follower = this.#followStore();
    const {readyAddress, metricsAddress, clock, logger} = this.#options;
    const {signal} = this.#startController;
    this.#listening = this.#server.listen(signal);
    if (!(await this.#listening)) return false;
    const addresses = [readyAddress, metricsAddress];
    for (const [index, server] of this.#statusServers.entries()) {
      const [host, port] = splitAddress(addresses[index] ?? '');
      void listenPersistently(server, {clock, logger, host, port, signal});
    }
    return true;
  }

  /** Port for clients; the assigned one when the settings leave the choice to the operating system. */
  get clientPort(): number {
    return this.#server.port;
  }

  /** Whether load balancers should send new connections to this process. */
  get isReady(): boolean {
    const {table, ageMs} = this.#configuration.state;
    return (
      !this.#isStopping &&
      table !== undefined &&
      ageMs < this.#configurationAgeLimits().keyedRequestMaxAgeMs
    );
  }

  /** Metrics in the Prometheus text format. */
  metrics(): Promise<string> {
    return this.#metricsRegistry.metrics();
  }

  /** Applies changed bounds; the timings of the store watch keep their old values. */
  reload(bounds: ForwardBounds): void {
    this.#bounds = bounds;
    this.#retryBudget.bounds = bounds.retryBudget;
  }

  /** Shuts down gracefully within the stop bound; requests in flight at its end get a failure or an incomplete stream. */
  async stop(): Promise<void> {
    this.#isStopping = true;
    this.#follower?.duties?.release();
    this.#startController.abort();
    const limitMs = this.#bounds.stopMs - STOP_RESERVE_MS;
    this.#plannedStop.endsAtMs = this.#options.clock.now() + limitMs;
    if (await this.#listening)
      await this.#server.stop({acceptMs: Math.min(ACCEPT_AFTER_STOP_MS, limitMs), limitMs});
    await this.#follower?.duties?.leave();
    for (const server of this.#statusServers) {
      server.closeAllConnections();
      server.close();
    }
    this.#disposables[Symbol.dispose]();
  }

  #followStore(): StoreFollower {
    return this.#disposables.add(
      new StoreFollower({
        ...this.#options,
        reportDefect: this.#reportDefect,
        metrics: this.#metrics,
        metricsRegistry: this.#metricsRegistry,
        bounds: this.#bounds,
        registry: this.#registry,
        peers: this.#peers,
        configuration: this.#configuration,
        records: this.#records,
        onApplied: () => {
          this.#retryBudget.recordProcessCount(this.#peers.size + 1);
          this.#permits.updateMembers();
        },
      }),
    );
  }

  /** Tells an instance of the highest version, as its copy of the store may be older. */
  #reportConfiguration(peer: string): void {
    const {highestVersion} = this.#configuration;
    if (highestVersion !== undefined) this.#peers.sendTo(peer, {configuration: highestVersion});
  }

  #configurationAgeLimits(): ConfigurationAgeLimits {
    const {configurationMs} = this.#bounds;
    return {keyedRequestMaxAgeMs: keyedMaxAgeMs(this.#bounds), notFoundMaxAgeMs: configurationMs};
  }
}
