/** Metrics of requests, measured against the latency objectives of their class. */
import type {Clock} from '@marigoldfold/runtime';
import type {RequestClass} from '@marigoldfold/state';
import {Counter, Gauge, Histogram, type Registry} from 'prom-client';

/** Values of the `outcome` label, which compare a request with the latency objectives of its class. */
export const requestOutcomes = [
  /** Answered completely and within all objectives of the class. */
  'attained',
  /** Answered completely, but an objective of the class was exceeded. */
  'late',
  /** Not run because the system could not serve it. */
  'refused',
  /** Not run because the client account exceeded its limits. */
  'limited',
  /** Ended without a complete answer. */
  'failed',
  /** The caller disconnected. */
  'cancelled',
] as const;

/** Outcome of a request, as a value of the `outcome` label. */
export type RequestOutcome = (typeof requestOutcomes)[number];

const FIRST_TOKEN_BUCKETS_S = [0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.8, 2.5, 4, 8, 16, 32, 64];
const INTER_TOKEN_BUCKETS_S = [0.005, 0.01, 0.015, 0.02, 0.026, 0.035, 0.05, 0.1, 0.25, 1];
const COMPLETION_BUCKETS_S = [0.1, 0.25, 0.5, 1, 2, 5, 10, 20, 40, 80, 160, 320];
const MS_PER_SECOND = 1000;

/** Name of the counter of requests, with the labels `class` and `outcome`. */
export const requestsMetricName = 'marigoldfold_requests_total';

/** Counters, gauges and latency histograms of callers' requests, registered when the object is created. */
export class RequestMetrics {
  readonly requests: Counter<'class' | 'outcome'>;
  readonly refusals: Counter<'code' | 'ran'>;
  readonly inFlight: Gauge;
  readonly firstToken: Histogram<'class'>;
  readonly interToken: Histogram<'class'>;
  readonly completion: Histogram<'class'>;

  constructor(registry: Registry) {
    const registers = [registry];
    this.requests = new Counter({
      name: requestsMetricName,
      help: 'Requests by class and outcome against the targets of the class.',
      labelNames: ['class', 'outcome'],
      registers,
    });
    this.refusals = new Counter({
      name: 'marigoldfold_refusals_total',
      help: 'Failures sent to callers, by code and by whether the work was run.',
      labelNames: ['code', 'ran'],
      registers,
    });
    this.inFlight = new Gauge({
      name: 'marigoldfold_requests_in_flight',
      help: 'Admitted requests that have not ended.',
      registers,
    });
    const histogram = (name: string, help: string, buckets: number[]) =>
      new Histogram({name, help, buckets, labelNames: ['class'], registers});
    this.firstToken = histogram(
      'marigoldfold_first_token_seconds',
      'Time to the first chunk of the answer.',
      FIRST_TOKEN_BUCKETS_S,
    );
    this.interToken = histogram(
      'marigoldfold_inter_token_seconds',
      'Mean time between the chunks of an answer.',
      INTER_TOKEN_BUCKETS_S,
    );
    this.completion = histogram(
      'marigoldfold_completion_seconds',
      'Time to the complete answer.',
      COMPLETION_BUCKETS_S,
    );
  }
}

/** Measures the latencies of one request; time starts when the timer is created. */
export class RequestTimer {
  readonly #startedAtMs: number;
  #firstChunkAtMs: number | undefined;
  #lastChunkAtMs: number;
  #chunks = 0;

  constructor(
    private readonly clock: Clock,
    private readonly metrics: RequestMetrics,
    private readonly className: string,
    private readonly requestClass: RequestClass,
  ) {
    this.#startedAtMs = clock.now();
    this.#lastChunkAtMs = this.#startedAtMs;
  }

  /** Records the arrival of a chunk, for the first-token and inter-token latencies. */
  observeChunk(): void {
    this.#lastChunkAtMs = this.clock.now();
    this.#firstChunkAtMs ??= this.#lastChunkAtMs;
    this.#chunks += 1;
  }

  /** Records a complete answer with its latencies. */
  finishSuccess(): RequestOutcome {
    const labels = {class: this.className};
    const completionMs = this.clock.now() - this.#startedAtMs;
    const firstMs = (this.#firstChunkAtMs ?? this.clock.now()) - this.#startedAtMs;
    const interMs = this.#interTokenMs();
    this.metrics.firstToken.observe(labels, firstMs / MS_PER_SECOND);
    this.metrics.interToken.observe(labels, interMs / MS_PER_SECOND);
    this.metrics.completion.observe(labels, completionMs / MS_PER_SECOND);
    const {firstTokenMs, interTokenMs, completionMs: targetMs} = this.requestClass;
    const isLate =
      firstMs > (firstTokenMs ?? Number.POSITIVE_INFINITY) ||
      interMs > (interTokenMs ?? Number.POSITIVE_INFINITY) ||
      completionMs > (targetMs ?? Number.POSITIVE_INFINITY);
    return this.finish(isLate ? 'late' : 'attained');
  }

  /** Counts the outcome and returns it. */
  finish(outcome: RequestOutcome): RequestOutcome {
    this.metrics.requests.inc({class: this.className, outcome});
    return outcome;
  }

  #interTokenMs(): number {
    if (this.#firstChunkAtMs === undefined || this.#chunks < 2) return 0;
    return (this.#lastChunkAtMs - this.#firstChunkAtMs) / (this.#chunks - 1);
  }
}
