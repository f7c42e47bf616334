/** Measures the endpoint by the tokens that come from it. */
import type {MutableQueueEntry} from './queueEntry.js';
import {RecentSamples} from '@marigoldfold/coordination';

const GAP_SAMPLES = 256;
const FIRST_TOKEN_SAMPLES = 32;
const MEDIAN = 0.5;
const LEAST = 0.1;

/** Times to the first token and between tokens, in milliseconds. */
export class TokenMeter {
  readonly #gaps = new RecentSamples(GAP_SAMPLES);
  readonly #firstTokens = new RecentSamples(FIRST_TOKEN_SAMPLES);

  /** Median time between tokens; 0 when nothing was measured. */
  get interTokenMs(): number {
    return this.#gaps.quantile(MEDIAN);
  }

  /** Median time from start to first token; 0 when nothing was measured. */
  get firstTokenMs(): number {
    return this.#firstTokens.quantile(MEDIAN);
  }

  /** The time to the first token that every request is sure to need. */
  get leastFirstTokenMs(): number {
    return this.#firstTokens.quantile(LEAST);
  }

  /** Takes note of a token; the gap before it when it could be measured. */
  observe(entry: MutableQueueEntry, nowMs: number): number | undefined {
    const {lastTokenAtMs, startedAtMs} = entry;
    entry.generatedTokens += 1;
    entry.lastTokenAtMs = nowMs;
    if (lastTokenAtMs === undefined) {
      if (entry.generatedTokens === 1) this.#firstTokens.add(nowMs - (startedAtMs ?? nowMs));
      return undefined;
    }
    const gapMs = nowMs - lastTokenAtMs;
    this.#gaps.add(gapMs);
    return gapMs;
  }
}
