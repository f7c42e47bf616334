/** Ranges of the numbers that come from outside, so that no sum, timer or message with them overflows. */
import {z} from 'zod';

/** Longest time limit, in milliseconds: about 12 days, of which a timer can hold twice as much. */
export const MAX_DURATION_MS = 2 ** 30;

/** Milliseconds of a time limit; a number outside of the range is cut to it. */
export const durationSchema = z
  .number()
  .transform((durationMs) => Math.min(MAX_DURATION_MS, Math.max(0, durationMs)));
