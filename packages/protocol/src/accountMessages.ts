/** How entries share the limits of a client account through the account's home entry. Numbers left out are 0. */
import {z} from 'zod';
import {defineMethod} from './method.js';

/** Checks what an entry asks for one account. */
export const accountGrantRequestSchema = z.object({
  account: z.string(),
  /** Requests that it wants to admit soon. */
  tokens: z.number(),
  /** Requests of the top tier that it has admitted already and must pay for. */
  urgent: z.number().optional(),
  /** Requests in flight beyond its own share that it has or wants to have. */
  permits: z.number().optional(),
  /** How many of these are in flight already. */
  held: z.number().optional(),
});

/** What an entry asks for one account. */
export type AccountGrantRequest = Readonly<z.infer<typeof accountGrantRequestSchema>>;

/** Checks what the home answers for one account. */
export const accountGrantSchema = z.object({
  tokens: z.number(),
  permits: z.number().optional(),
  /** Milliseconds that the grant holds, from when it was asked for. */
  validMs: z.number(),
  /** Milliseconds until more can be had. */
  retryAfterMs: z.number().optional(),
});

/** What the home grants for one account. */
export type AccountGrant = Readonly<z.infer<typeof accountGrantSchema>>;

/** Asks a home for the needs of several accounts; an answer is null where the asked entry is not the home. */
export const accountGrantMethod = defineMethod(
  'entry.grant',
  z.object({entry: z.string(), asks: z.array(accountGrantRequestSchema)}),
  z.object({grants: z.array(accountGrantSchema.nullable())}),
);

/** The same without numbers that are 0, but for tokens. */
export function compactGrantRequest({
  account,
  tokens,
  urgent,
  permits,
  held,
}: AccountGrantRequest): AccountGrantRequest {
  return {account, tokens, ...omitZeros({urgent, permits, held})};
}

/** The same without numbers that are 0, but for tokens. */
export function compactGrant({tokens, validMs, permits, retryAfterMs}: AccountGrant): AccountGrant {
  return {tokens, validMs, ...omitZeros({permits, retryAfterMs})};
}

function omitZeros<T extends Readonly<Record<string, number | undefined>>>(numbers: T): Partial<T> {
  const kept = Object.entries(numbers).filter(([, value]) => value !== undefined && value !== 0);
  return Object.fromEntries(kept) as Partial<T>;
}
