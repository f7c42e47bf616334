/** Slots of engines: how long a request waits for one, and how many engines each group of prompts needs. */
import type {PromptSize} from './placementRequest.js';
import type {Endpoint} from './endpoint.js';
import type {EngineTimings} from './engineTimings.js';

/** Part of a group's slots that its streams may take on average, so that few of them wait for one. */
const MAX_GROUP_OCCUPANCY = 0.85;

/** Numbers of streams in flight at all engines, estimated from the known ones. */
interface StreamCounts {
  readonly long: number;
  readonly short: number;
}

/**
 * Expected time until an engine has a slot for one more request, in milliseconds. An engine whose slots are taken
 * frees one each time that one of its streams ends.
 */
export function estimateSlotWaitMs(endpoint: Endpoint, timings: EngineTimings): number {
  const {slots} = endpoint.record;
  const aheadCount = endpoint.occupancy - slots + 1;
  if (aheadCount <= 0) return 0;
  let totalMs = 0;
  let count = 0;
  for (const {prompt, prefillMs} of endpoint.knownRequests()) {
    if (prompt === undefined) continue;
    totalMs += prefillMs + (prompt.maxOutputTokens / timings.tokensPerEvent) * timings.eventGapMs;
    count += 1;
  }
  return count === 0 ? 0 : (endpoint.speed.slowness * aheadCount * totalMs) / (count * slots);
}

/**
 * Number of endpoints to reserve for long prompts: the preferred number, unless the streams of a group then lack
 * slots. If both groups lack slots, they share the endpoints by their need.
 */
export function limitBySlots(
  preferredCount: number,
  endpoints: readonly Endpoint[],
  isLong: (prompt: PromptSize) => boolean,
): number {
  const slots = endpoints[0]?.record.slots ?? 1;
  const {long, short} = countStreams(endpoints, isLong);
  const longNeed = long / (slots * MAX_GROUP_OCCUPANCY);
  const shortNeed = short / (slots * MAX_GROUP_OCCUPANCY);
  const count = endpoints.length;
  const limited =
    longNeed + shortNeed > count
      ? (count * longNeed) / (longNeed + shortNeed)
      : Math.max(longNeed, Math.min(preferredCount, count - shortNeed));
  return Math.min(count - 1, Math.max(1, Math.round(limited)));
}

function countStreams(
  endpoints: readonly Endpoint[],
  isLong: (prompt: PromptSize) => boolean,
): StreamCounts {
  let long = 0;
  let short = 0;
  for (const endpoint of endpoints) {
    let knownLong = 0;
    let knownShort = 0;
    for (const {prompt} of endpoint.knownRequests()) {
      if (prompt === undefined) continue;
      if (isLong(prompt)) knownLong += 1;
      else knownShort += 1;
    }
    const known = knownLong + knownShort;
    if (known === 0) continue;
    // Requests unknown to this process are assumed to be of the same kinds as the known ones.
    const scale = endpoint.occupancy / known;
    long += knownLong * scale;
    short += knownShort * scale;
  }
  return {long, short};
}
