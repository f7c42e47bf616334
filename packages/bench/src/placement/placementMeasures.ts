/** What a placement experiment counts, as callers see it. */
import type {ChunkedPrefillEngine} from '@marigoldfold/standin';
import type {StreamRequest} from './streams.js';
import type {Workload} from './workload.js';

/** The result of a kind of stream. */
export interface KindResult {
  readonly offered: number;
  readonly inTime: number;
  /** Late by the first event. */
  readonly lateFirst: number;
  /** Late by a pause alone. */
  readonly latePause: number;
  /** Never complete: the caller left. */
  readonly lost: number;
  /** Value earned of the value offered. */
  readonly earnedShare: number;
}

/** The result of a run. */
export interface PlacementResult {
  readonly kinds: Readonly<Record<string, KindResult>>;
  /** Shared tokens that were read again, in thousands. */
  readonly rereadThousands: number;
  /** Value earned of the value offered, less what reading again cost. */
  readonly netEarnedShare: number;
}

/** Follows one stream. */
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

/** Size of a stream: tokens of output count ten times. */
function sizeOf({promptTokens, outputTokens}: StreamRequest): number {
  return promptTokens + 10 * outputTokens;
}

/** Largest value of a stream, in values of its kind. */
const MAX_VALUE = 4;

/** The counts of a run. */
export class PlacementMeasures {
  readonly #records: StreamRecord[] = [];
  readonly #lastUsedAtMs = new Map<string, number>();
  #rereadTokens = 0;

  constructor(private readonly workload: Workload) {}

  /** Begins the record of a stream. */
  startRecord(stream: StreamRequest, endpoint: string): StreamRecord {
    const record = new StreamRecord(stream, endpoint);
    this.#records.push(record);
    return record;
  }

  /** Counts shared parts that an engine has to read though another one has read them lately. */
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

  /** The result, once all streams have ended. */
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
