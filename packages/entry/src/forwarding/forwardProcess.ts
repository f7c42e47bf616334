/** The forwarding router process: watches the store, serves clients and exchanges reports with its peers. */
import {createServer, type Server} from 'node:http';
import {
  DispatchQueue,
  EndpointRegistry,
  PeerChannel,
  PeerRegistration,
  Placement,
  RangeMirror,
  type RangeMirrorOptions,
  WindowedRetryBudget,
  type WindowedRetryBudgetBounds,
} from '@marigoldfold/coordination';
import {
  type Clock,
  DisposableStore,
  EventLoopMonitor,
  type Logger,
  type Random,
} from '@marigoldfold/runtime';
import {
  type EndpointRecord,
  type KeyValue,
  type KeyValueEntry,
  type RoutingConfiguration,
  RoutingTable,
} from '@marigoldfold/state';
import {createEndpointClient, splitAddress} from '@marigoldfold/transport';
import type {Result} from 'neverthrow';
import {Registry} from 'prom-client';
import type {ConfigurationState, ConfigurationAgeLimits} from './admission.js';
import {instrumentKeyValue} from './instrumentedKeyValue.js';
import {serveExchange} from './exchange.js';
import type {MetadataCodec} from './metadataCodec.js';
import {ForwardMetrics} from './forwardMetrics.js';
import {ForwardServer} from './forwardServer.js';

/** Key-value service with the configuration, endpoints and peers, and how their documents are decoded. */
export interface ForwardSource {
  readonly store: KeyValue;
  /** Prefix of the configuration key and of the keys of endpoints and peers. */
  readonly prefix: string;
  readonly configurationKey: string;
  readonly endpointsPrefix: string;
  /** Prefix under which the instances of the router register. */
  readonly peersPrefix: string;
  readonly decodeConfiguration: (text: string) => Result<RoutingConfiguration, string>;
  readonly decodeEndpoint: (key: string, text: string) => Result<EndpointRecord, string>;
  readonly endpointIdOf: (key: string) => string;
}

/** Time bounds, in milliseconds, and retry budget that the installation sets. */
export interface ForwardBounds {
  /** Maximum time from the acceptance of a configuration until its revoked keys no longer work. */
  readonly revocationMs: number;
  /** Maximum time from the acceptance of a configuration until it is in force. */
  readonly configurationMs: number;
  /** Time from the stop signal until the process is killed. */
  readonly stopMs: number;
  readonly retryBudget: WindowedRetryBudgetBounds;
}

/** Dependencies, addresses and bounds of a router process. */
export interface ForwardProcessOptions {
  /** Monotonic clock, in milliseconds. */
  readonly clock: Clock;
  /** Wall clock time, in milliseconds, by which a suspension of the machine is detected. */
  readonly wallTimeMs: () => number;
  readonly random: Random;
  readonly logger: Logger;
  readonly codec: MetadataCodec;
  readonly source: ForwardSource;
  readonly name: string;
  /** `host:port` for reports from other instances. */
  readonly peerAddress: string;
  /** `host:port` for clients. */
  readonly clientAddress: string;
  /** `host:port` for readiness checks. */
  readonly readyAddress: string;
  readonly readyPath: string;
  /** `host:port` for metrics. */
  readonly metricsAddress: string;
  readonly metricsPath: string;
  readonly bounds: ForwardBounds;
}

