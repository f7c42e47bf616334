/** The forwarding router as one process: what it follows, serves and tells. */
import {createServer, type Server} from 'node:http';
import {
  EndpointRegistry,
  Placement,
  RangeMirror,
  RepeatBudget,
  type RepeatBudgetBounds,
} from '@marigoldfold/coordination';
import {type Clock, DisposableStore, type Logger, type Random} from '@marigoldfold/runtime';
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
import type {Belief, BeliefLimits} from './admission.js';
import {serveExchange} from './exchange.js';
import type {ForwardFormat} from './forwardFormat.js';
import {ForwardMetrics} from './forwardMetrics.js';
import {ForwardServer} from './forwardServer.js';

/** Where the configuration and the endpoints are found. */
export interface ForwardSource {
  readonly store: Pick<KeyValue, 'list' | 'watch'>;
  readonly configurationKey: string;
  readonly endpointsPrefix: string;
  readonly decodeConfiguration: (text: string) => Result<RoutingConfiguration, string>;
  readonly decodeEndpoint: (key: string, text: string) => Result<EndpointRecord, string>;
  readonly endpointIdOf: (key: string) => string;
}

/** Bounds that the installation sets, in milliseconds where nothing else is said. */
export interface ForwardBounds {
  /** From the acceptance of a configuration until its revoked keys must not work. */
  readonly revocationMs: number;
  /** From the acceptance of a configuration until it must be in force. */
  readonly configurationMs: number;
  /** From the signal to stop until the process is killed. */
  readonly stopMs: number;
  readonly repeats: RepeatBudgetBounds;
}

/** What the process needs. */
export interface ForwardProcessOptions {
  /** A steady clock. */
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly format: ForwardFormat;
  readonly source: ForwardSource;
  /** `host:port` for clients. */
  readonly clientAddress: string;
  /** `host:port` for readiness and metrics. */
  readonly statusAddress: string;
  readonly readyPath: string;
  readonly metricsPath: string;
  readonly bounds: ForwardBounds;
}

/** Part of the revocation bound after which requests with a key are refused: the rest is for their way. */
const KEYED_AGE_SHARE = 0.7;
/** Wait of a watch as a part of the bound of the configuration: a silent connection is noticed within it. */
const WATCH_SHARE = 0.6;
/** Time for new connections to end after readiness is lost, in milliseconds: two missed checks and a spare one. */
const ACCEPT_AFTER_STOP_MS = 3200;
/** Time kept before the kill for the last writes, in milliseconds. */
const STOP_RESERVE_MS = 700;

/** A running router. */
export class ForwardProcess {
  readonly #options: ForwardProcessOptions;
  readonly #owned = new DisposableStore();
  readonly #metricsRegistry = new Registry();
  readonly #registry: EndpointRegistry;
  readonly #budget: RepeatBudget;
  readonly #server: ForwardServer;
  readonly #status: Server;
  #bounds: ForwardBounds;
  #configuration: RangeMirror | undefined;
  #table: RoutingTable | undefined;
  #isStopping = false;

