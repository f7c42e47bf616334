/** Leaves out endpoints that peers cannot reach or that fail more often than others. */
import type {Endpoint} from './endpoint.js';

/** An endpoint is skipped if its failure share exceeds the lowest one by more than this. */
const FAILURE_SHARE_TOLERANCE = 0.15;

/**
 * Excludes endpoints that peers could not reach, so that not every instance has to find out by itself. Reports of
 * more than half of the endpoints are ignored, since their senders may be cut off themselves.
 */
export function excludeReported(candidates: readonly Endpoint[]): readonly Endpoint[] {
  const unreported = candidates.filter((endpoint) => !endpoint.isReportedUnreachable);
  return unreported.length * 2 >= candidates.length ? unreported : candidates;
}

/** Excludes endpoints whose failure share exceeds the lowest one by more than the tolerance. */
export function excludeFailing(candidates: readonly Endpoint[]): readonly Endpoint[] {
  const lowestShare = Math.min(...candidates.map(({failureShare}) => failureShare));
  const healthy = candidates.filter(
    ({failureShare}) => failureShare <= lowestShare + FAILURE_SHARE_TOLERANCE,
  );
  return healthy.length > 0 ? healthy : candidates;
}
