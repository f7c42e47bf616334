/** Measures of a placement experiment, as observed by callers. */
import type {ChunkedPrefillEngine} from '@marigoldfold/standin';
import type {StreamRequest} from './streams.js';
import type {Workload} from './workload.js';

/** Counts of one kind of stream. */
export interface KindResult {
  readonly offered: number;
  readonly inTime: number;
  /** Streams that missed the objective for the first event. */
  readonly lateFirst: number;
  /** Streams that missed only the objective for pauses. */
  readonly latePause: number;
  /** Streams that were not completed before their caller disconnected. */
  readonly lost: number;
  /** Value of timely and late streams, divided by the value that all streams would have if none were late. */
  readonly earnedShare: number;
}

/** Result of a placement experiment. */
export interface PlacementResult {
  readonly kinds: Readonly<Record<string, KindResult>>;
  /** Shared prompt tokens that were prefilled again, in thousands. */
  readonly rereadThousands: number;
  /** Earned value minus the cost of repeated prefill, as a share of the offered value. */
  readonly netEarnedShare: number;
}

/** Records the events of one stream at its caller. */
export class StreamRecord {
  #firstAtMs: number | undefined;
  #lastAtMs = 0;
  #longestPauseMs = 0;
  #isComplete = false;

  constructor(
    readonly stream: StreamRequest,
    readonly endpoint: string,
  ) {}

  onEvent(atMs: number, isLast: boolean): void {
    if (this.#firstAtMs === undefined) this.#firstAtMs = atMs;
    else this.#longestPauseMs = Math.max(this.#longestPauseMs, atMs - this.#lastAtMs);
    this.#lastAtMs = atMs;
    this.#isComplete = isLast;
  }

  get outcome(): 'inTime' | 'lateFirst' | 'latePause' | 'lost' {
    const {kind, atMs} = this.stream;
    if (!this.#isComplete || this.#firstAtMs === undefined) return 'lost';
    if (this.#firstAtMs - atMs > kind.targetMs) return 'lateFirst';
    return this.#longestPauseMs > kind.pauseTargetMs ? 'latePause' : 'inTime';
  }
}

/** Size of a stream in tokens; an output token counts as ten prompt tokens. */
function sizeOf({promptTokens, outputTokens}: StreamRequest): number {
  return promptTokens + 10 * outputTokens;
}

/** Upper bound of a stream's value, as a multiple of its kind's value. */
const MAX_VALUE = 4;

/** Collects the measures of a run. */
export class PlacementMeasures {
  readonly #records: StreamRecord[] = [];
  readonly #lastUsedAtMs = new Map<string, number>();
  #rereadTokens = 0;

  constructor(private readonly workload: Workload) {}

  /** Starts the record of a stream at its endpoint. */
  startRecord(stream: StreamRequest, endpoint: string): StreamRecord {
    const record = new StreamRecord(stream, endpoint);
    this.#records.push(record);
    return record;
  }

  /**
   * Counts shared prompt tokens that an engine must prefill although the same or another engine prefilled them within
   * the reuse window.
   */
  countReread({parts, atMs}: StreamRequest, engine: ChunkedPrefillEngine): void {
    let isCached = true;
    for (const part of parts.slice(0, -1)) {
      isCached &&= engine.hasCached(part.id);
      const lastUsedAtMs = this.#lastUsedAtMs.get(part.id) ?? Number.NEGATIVE_INFINITY;
      const isRecent = atMs - lastUsedAtMs <= this.workload.reuseWindowMs;
      if (!isCached && isRecent) this.#rereadTokens += part.tokens;
      this.#lastUsedAtMs.set(part.id, atMs);
    }
  }

  /** Computes the result after all streams have ended. */
  result(): PlacementResult {
    const {kinds, rereadCost} = this.workload;
    const results: Record<string, KindResult> = {};
    let earned = 0;
    let offered = 0;
    for (const kind of kinds) {
      const records = this.#records.filter(({stream}) => stream.kind === kind);
      const sizes = records.map(({stream}) => sizeOf(stream));
      const meanSize = sizes.reduce((sum, size) => sum + size, 0) / Math.max(1, sizes.length);
      const counts = {inTime: 0, lateFirst: 0, latePause: 0, lost: 0};
      let kindEarned = 0;
      let kindOffered = 0;
      for (const {stream, outcome} of records) {
        const weight = Math.min(MAX_VALUE, 0.3 + (0.7 * sizeOf(stream)) / meanSize);
        counts[outcome] += 1;
        kindOffered += weight * kind.value;
        if (outcome === 'inTime') kindEarned += weight * kind.value;
        else if (outcome !== 'lost') kindEarned += weight * kind.lateValue;
      }
      results[kind.name] = {
        offered: records.length,
        ...counts,
        earnedShare: kindEarned / Math.max(Number.EPSILON, kindOffered),
      };
      earned += kindEarned;
      offered += kindOffered;
    }
    const rereadThousands = this.#rereadTokens / 1000;
    const netEarnedShare = (earned - rereadCost * rereadThousands) / offered;
    return {kinds: results, rereadThousands, netEarnedShare};
  }
}
