/** Work that has outlived the typical length of its class. */
import type {ScheduledRequest} from './scheduledRequest.js';

/** 0 for work of usual length; then one more for each doubling beyond the typical length. */
export function longWorkLevel({item, generatedTokens}: ScheduledRequest): number {
  const typical = item.typicalOutputTokens;
  if (typical === undefined || generatedTokens <= typical) return 0;
  return 1 + Math.floor(Math.log2(generatedTokens / typical));
}

/** Whether work has outlived its class's typical length. */
export function isLong({item, generatedTokens}: ScheduledRequest): boolean {
  const typical = item.typicalOutputTokens;
  return typical !== undefined && generatedTokens > typical;
}

/** Number of slots that long work may fill while shorter work waits. */
export function longWorkLimit(share: number, window: number): number {
  return Math.max(1, Math.floor(share * window));
}
