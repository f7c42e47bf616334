/** Timings of the store mirror that keep the configuration within its bounds. */
import type {RangeMirrorOptions} from '@marigoldfold/coordination';
import type {ForwardBounds} from './forwardSource.js';

/** Share of the revocation bound after which keyed requests are refused; the rest covers requests in transit. */
const KEYED_MAX_AGE_SHARE = 0.75;
/** Watch timeout as a share of the configuration bound, so that a silent connection is detected within it. */
const WATCH_TIMEOUT_SHARE = 0.6;
/** Time in which store changes are collected before they are applied, as a share of the configuration bound. */
const BATCH_DELAY_SHARE = 0.15;
/** Time that the store may take to respond after the watch timeout: 50 times 4 ms for a slow store. */
const STORE_RESPONSE_ALLOWANCE_MS = 200;

/** Age of the configuration, in milliseconds, beyond which requests with a key are refused. */
export function keyedMaxAgeMs({revocationMs}: ForwardBounds): number {
  return revocationMs * KEYED_MAX_AGE_SHARE;
}

/**
 * Watch timeout, batch delay and maximum age of the store mirror. A watch that ends with a change confirms the mirror
 * as of its start only; the next call must then respond before keyed requests are refused.
 */
export function watchTimings(
  bounds: ForwardBounds,
): Pick<RangeMirrorOptions, 'watchMs' | 'batchMs' | 'maxAgeMs'> {
  const batchMs = bounds.configurationMs * BATCH_DELAY_SHARE;
  const maxAgeMs = keyedMaxAgeMs(bounds) - STORE_RESPONSE_ALLOWANCE_MS;
  const longestMs = maxAgeMs - batchMs - 2 * STORE_RESPONSE_ALLOWANCE_MS;
  return {
    batchMs,
    maxAgeMs,
    watchMs: Math.min(bounds.configurationMs * WATCH_TIMEOUT_SHARE, longestMs),
  };
}
