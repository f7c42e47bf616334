/** Counters and latency histograms of forwarding. */
import {Counter, Gauge, Histogram, type Registry} from 'prom-client';

/** Upper bounds in seconds: around the objectives of short and long requests. */
const LATENCY_BUCKETS = [0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10];

const MS_PER_SECOND = 1000;

/** The metrics of one process. */
export class ForwardMetrics {
  readonly requests: Counter<'route' | 'outcome' | 'reason'>;
  readonly sends: Counter<'service' | 'outcome'>;
  readonly #firstByte: Histogram<'route'>;
  readonly inFlight: Gauge;

  /** `beliefAgeMs` is the age of the configuration in milliseconds. */
  constructor(registry: Registry, beliefAgeMs: () => number) {
    const registers = [registry];
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
    new Gauge({
      name: 'marigoldfold_forward_configuration_age_seconds',
      help: 'Time since the configuration was known to be the newest; infinite before the first.',
      registers,
      collect() {
        this.set(beliefAgeMs() / MS_PER_SECOND);
      },
    });
    this.inFlight = new Gauge({
      name: 'marigoldfold_forward_in_flight',
      help: 'Requests whose answer has not ended.',
      registers,
    });
  }

  /** Notes an answer whose first byte went to the client after so many milliseconds. */
  observeFirstByte(route: string, elapsedMs: number): void {
    this.#firstByte.observe({route}, elapsedMs / MS_PER_SECOND);
  }
}
