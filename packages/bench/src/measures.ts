/** Counters and latency distributions of one run. */
import {build, type Histogram} from 'hdr-histogram-js';
import type {RequestArrival} from './arrivals.js';
import type {ExperimentClass} from './experiment.js';

/** Quantiles in milliseconds. */
export interface Quantiles {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

/** Counts and latencies of the requests of a class. */
export interface ClassResult {
  readonly offered: number;
  /** Complete answers within all targets of the class. */
  readonly attained: number;
  /** Complete answers that missed a target. */
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  /** `attained` divided by `offered`; 1 without requests. */
  readonly attainment: number;
  readonly firstTokenMs: Quantiles;
  readonly interTokenMs: Quantiles;
  readonly completionMs: Quantiles;
}

/** Token throughput of a policy and the results of its classes. */
export interface PolicyResult {
  /** Tokens of attained answers per second of the experiment. */
  readonly goodputTokensPerSecond: number;
  /** Tokens generated for answers that failed, plus tokens that were computed more than once. */
  readonly wastedTokens: number;
  readonly classes: Readonly<Record<string, ClassResult>>;
}

/** Figures of a class that expectations use and the result omits. */
export interface ClassMeasures {
  /** Tokens of complete answers. */
  readonly servedTokens: number;
  /** Milliseconds for which requests of the class occupied engine slots during the arrival period. */
  readonly slotMs: number;
  /** Share of first tokens within the class's target; 1 without tokens. */
  readonly firstTokenShare: number;
  /** Share of inter-token latencies within the class's target; 1 without any. */
  readonly interTokenShare: number;
}

/** Figures that expectations use and the result omits, by class name. */
export type MeasuresByClass = Readonly<Record<string, ClassMeasures>>;

/** Histograms record integers, in units of 0.01 ms. */
const UNITS_PER_MS = 100;
const MS_PER_SECOND = 1000;

/** Records the tokens and the end of one request; times are in milliseconds. */
export class RequestRecord {
  #firstTokenAtMs: number | undefined;
  #lastTokenAtMs = 0;
  #tokens = 0;

  constructor(
    readonly arrival: RequestArrival,
    private readonly measure: ClassRecorder,
  ) {
    measure.offered += 1;
  }

  /** Number of tokens received so far. */
  get tokens(): number {
    return this.#tokens;
  }

