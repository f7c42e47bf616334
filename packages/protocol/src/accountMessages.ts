/**
 * Messages by which entries share an account's limits. One entry, the account's home, grants parts of the limits to
 * the others. Omitted numbers are 0.
 */
import {z} from 'zod';
import {defineMethod} from './method.js';

/** Schema of a grant request for one account. */
export const accountGrantRequestSchema = z.object({
  account: z.string(),
  /** Rate limit tokens wanted, one for each request that the entry expects to admit soon. */
  tokens: z.number(),
  /** Tier 0 requests that the entry has admitted without a grant and now charges to the account. */
  urgent: z.number().optional(),
  /** Number of requests that the entry has or wants to have in flight beyond its own share of the limit. */
  permits: z.number().optional(),
  /** How many of `permits` are in flight now. */
  held: z.number().optional(),
});

/** An entry's grant request for one account. */
export type AccountGrantRequest = Readonly<z.infer<typeof accountGrantRequestSchema>>;

/** Schema of a home entry's grant for one account. */
export const accountGrantSchema = z.object({
  tokens: z.number(),
  permits: z.number().optional(),
  /** Validity of the grant in milliseconds, counted from when the grant request was sent. */
  validMs: z.number(),
  /** Milliseconds until the home entry can grant more. */
  retryAfterMs: z.number().optional(),
});

/** A home entry's grant for one account. */
export type AccountGrant = Readonly<z.infer<typeof accountGrantSchema>>;

/** Requests grants for several accounts; the grant is null for an account whose home is another entry. */
export const accountGrantMethod = defineMethod(
  'entry.grant',
  z.object({entry: z.string(), asks: z.array(accountGrantRequestSchema)}),
  z.object({grants: z.array(accountGrantSchema.nullable())}),
);

/** Omits the numbers that are 0, except `tokens`, which the schema requires. */
export function compactGrantRequest({
  account,
  tokens,
  urgent,
  permits,
  held,
}: AccountGrantRequest): AccountGrantRequest {
  return {account, tokens, ...omitZeros({urgent, permits, held})};
}

/** Omits the numbers that are 0, except `tokens` and `validMs`, which the schema requires. */
export function compactGrant({tokens, validMs, permits, retryAfterMs}: AccountGrant): AccountGrant {
  return {tokens, validMs, ...omitZeros({permits, retryAfterMs})};
}

function omitZeros<T extends Readonly<Record<string, number | undefined>>>(numbers: T): Partial<T> {
  const nonZero = Object.entries(numbers).filter(([, value]) => value !== undefined && value !== 0);
  return Object.fromEntries(nonZero) as Partial<T>;
}
