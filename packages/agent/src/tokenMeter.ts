/** Measures the token latencies of the endpoint. */
import type {MutableScheduledRequest} from './scheduledRequest.js';
import {RecentSamples} from '@marigoldfold/coordination';

const GAP_SAMPLES = 256;
const FIRST_TOKEN_SAMPLES = 32;
const MEDIAN = 0.5;
const P10 = 0.1;

/** Recent times to first token and inter-token latencies, in milliseconds. */
export class TokenMeter {
  readonly #gaps = new RecentSamples(GAP_SAMPLES);
  readonly #firstTokens = new RecentSamples(FIRST_TOKEN_SAMPLES);

  /** Median inter-token latency; 0 without samples. */
  get interTokenMs(): number {
    return this.#gaps.quantile(MEDIAN);
  }

  /** Median time from start to first token; 0 without samples. */
  get firstTokenMs(): number {
    return this.#firstTokens.quantile(MEDIAN);
  }

  /** 10th percentile of the time to first token, used as the minimum for any request; 0 without samples. */
  get p10FirstTokenMs(): number {
    return this.#firstTokens.quantile(P10);
  }

  /** Records a token; returns the gap since the previous token, or undefined when there is none. */
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
