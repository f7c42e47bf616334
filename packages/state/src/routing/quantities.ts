/** Ranges of the numbers that come from outside, so that no sum, timer or message with them overflows. */
import {z} from 'zod';

/** Longest time, in milliseconds: about 12 days, of which a timer can hold twice as much. */
export const MAX_DURATION_MS = 2 ** 30;
/** Largest number of tokens or requests, rate of them, or ratio. */
export const MAX_COUNT = 1e9;
/** Largest time since 1970 that a date can have, in milliseconds. */
const MAX_TIME_MS = 8.64e15;

/** Milliseconds of a configured time limit; a number outside of the range is cut to it. */
export const durationSchema = z
  .number()
  .transform((durationMs) => Math.min(MAX_DURATION_MS, Math.max(0, durationMs)));

/** Milliseconds from 0 to `MAX_DURATION_MS` in a message. */
export const messageDurationSchema = z.number().min(0).max(MAX_DURATION_MS);

/** Number, rate or ratio from 0 to `MAX_COUNT` in a message. */
export const countSchema = z.number().min(0).max(MAX_COUNT);

/** Milliseconds since 1970 in a message. */
export const timeSchema = z.number().min(0).max(MAX_TIME_MS);

/** Whether a number, rate or ratio is in range. */
export function isCount(value: number | undefined): value is number {
  return value !== undefined && value >= 0 && value <= MAX_COUNT;
}