  constructor(options: ForwardProcessOptions) {
    this.#options = options;
    this.#bounds = options.bounds;
    const {clock, logger} = options;
    this.#registry = new EndpointRegistry({clock, logger});
    this.#budget = new RepeatBudget(clock, options.bounds.repeats);
    const forward = {
      clock,
      logger,
      format: options.format,
      client: this.#owned.add(createEndpointClient()),
      placement: new Placement({clock, registry: this.#registry}),
      budget: this.#budget,
      metrics: new ForwardMetrics(this.#metricsRegistry),
      belief: () => this.#belief(),
      beliefLimits: () => this.#beliefLimits(),
    };
    const [host, port] = splitAddress(options.clientAddress);
    this.#server = new ForwardServer({
      clock,
      logger,
      host,
      port,
      serve: (request, response) => serveExchange(forward, request, response),
    });
    this.#status = createServer((request, response) => {
      void this.#answerStatus(request.url ?? '').then(([status, body]) => {
        response.writeHead(status, {'content-length': Buffer.byteLength(body)});
        response.end(body);
      });
    });
  }

  /** Starts to follow the store and to listen. */
  async start(): Promise<void> {
    this.#follow();
    await this.#server.listen();
    const [host, port] = splitAddress(this.#options.statusAddress);
    await new Promise<void>((resolve) => {
      this.#status.listen({host, port}, resolve);
    });
  }

  /** Takes over bounds that have changed. */
  reload(bounds: ForwardBounds): void {
    this.#bounds = bounds;
    this.#budget.bounds = bounds.repeats;
  }

  /** Ends the process' work without cutting a request, within the bound of a stop. */
  async stop(): Promise<void> {
    this.#isStopping = true;
    const limitMs = this.#bounds.stopMs - STOP_RESERVE_MS;
    await this.#server.stop({acceptMs: Math.min(ACCEPT_AFTER_STOP_MS, limitMs), limitMs});
    this.#status.closeAllConnections();
    this.#status.close();
    this.#owned[Symbol.dispose]();
  }

  #follow(): void {
    const {clock, random, logger, source} = this.#options;
    const {store} = source;
    const watchMs = this.#bounds.configurationMs * WATCH_SHARE;
    const common = {clock, random, logger, store, watchMs};
    this.#configuration = this.#owned.add(
      new RangeMirror({
        ...common,
        prefix: source.configurationKey,
        onChange: (changes) => {
          this.#takeConfiguration(changes);
        },
      }),
    );
    this.#owned.add(
      new RangeMirror({
        ...common,
        prefix: source.endpointsPrefix,
        onChange: (changes) => {
          this.#takeEndpoints(changes);
        },
        onRegained: () => {
          this.#registry.beginGrace();
        },
      }),
    );
  }

  #takeConfiguration(changes: readonly KeyValueEntry[]): void {
    const {logger, source} = this.#options;
    for (const {key, value, revision} of changes) {
      if (key !== source.configurationKey) continue;
      const decoded = source.decodeConfiguration(value);
      if (decoded.isErr()) {
        logger.error('configuration cannot be read', {revision, reason: decoded.error});
        continue;
      }
      const {version, routes, limits} = decoded.value;
      const isNewer = this.#table === undefined || version > this.#table.version;
      logger.info('configuration', {
        belief: 'configuration',
        version,
        revision,
        routes: routes.length,
        inForce: isNewer,
      });
      if (!isNewer) continue;
      this.#table = new RoutingTable(decoded.value);
      this.#server.limit(limits);
    }
  }

  #takeEndpoints(changes: readonly KeyValueEntry[]): void {
    const {logger, source} = this.#options;
    for (const {key, value, revision} of changes) {
      const id = source.endpointIdOf(key);
      if (value === '') {
        this.#registry.remove(id);
        continue;
      }
      const decoded = source.decodeEndpoint(key, value);
      if (decoded.isOk()) {
        this.#registry.put(decoded.value);
        continue;
      }
      logger.warn('endpoint record cannot be read', {key, revision, reason: decoded.error});
      this.#registry.remove(id);
    }
  }

  #belief(): Belief {
    return {table: this.#table, ageMs: this.#configuration?.ageMs ?? Number.POSITIVE_INFINITY};
  }

  #beliefLimits(): BeliefLimits {
    const {revocationMs, configurationMs} = this.#bounds;
    return {keyedMs: revocationMs * KEYED_AGE_SHARE, unknownMs: configurationMs};
  }

  #isReady(): boolean {
    const {table, ageMs} = this.#belief();
    return !this.#isStopping && table !== undefined && ageMs < this.#beliefLimits().keyedMs;
  }

  async #answerStatus(path: string): Promise<readonly [status: number, body: string]> {
    const {readyPath, metricsPath} = this.#options;
    if (path === readyPath) return this.#isReady() ? [200, 'ready'] : [503, 'not ready'];
    if (path === metricsPath) return [200, await this.#metricsRegistry.metrics()];
    return [404, 'no such path'];
  }
}
