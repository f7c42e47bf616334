/** Classifies requests as long when their output exceeds the typical length of their class. */
import type {ScheduledRequest} from './scheduledRequest.js';

/** Returns 0 up to the typical output length, 1 above it, and 1 more each time the length doubles. */
export function computeLongWorkLevel({item, generatedTokens}: ScheduledRequest): number {
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
export function computeLongWorkLimit(share: number, window: number): number {
  return Math.max(1, Math.floor(share * window));
}