  onToken(atMs: number): void {
    if (this.#firstTokenAtMs === undefined) {
      this.#firstTokenAtMs = atMs;
      this.measure.recordFirstToken(atMs - this.arrival.atMs);
    } else this.measure.recordInterToken(atMs - this.#lastTokenAtMs);
    this.#lastTokenAtMs = atMs;
    this.#tokens += 1;
  }

  onFinished(): void {
    const {measure, arrival} = this;
    const {firstTokenMs, interTokenMs, completionMs} = arrival.requestClass;
    const firstTokenAtMs = this.#firstTokenAtMs ?? 0;
    const elapsedMs = this.#lastTokenAtMs - arrival.atMs;
    const meanInterTokenMs = (this.#lastTokenAtMs - firstTokenAtMs) / Math.max(1, this.#tokens - 1);
    const isAttained =
      firstTokenAtMs - arrival.atMs <= (firstTokenMs ?? Number.POSITIVE_INFINITY) &&
      meanInterTokenMs <= (interTokenMs ?? Number.POSITIVE_INFINITY) &&
      elapsedMs <= (completionMs ?? Number.POSITIVE_INFINITY);
    measure.recordCompletion(elapsedMs);
    measure.servedTokens += this.#tokens;
    if (!isAttained) {
      measure.late += 1;
      return;
    }
    measure.attained += 1;
    measure.attainedTokens += this.#tokens;
  }

  onRefused(): void {
    this.measure.refused += 1;
  }

  onFailed(): void {
    this.measure.failed += 1;
    this.measure.wastedTokens += this.#tokens;
  }
}

/** Counters and histograms of one class; durations are in milliseconds. */
export class ClassRecorder {
  readonly #targets: ExperimentClass;
  readonly #firstToken = createHistogram();
  readonly #interToken = createHistogram();
  readonly #completion = createHistogram();
  #firstTokensInTime = 0;
  #interTokensInTime = 0;
  #slotMs = 0;
  offered = 0;
  attained = 0;
  late = 0;
  refused = 0;
  failed = 0;
  servedTokens = 0;
  attainedTokens = 0;
  wastedTokens = 0;

  constructor(
    targets: ExperimentClass,
    private readonly durationMs: number,
  ) {
    this.#targets = targets;
  }

  recordSlotTime(fromMs: number, toMs: number): void {
    this.#slotMs += Math.max(0, Math.min(toMs, this.durationMs) - fromMs);
  }

  recordFirstToken(durationMs: number): void {
    record(this.#firstToken, durationMs);
    if (durationMs <= (this.#targets.firstTokenMs ?? Number.POSITIVE_INFINITY)) {
      this.#firstTokensInTime += 1;
    }
  }

  recordInterToken(durationMs: number): void {
    record(this.#interToken, durationMs);
    if (durationMs <= (this.#targets.interTokenMs ?? Number.POSITIVE_INFINITY)) {
      this.#interTokensInTime += 1;
    }
  }

  recordCompletion(durationMs: number): void {
    record(this.#completion, durationMs);
  }

  result(): ClassResult {
    const {offered, attained, late, refused, failed} = this;
    return {
      offered,
      attained,
      late,
      refused,
      failed,
      attainment: offered === 0 ? 1 : attained / offered,
      firstTokenMs: quantiles(this.#firstToken),
      interTokenMs: quantiles(this.#interToken),
      completionMs: quantiles(this.#completion),
    };
  }

  detail(): ClassMeasures {
    return {
      servedTokens: this.servedTokens,
      slotMs: this.#slotMs,
      firstTokenShare: ratio(this.#firstTokensInTime, this.#firstToken.totalCount),
      interTokenShare: ratio(this.#interTokensInTime, this.#interToken.totalCount),
    };
  }
}

/** Measurements of a run, by class. */
export class RunMeasurements {
  readonly #durationMs: number;
  readonly #classes = new Map<string, ClassRecorder>();
  recomputedTokens = 0;

  /** `durationMs` is the length of the arrival period. */
  constructor(durationMs: number) {
    this.#durationMs = durationMs;
  }

  /** Counts a request as offered and starts its record. */
  startRecord(arrival: RequestArrival): RequestRecord {
    return new RequestRecord(arrival, this.#measure(arrival.requestClass));
  }

  /** Adds an uninterrupted period in which a request occupied a slot. */
  recordSlotTime({requestClass}: RequestArrival, fromMs: number, toMs: number): void {
    this.#measure(requestClass).recordSlotTime(fromMs, toMs);
  }

  /** The result that `--json` writes for the policy. */
  result(): PolicyResult {
    const classes: Record<string, ClassResult> = {};
    let attainedTokens = 0;
    let wastedTokens = this.recomputedTokens;
    for (const [name, measure] of this.#sortedClasses()) {
      classes[name] = measure.result();
      attainedTokens += measure.attainedTokens;
      wastedTokens += measure.wastedTokens;
    }
    const goodputTokensPerSecond = attainedTokens / (this.#durationMs / MS_PER_SECOND);
    return {goodputTokensPerSecond, wastedTokens: Math.round(wastedTokens), classes};
  }

  /** Figures that only expectations use, by class. */
  details(): MeasuresByClass {
    const details: Record<string, ClassMeasures> = {};
    for (const [name, measure] of this.#sortedClasses()) details[name] = measure.detail();
    return details;
  }

  #measure(requestClass: ExperimentClass): ClassRecorder {
    const existing = this.#classes.get(requestClass.name);
    const measure = existing ?? new ClassRecorder(requestClass, this.#durationMs);
    if (existing === undefined) this.#classes.set(requestClass.name, measure);
    return measure;
  }

  #sortedClasses(): readonly (readonly [string, ClassRecorder])[] {
    return [...this.#classes].sort(([a], [b]) => (a < b ? -1 : 1));
  }
}

function createHistogram(): Histogram {
  return build({bitBucketSize: 64, autoResize: true, numberOfSignificantValueDigits: 3});
}

function record(histogram: Histogram, durationMs: number): void {
  histogram.recordValue(Math.round(durationMs * UNITS_PER_MS));
}

function quantiles(histogram: Histogram): Quantiles {
  const at = (percentile: number) => histogram.getValueAtPercentile(percentile) / UNITS_PER_MS;
  return {p50: at(50), p95: at(95), p99: at(99)};
}

function ratio(part: number, whole: number): number {
  return whole === 0 ? 1 : part / whole;
}