/** Share of the revocation bound after which keyed requests are refused; the rest covers requests in transit. */
const KEYED_MAX_AGE_SHARE = 0.75;
/** Watch timeout as a share of the configuration bound, so that a silent connection is detected within it. */
const WATCH_TIMEOUT_SHARE = 0.6;
/** Time in which store changes are collected before they are applied, as a share of the configuration bound. */
const BATCH_DELAY_SHARE = 0.15;
/** Time that the store may take to respond after the watch timeout: 50 times 4 ms for a slow store. */
const STORE_RESPONSE_ALLOWANCE_MS = 200;
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
  readonly #server: ForwardServer;
  readonly #statusServers: readonly Server[];
  #bounds: ForwardBounds;
  #mirror: RangeMirror | undefined;
  #table: RoutingTable | undefined;
  #isStopping = false;

  constructor(options: ForwardProcessOptions) {
    this.#options = options;
    this.#bounds = options.bounds;
    const {clock, logger} = options;
    this.#registry = new EndpointRegistry({
      clock,
      logger,
      remoteCoverage: () => this.#peers.coverage,
      onRemoved: (id) => {
        this.#metrics.removeEndpoint(id);
      },
    });
    this.#retryBudget = new WindowedRetryBudget(clock, options.bounds.retryBudget);
    this.#peers = this.#disposables.add(
      new PeerChannel({
        clock,
        logger,
        self: options.name,
        address: options.peerAddress,
        onUpdate: (update) => {
          const {from, unreachable} = update;
          if (unreachable.length > 0) {
            const endpoints = unreachable.join(' ');
            logger.debug('endpoints reported unreachable', {belief: 'endpoint', from, endpoints});
          }
          placement.applyPeerUpdate(update);
        },
      }),
    );
    const placement = new Placement({clock, registry: this.#registry, publisher: this.#peers});
    const dispatch = new DispatchQueue({clock});
    this.#metrics = new ForwardMetrics(this.#metricsRegistry, {
      configurationAgeMs: () => this.#configurationState().ageMs,
      peers: () => this.#peers.size,
      remoteRequests: () => placement.remoteRequestCount,
      queued: () => dispatch.size,
      endpoints: () => this.#registry.size,
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
      eventLoop,
      codec: options.codec,
      dispatch,
      client: this.#disposables.add(createEndpointClient()),
      placement,
      retryBudget: this.#retryBudget,
      metrics: this.#metrics,
      configurationState: () => this.#configurationState(),
      configurationAgeLimits: () => this.#configurationAgeLimits(),
    };
    const [host, port] = splitAddress(options.clientAddress);
    this.#server = new ForwardServer({
      clock,
      logger,
      eventLoop,
      host,
      port,
      serve: (request, response, arrival) =>
        serveExchange(forwardOptions, request, response, arrival),
    });
    this.#statusServers = [
      createStatusServer(options.readyPath, () =>
        Promise.resolve(this.isReady ? [200, 'ready'] : [503, 'not ready']),
      ),
      createStatusServer(options.metricsPath, async () => [200, await this.metrics()]),
    ];
  }

  /** Starts watching the store and listening; rejects when the client address cannot be opened. */
  async start(): Promise<void> {
    this.#watchStore();
    await this.#server.listen();
    const {readyAddress, metricsAddress, logger} = this.#options;
    const addresses = [readyAddress, metricsAddress];
    for (const [index, server] of this.#statusServers.entries()) {
      const [host, port] = splitAddress(addresses[index] ?? '');
      server.on('error', (error) => {
        logger.error('status server failed', {host, port, reason: error.message});
      });
      server.listen({host, port});
    }
  }

  /** Port for clients; the assigned one when the settings leave the choice to the operating system. */
  get clientPort(): number {
    return this.#server.port;
  }

  /** Whether load balancers should send new connections to this process. */
  get isReady(): boolean {
    const {table, ageMs} = this.#configurationState();
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

  /** Shuts down gracefully within the stop bound; requests in flight at its end are aborted. */
  async stop(): Promise<void> {
    this.#isStopping = true;
    const limitMs = this.#bounds.stopMs - STOP_RESERVE_MS;
    await this.#server.stop({acceptMs: Math.min(ACCEPT_AFTER_STOP_MS, limitMs), limitMs});
    for (const server of this.#statusServers) {
      server.closeAllConnections();
      server.close();
    }
    this.#disposables[Symbol.dispose]();
  }

  #watchStore(): void {
    const {clock, wallTimeMs, random, logger, source, name, peerAddress} = this.#options;
    const {prefix, peersPrefix} = source;
    const store = instrumentKeyValue(source.store, this.#metrics.storeCalls);
    this.#mirror = this.#disposables.add(
      new RangeMirror({
        clock,
        wallTimeMs,
        random,
        logger,
        store,
        prefix,
        ...watchTimings(this.#bounds),
        onChange: (changes) => {
          this.#applyChanges(changes);
        },
        onReconnected: () => {
          this.#registry.startGracePeriod();
        },
      }),
    );
    const key = peersPrefix + name;
    this.#disposables.add(
      new PeerRegistration({clock, random, logger, store, key, value: peerAddress}),
    );
  }

  #applyChanges(changes: readonly KeyValueEntry[]): void {
    const {configurationKey, endpointsPrefix, peersPrefix} = this.#options.source;
    for (const change of changes) {
      const {key} = change;
      if (key === configurationKey) this.#applyConfiguration(change);
      else if (key.startsWith(endpointsPrefix)) this.#applyEndpoint(change);
      else if (key.startsWith(peersPrefix)) this.#applyPeer(change);
    }
    this.#retryBudget.recordProcessCount(this.#peers.size + 1);
  }

  #applyConfiguration({value, revision}: KeyValueEntry): void {
    const {clock, logger, source} = this.#options;
    const startedAtMs = clock.now();
    const decoded = source.decodeConfiguration(value);
    if (decoded.isErr()) {
      logger.error('configuration cannot be read', {revision, reason: decoded.error});
      return;
    }
    const {version, routes, limits} = decoded.value;
    const isNewer = this.#table === undefined || version > this.#table.version;
    if (isNewer) {
      this.#table = new RoutingTable(decoded.value);
      this.#server.applyLimits(limits);
    }
    logger.info('configuration', {
      belief: 'configuration',
      version,
      revision,
      routes: routes.length,
      inForce: isNewer,
      length: value.length,
      appliedInMs: Math.round(clock.now() - startedAtMs),
    });
  }

  #applyEndpoint({key, value, revision}: KeyValueEntry): void {
    const {logger, source} = this.#options;
    const id = source.endpointIdOf(key);
    if (value === '') {
      this.#registry.remove(id);
      return;
    }
    const decoded = source.decodeEndpoint(key, value);
    if (decoded.isOk()) {
      this.#registry.put(decoded.value);
      return;
    }
    logger.warn('endpoint record cannot be read', {key, revision, reason: decoded.error});
    this.#registry.remove(id);
  }

  #applyPeer({key, value}: KeyValueEntry): void {
    const peer = key.slice(this.#options.source.peersPrefix.length);
    if (value === '') this.#peers.remove(peer);
    else this.#peers.add(peer, value);
  }

  #configurationState(): ConfigurationState {
    return {table: this.#table, ageMs: this.#mirror?.ageMs ?? Number.POSITIVE_INFINITY};
  }

  #configurationAgeLimits(): ConfigurationAgeLimits {
    const {configurationMs} = this.#bounds;
    return {keyedRequestMaxAgeMs: keyedMaxAgeMs(this.#bounds), notFoundMaxAgeMs: configurationMs};
  }
}

