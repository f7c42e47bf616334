/** Counters and latency histograms of forwarding. */
import type {AttemptEnd} from './attempt.js';
import type {Arrival} from './forwardServer.js';
import {Counter, Gauge, Histogram, type Registry} from 'prom-client';

/** Upper bounds in seconds: around the objectives of short and long requests. */
const LATENCY_BUCKETS = [0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10];

/** Upper bounds in seconds: from what nobody notices to the patience of clients. */
const WAIT_BUCKETS = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 5];

const MS_PER_SECOND = 1000;
const sendOutcomes: readonly AttemptEnd['kind'][] = [
  'delivered',
  'notSent',
  'notExecuted',
  'failed',
  'broken',
];

/** What is read when the metrics are. */
export interface ForwardReadings {
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
  readonly #unaccepted: Histogram;
  readonly #unread: Histogram;
  readonly #turn: Histogram;
  readonly inFlight: Gauge;

  constructor(registry: Registry, readings: ForwardReadings) {
    const registers = [registry];
    const readLater = ({read, ...gauge}: {name: string; help: string; read: () => number}) =>
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
    this.#unaccepted = new Histogram({
      name: 'marigoldfold_forward_unaccepted_seconds',
      help: 'Longest time that a new connection can have waited to be accepted.',
      buckets: WAIT_BUCKETS,
      registers,
    });
    this.#unread = new Histogram({
      name: 'marigoldfold_forward_unread_seconds',
      help: 'Longest time that a request can have waited before it was read.',
      buckets: WAIT_BUCKETS,
      registers,
    });
    this.#turn = new Histogram({
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
    readLater({
      name: 'marigoldfold_forward_configuration_age_seconds',
      help: 'Time since the configuration was known to be the newest; infinite before the first.',
      read: () => readings.configurationAgeMs() / MS_PER_SECOND,
    });
    readLater({
      name: 'marigoldfold_forward_peers',
      help: 'Other instances that are told of sends.',
      read: readings.peers,
    });
    readLater({
      name: 'marigoldfold_forward_remote_requests',
      help: 'Requests of other instances that are believed to be under way.',
      read: readings.remoteRequests,
    });
    readLater({
      name: 'marigoldfold_forward_queued',
      help: 'Requests that wait in this instance for a send.',
      read: readings.queued,
    });
    readLater({
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
  countSend(service: string, endpoint: string, outcome: AttemptEnd['kind']): void {
    this.sends.inc({service, outcome});
    this.endpointSends.inc({endpoint, outcome});
  }

  /** Leaves out the counts of an endpoint that is gone, so that restarts do not add up. */
  forgetEndpoint(endpoint: string): void {
    for (const outcome of sendOutcomes) this.endpointSends.remove({endpoint, outcome});
  }

  /** Notes how long a request can have waited before it was read. */
  observeArrival({unacceptedMs, unreadMs}: Arrival): void {
    this.#unaccepted.observe(unacceptedMs / MS_PER_SECOND);
    this.#unread.observe(unreadMs / MS_PER_SECOND);
  }

  /** Notes the length of a turn of the event loop, in milliseconds. */
  observeTurn(durationMs: number): void {
    this.#turn.observe(durationMs / MS_PER_SECOND);
  }

  /** Notes an answer whose first byte went to the client after so many milliseconds. */
  observeFirstByte(route: string, elapsedMs: number): void {
    this.#firstByte.observe({route}, elapsedMs / MS_PER_SECOND);
  }
}
