/** Long work: requests whose output exceeds the typical length of their class. */
import type {ScheduledRequest} from './scheduledRequest.js';

/** 0 up to the typical length, 1 beyond it, and one more per doubling of it. */
export function longWorkLevel({item, generatedTokens}: ScheduledRequest): number {
  const typical = item.typicalOutputTokens;
  if (typical === undefined || generatedTokens <= typical) return 0;
  return 1 + Math.floor(Math.log2(generatedTokens / typical));
}

/** Whether a request has generated more tokens than is typical; false without a typical length. */
export function isLong({item, generatedTokens}: ScheduledRequest): boolean {
  const typical = item.typicalOutputTokens;
  return typical !== undefined && generatedTokens > typical;
}

/** Number of slots that long work may occupy while shorter work waits; at least 1. */
export function longWorkLimit(share: number, window: number): number {
  return Math.max(1, Math.floor(share * window));
}
