/** Counters, gauges and histograms of the forwarding router. */
import type {AttemptOutcome} from './attempt.js';
import type {ArrivedRequest} from './forwardServer.js';
import {type HolderKind, holderKinds} from '@marigoldfold/transport';
import {Counter, Gauge, Histogram, type Registry} from 'prom-client';

/** Upper bounds in seconds, around the latency objectives of short and long requests. */
const LATENCY_BUCKETS = [0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10];

/** Upper bounds in seconds, from unnoticeable delays to the time after which clients disconnect. */
const WAIT_BUCKETS = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 5];

const MS_PER_SECOND = 1000;
const attemptOutcomes: readonly AttemptOutcome['kind'][] = [
  'delivered',
  'notSent',
  'notExecuted',
  'failed',
  'broken',
];

/** Gauge values that are read on each scrape. */
export interface GaugeSources {
  /** Milliseconds since the configuration was last confirmed; infinite before the first confirmation. */
  readonly configurationAgeMs: () => number;
  readonly peers: () => number;
  /** Requests of other instances that are assumed to be in flight. */
  readonly remoteRequests: () => number;
  /** Requests in the dispatch queue. */
  readonly queued: () => number;
  readonly endpoints: () => number;
  /** Windows of the endpoints that have a pace, by endpoint. */
  readonly paceWindows: () => Iterable<readonly [endpoint: string, window: number]>;
  /** Endpoints that have stated a limit of the rate that they take. */
  readonly limitedEndpoints: () => number;
  readonly quarantinedParts: () => number;
  readonly heldBytes: (kind: HolderKind) => number;
  readonly memoryLimitBytes: () => number;
  /** Remaining retries by service. */
  readonly retriesLeft: () => Iterable<readonly [service: string, left: number]>;
}

/** Records requests, attempts and delays of one router process in the given registry. */
export class ForwardMetrics {
  readonly requests: Counter<'route' | 'outcome' | 'reason'>;
  readonly sends: Counter<'service' | 'outcome'>;
  readonly endpointSends: Counter<'endpoint' | 'outcome'>;
  readonly storeCalls: Counter<'call' | 'outcome'>;
  readonly closedConnections: Counter<'rule'>;
  readonly memoryRefusals: Counter<'kind' | 'rule'>;
  readonly defects: Counter<'place'>;
  readonly #firstByte: Histogram<'route'>;
  readonly #acceptWait: Histogram;
  readonly #readWait: Histogram;
  readonly #loopTurn: Histogram;
  readonly inFlight: Gauge;

