/** Measures the endpoint by the tokens that come from it. */
import type {MutableScheduledRequest} from './scheduledRequest.js';
import {RecentSamples} from '@marigoldfold/coordination';

const GAP_SAMPLES = 256;
const FIRST_TOKEN_SAMPLES = 32;
const MEDIAN = 0.5;
const P10 = 0.1;

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
  get p10FirstTokenMs(): number {
    return this.#firstTokens.quantile(P10);
  }

  /** Takes note of a token; the gap before it when it could be measured. */
  observe(request: MutableScheduledRequest, nowMs: number): number | undefined {
    const {lastTokenAtMs, startedAtMs} = request;
    request.generatedTokens += 1;
    request.lastTokenAtMs = nowMs;
    if (lastTokenAtMs === undefined) {
      if (request.generatedTokens === 1) this.#firstTokens.add(nowMs - (startedAtMs ?? nowMs));
      return undefined;
    }
    const gapMs = nowMs - lastTokenAtMs;
    this.#gaps.add(gapMs);
    return gapMs;
  }
}
