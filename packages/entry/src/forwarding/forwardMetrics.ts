/** Counters and latency histograms of forwarding. */
import type {AttemptOutcome} from './attempt.js';
import type {Arrival} from './forwardServer.js';
import {Counter, Gauge, Histogram, type Registry} from 'prom-client';

/** Upper bounds in seconds: around the objectives of short and long requests. */
const LATENCY_BUCKETS = [0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10];

/** Upper bounds in seconds: from what nobody notices to the patience of clients. */
const WAIT_BUCKETS = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 5];

const MS_PER_SECOND = 1000;
const attemptOutcomes: readonly AttemptOutcome['kind'][] = [
  'delivered',
  'notSent',
  'notExecuted',
  'failed',
  'broken',
];

/** What is read when the metrics are. */
export interface GaugeSources {
  /** Age of the configuration in milliseconds. */
  readonly configurationAgeMs: () => number;
  readonly peers: () => number;
  /** Requests of other instances that are believed to be under way. */
  readonly remoteRequests: () => number;
  /** Requests that wait for a send. */
  readonly queued: () => number;
  readonly endpoints: () => number;
  /** Repeats that are left, by service. */
  readonly repeatsLeft: () => Iterable<readonly [service: string, left: number]>;
}

/** The metrics of one process. */
export class ForwardMetrics {
  readonly requests: Counter<'route' | 'outcome' | 'reason'>;
  readonly sends: Counter<'service' | 'outcome'>;
  readonly endpointSends: Counter<'endpoint' | 'outcome'>;
  readonly storeCalls: Counter<'call' | 'outcome'>;
  readonly #firstByte: Histogram<'route'>;
  readonly #acceptWait: Histogram;
  readonly #readWait: Histogram;
  readonly #loopTurn: Histogram;
  readonly inFlight: Gauge;

  constructor(registry: Registry, readings: GaugeSources) {
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
      help: 'Requests of clients by route, outcome and reason.',
      labelNames: ['route', 'outcome', 'reason'],
      registers,
    });
    this.sends = new Counter({
      name: 'marigoldfold_forward_sends_total',
      help: 'Sends to endpoints by service and outcome.',
      labelNames: ['service', 'outcome'],
      registers,
    });
    this.#firstByte = new Histogram({
      name: 'marigoldfold_forward_first_byte_seconds',
      help: 'Time from the arrival of a request to the first byte of its answer.',
      labelNames: ['route'],
      buckets: LATENCY_BUCKETS,
      registers,
    });
    this.#acceptWait = new Histogram({
      name: 'marigoldfold_forward_unaccepted_seconds',
      help: 'Longest time that a new connection can have waited to be accepted.',
      buckets: WAIT_BUCKETS,
      registers,
    });
    this.#readWait = new Histogram({
      name: 'marigoldfold_forward_unread_seconds',
      help: 'Longest time that a request can have waited before it was read.',
      buckets: WAIT_BUCKETS,
      registers,
    });
    this.#loopTurn = new Histogram({
      name: 'marigoldfold_forward_loop_turn_seconds',
      help: 'Length of the turns of the event loop that had input.',
      buckets: WAIT_BUCKETS,
      registers,
    });
    this.endpointSends = new Counter({
      name: 'marigoldfold_forward_endpoint_sends_total',
      help: 'Sends to each endpoint that is known now, by outcome.',
      labelNames: ['endpoint', 'outcome'],
      registers,
    });
    this.storeCalls = new Counter({
      name: 'marigoldfold_forward_store_calls_total',
      help: 'Calls of the key-value service by kind and outcome.',
      labelNames: ['call', 'outcome'],
      registers,
    });
    new Gauge({
      name: 'marigoldfold_forward_repeats_left',
      help: 'Repeated sends that the budget of a service allows now.',
      labelNames: ['service'],
      registers,
      collect() {
        for (const [service, left] of readings.repeatsLeft()) this.set({service}, left);
      },
    });
    addGauge({
      name: 'marigoldfold_forward_configuration_age_seconds',
      help: 'Time since the configuration was known to be the newest; infinite before the first.',
      read: () => readings.configurationAgeMs() / MS_PER_SECOND,
    });
    addGauge({
      name: 'marigoldfold_forward_peers',
      help: 'Other instances that are told of sends.',
      read: readings.peers,
    });
    addGauge({
      name: 'marigoldfold_forward_remote_requests',
      help: 'Requests of other instances that are believed to be under way.',
      read: readings.remoteRequests,
    });
    addGauge({
      name: 'marigoldfold_forward_queued',
      help: 'Requests that wait in this instance for a send.',
      read: readings.queued,
    });
    addGauge({
      name: 'marigoldfold_forward_endpoints',
      help: 'Endpoints that are known.',
      read: readings.endpoints,
    });
    this.inFlight = new Gauge({
      name: 'marigoldfold_forward_in_flight',
      help: 'Requests whose answer has not ended.',
      registers,
    });
  }

  /** Notes what became of a send. */
  recordAttempt(service: string, endpoint: string, outcome: AttemptOutcome['kind']): void {
    this.sends.inc({service, outcome});
    this.endpointSends.inc({endpoint, outcome});
  }

  /** Leaves out the counts of an endpoint that is gone, so that restarts do not add up. */
  removeEndpoint(endpoint: string): void {
    for (const outcome of attemptOutcomes) this.endpointSends.remove({endpoint, outcome});
  }

  /** Notes how long a request can have waited before it was read. */
  observeArrival({unacceptedMs, unreadMs}: Arrival): void {
    this.#acceptWait.observe(unacceptedMs / MS_PER_SECOND);
    this.#readWait.observe(unreadMs / MS_PER_SECOND);
  }

  /** Notes the length of a turn of the event loop, in milliseconds. */
  observeLoopTurn(durationMs: number): void {
    this.#loopTurn.observe(durationMs / MS_PER_SECOND);
  }

  /** Notes an answer whose first byte went to the client after so many milliseconds. */
  observeFirstByte(route: string, elapsedMs: number): void {
    this.#firstByte.observe({route}, elapsedMs / MS_PER_SECOND);
  }
}