  constructor(registry: Registry, sources: GaugeSources) {
    const registers = [registry];
    const addGauge = ({read, ...gauge}: {name: string; help: string; read: () => number}) =>
      new Gauge({
        ...gauge,
        registers,
        collect() {
          this.set(read());
        },
      });
    this.requests = new Counter({
      name: 'marigoldfold_forward_requests_total',
      help: 'Client requests by route, outcome and reason.',
      labelNames: ['route', 'outcome', 'reason'],
      registers,
    });
    this.sends = new Counter({
      name: 'marigoldfold_forward_sends_total',
      help: 'Attempts at endpoints by service and outcome.',
      labelNames: ['service', 'outcome'],
      registers,
    });
    this.defects = new Counter({
      name: 'marigoldfold_forward_defects_total',
      help: 'Exceptions that no code expects, by the place that confined them.',
      labelNames: ['place'],
      registers,
    });
    this.#firstByte = new Histogram({
      name: 'marigoldfold_forward_first_byte_seconds',
      help: 'Time from the arrival of a request to the first byte of its response.',
      labelNames: ['route'],
      buckets: LATENCY_BUCKETS,
      registers,
    });
    this.#acceptWait = new Histogram({
      name: 'marigoldfold_forward_unaccepted_seconds',
      help: 'Longest time that a new connection may have waited to be accepted.',
      buckets: WAIT_BUCKETS,
      registers,
    });
    this.#readWait = new Histogram({
      name: 'marigoldfold_forward_unread_seconds',
      help: 'Longest time that a request may have waited before it was read.',
      buckets: WAIT_BUCKETS,
      registers,
    });
    this.#loopTurn = new Histogram({
      name: 'marigoldfold_forward_loop_turn_seconds',
      help: 'Duration of the event loop turns that had input.',
      buckets: WAIT_BUCKETS,
      registers,
    });
    this.endpointSends = new Counter({
      name: 'marigoldfold_forward_endpoint_sends_total',
      help: 'Attempts at each known endpoint by outcome.',
      labelNames: ['endpoint', 'outcome'],
      registers,
    });
    this.storeCalls = new Counter({
      name: 'marigoldfold_forward_store_calls_total',
      help: 'Calls to the key-value service by operation and outcome.',
      labelNames: ['call', 'outcome'],
      registers,
    });
    this.closedConnections = new Counter({
      name: 'marigoldfold_forward_closed_connections_total',
      help: 'Client connections that were closed for exceeding a limit, by rule.',
      labelNames: ['rule'],
      registers,
    });
    this.memoryRefusals = new Counter({
      name: 'marigoldfold_forward_memory_refusals_total',
      help: 'What was evicted from memory, or refused for lack of it, by what it was held for and rule.',
      labelNames: ['kind', 'rule'],
      registers,
    });
    new Gauge({
      name: 'marigoldfold_forward_held_bytes',
      help: 'Memory held for clients and endpoints, by what it is held for.',
      labelNames: ['kind'],
      registers,
      collect() {
        for (const kind of holderKinds) this.set({kind}, sources.heldBytes(kind));
      },
    });
    addGauge({
      name: 'marigoldfold_forward_held_bytes_limit',
      help: 'Memory that may be held for clients and endpoints in all.',
      read: sources.memoryLimitBytes,
    });
    new Gauge({
      name: 'marigoldfold_forward_repeats_left',
      help: 'Retries that the budget of a service currently allows.',
      labelNames: ['service'],
      registers,
      collect() {
        for (const [service, left] of sources.retriesLeft()) this.set({service}, left);
      },
    });
    addGauge({
      name: 'marigoldfold_forward_configuration_age_seconds',
      help: 'Time since the configuration was last confirmed to be the newest; infinite before the first one.',
      read: () => sources.configurationAgeMs() / MS_PER_SECOND,
    });
    addGauge({
      name: 'marigoldfold_forward_peers',
      help: 'Other instances that receive reports of attempts.',
      read: sources.peers,
    });
    addGauge({
      name: 'marigoldfold_forward_remote_requests',
      help: 'Requests of other instances that are assumed to be in flight.',
      read: sources.remoteRequests,
    });
    addGauge({
      name: 'marigoldfold_forward_queued',
      help: 'Requests in the dispatch queue of this instance.',
      read: sources.queued,
    });
    addGauge({
      name: 'marigoldfold_forward_quarantined_parts',
      help: 'Prompt parts that crash endpoints and are not sent.',
      read: sources.quarantinedParts,
    });
    addGauge({
      name: 'marigoldfold_forward_endpoints',
      help: 'Known endpoints.',
      read: sources.endpoints,
    });
    addGauge({
      name: 'marigoldfold_forward_limited_endpoints',
      help: 'Endpoints that have stated a limit of the rate that they take.',
      read: sources.limitedEndpoints,
    });
    new Gauge({
      name: 'marigoldfold_forward_endpoint_window',
      help: 'Requests that may be in flight at an endpoint that has started or recovered, until it is established.',
      labelNames: ['endpoint'],
      registers,
      collect() {
        this.reset();
        for (const [endpoint, window] of sources.paceWindows()) this.set({endpoint}, window);
      },
    });
    this.inFlight = new Gauge({
      name: 'marigoldfold_forward_in_flight',
      help: 'Requests whose response has not ended.',
      registers,
    });
  }

  /** Counts an attempt by its service and by its endpoint. */
  recordAttempt(service: string, endpoint: string, outcome: AttemptOutcome['kind']): void {
    this.sends.inc({service, outcome});
    this.endpointSends.inc({endpoint, outcome});
  }

  /** Removes the counters of a removed endpoint, so that they do not accumulate over restarts. */
  removeEndpoint(endpoint: string): void {
    for (const outcome of attemptOutcomes) this.endpointSends.remove({endpoint, outcome});
  }

  /** Records how long a request may have waited before it was read. */
  observeArrival({unacceptedMs, unreadMs}: ArrivedRequest): void {
    this.#acceptWait.observe(unacceptedMs / MS_PER_SECOND);
    this.#readWait.observe(unreadMs / MS_PER_SECOND);
  }

  /** Records the duration of an event loop turn, in milliseconds. */
  observeLoopTurn(durationMs: number): void {
    this.#loopTurn.observe(durationMs / MS_PER_SECOND);
  }

  /** Records the time from a request's arrival to the first byte of its response, in milliseconds. */
  observeFirstByte(route: string, elapsedMs: number): void {
    this.#firstByte.observe({route}, elapsedMs / MS_PER_SECOND);
  }
}
