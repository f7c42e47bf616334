/** Separates endpoints that answer slowly from the rest before waits are compared. */
import {quantile} from './quantile.js';

/** Endpoints whose latency is above this quantile of their peers' are hot. */
const HOT_QUANTILE = 0.75;
/** Differences below this factor over the median are noise. */
const HOT_RATIO = 1.25;

/** The cold ones, or all when there is no cold one. */
export function preferCold<T>(
  sample: readonly T[],
  peers: readonly T[],
  latencyMs: (member: T) => number | undefined,
): readonly T[] {
  const known: number[] = [];
  for (const peer of peers) {
    const value = latencyMs(peer);
    if (value !== undefined) known.push(value);
  }
  const bound = quantile(known, HOT_QUANTILE);
  const middle = quantile(known, 0.5);
  if (bound === undefined || middle === undefined) return sample;
  const limitMs = Math.max(bound, middle * HOT_RATIO);
  const cold = sample.filter((member) => (latencyMs(member) ?? 0) <= limitMs);
  return cold.length > 0 ? cold : sample;
}
