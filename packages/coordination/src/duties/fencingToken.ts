/** Fencing tokens, which the duty service compares to refuse calls of a former holder. */
import type {Revision} from '@marigoldfold/state';

/** Range of the revision numbers of one era; larger ones would overlap with the tokens of the next era. */
const NUMBERS_PER_ERA = 2 ** 40;
/** Eras for which a token is exactly representable as a number. */
const MAX_ERA = (Number.MAX_SAFE_INTEGER + 1) / NUMBERS_PER_ERA - 1;

/**
 * The token of the holder whose key was written at a revision. It rises with each write, also after a restore of the
 * store, which gives numbers out again in a higher era. Undefined if the revision does not fit.
 */
export function fencingTokenOf({era, number}: Revision): number | undefined {
  if (!isIndex(era, MAX_ERA) || !isIndex(number, NUMBERS_PER_ERA - 1)) return undefined;
  return era * NUMBERS_PER_ERA + number;
}

function isIndex(value: number, max: number): boolean {
  return Number.isInteger(value) && value >= 0 && value <= max;
}
