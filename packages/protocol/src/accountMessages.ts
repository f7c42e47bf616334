/** How entries share the limits of a client account through the account's home entry. */
import {z} from 'zod';
import {method} from './method.js';

/** Checks what an entry asks for one account. */
export const accountAskSchema = z.object({
  account: z.string(),
  /** Requests that it wants to admit soon. */
  tokens: z.number(),
  /** Requests in flight beyond its own share that it has or wants to have. */
  permits: z.number(),
  /** How many of these are in flight already. */
  held: z.number(),
});

/** What an entry asks for one account. */
export type AccountAsk = Readonly<z.infer<typeof accountAskSchema>>;

/** Checks what the home answers for one account. */
export const accountGrantSchema = z.object({
  tokens: z.number(),
  permits: z.number(),
  /** Milliseconds that the grant holds, from when it was asked for. */
  validMs: z.number(),
  /** Milliseconds until more can be had. */
  retryAfterMs: z.number(),
});

/** What the home grants for one account. */
export type AccountGrant = Readonly<z.infer<typeof accountGrantSchema>>;

/** Asks a home for the needs of several accounts; an answer is null where the asked entry is not the home. */
export const accountGrantMethod = method(
  'entry.grant',
  z.object({entry: z.string(), asks: z.array(accountAskSchema)}),
  z.object({grants: z.array(accountGrantSchema.nullable())}),
);
