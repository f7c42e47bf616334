/** Chooses when a refused client may return, so that not all who are refused together return together. */
import type {Random} from '@marigoldfold/runtime';

/** First time at which the most urgent clients may return, in milliseconds. */
const FIRST_RETURN_MS = 150;
/** Length of the interval in which the clients of one rank return, in milliseconds. */
const RANK_INTERVAL_MS = 200;
/** Ranks from this one on return in the last interval, so that none waits for much longer than the others. */
const LAST_RANK = 2;

/**
 * Milliseconds after which a client should send its request again. More urgent ranks return before less urgent ones,
 * and the clients of one rank at different times.
 */
export function chooseRetryAfterMs(rank: number, random: Random): number {
  return Math.round(FIRST_RETURN_MS + RANK_INTERVAL_MS * (Math.min(rank, LAST_RANK) + random()));
}