function keyedMaxAgeMs({revocationMs}: ForwardBounds): number {
  return revocationMs * KEYED_MAX_AGE_SHARE;
}

/**
 * Watch timeout, batch delay and maximum age of the store mirror. A watch that ends with a change confirms the mirror
 * as of its start only; the next call must then respond before keyed requests are refused.
 */
export function watchTimings(
  bounds: ForwardBounds,
): Pick<RangeMirrorOptions, 'watchMs' | 'batchMs' | 'maxAgeMs'> {
  const batchMs = bounds.configurationMs * BATCH_DELAY_SHARE;
  const maxAgeMs = keyedMaxAgeMs(bounds) - STORE_RESPONSE_ALLOWANCE_MS;
  const longestMs = maxAgeMs - batchMs - 2 * STORE_RESPONSE_ALLOWANCE_MS;
  return {
    batchMs,
    maxAgeMs,
    watchMs: Math.min(bounds.configurationMs * WATCH_TIMEOUT_SHARE, longestMs),
  };
}

/** Creates a server for one path; requests for other paths get 404. */
function createStatusServer(
  path: string,
  respond: () => Promise<readonly [status: number, body: string]>,
): Server {
  return createServer((request, response) => {
    const result =
      request.url === path ? respond() : Promise.resolve([404, 'no such path'] as const);
    void result.then(([status, body]) => {
      response.writeHead(status, {'content-length': Buffer.byteLength(body)});
      response.end(body);
    });
  });
}
