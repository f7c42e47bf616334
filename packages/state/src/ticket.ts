/** Numbered change tickets and the monitor's decisions on them. */
import {z} from 'zod';
import {type Digest, canonicalJson, digestValue} from './digest.js';
import {kinds, nameSchema, objectSchemas} from './objects.js';

/** Bytes of a ticket's canonical JSON; larger changes are split by their author. */
export const maxTicketBytes = 16_384;

// The state is kept as it was written: filling in defaults here would change the digest of a
// recorded ticket as soon as a later version adds a default.
const changeSchema = z.strictObject({
  kind: z.enum(kinds),
  name: nameSchema,
  /** The whole new state, or null to remove the object. */
  state: z.unknown(),
});

const checkedChangeSchema = changeSchema.superRefine((change, context) => {
  if (change.state === null) return;
  const checked = objectSchemas[change.kind].safeParse(change.state);
  if (checked.success) return;
  for (const issue of checked.error.issues) {
    const path = ['state', ...issue.path];
    if (issue.code === 'unrecognized_keys') {
      for (const key of issue.keys) {
        context.addIssue({code: 'custom', message: 'unknown key', path: [...path, key]});
      }
    } else context.addIssue({code: 'custom', message: issue.message, path});
  }
});

/** Checks what an author writes: the whole new state of each object touched. */
export const draftSchema = z.strictObject({
  reason: z.string().min(1).max(500),
  /** Number of the configuration that the author saw; the newest when absent. */
  base: z.int().min(0).optional(),
  changes: z.array(checkedChangeSchema).min(1).max(256),
});

/** A change as its author writes it. */
export type Draft = Readonly<z.infer<typeof draftSchema>>;

/** Checks a ticket in the record. */
export const ticketSchema = z.strictObject({
  number: z.int().min(1),
  /** Chosen by the author's tool, so that a repeated submission is recognized. */
  id: z.string().min(1).max(64),
  /** Digest of the ticket before it. */
  previousDigest: z.string(),
  base: z.int().min(0),
  author: z.string().min(1).max(100),
  reason: z.string().min(1).max(500),
  /** Wall time in milliseconds since 1970. */
  proposedAtMs: z.number(),
  changes: z.array(changeSchema).min(1),
});

/** A ticket. */
export type Ticket = Readonly<z.infer<typeof ticketSchema>>;

/** Checks a decision in the record. */
export const decisionSchema = z.strictObject({
  number: z.int().min(1),
  verdict: z.enum(['approved', 'rejected']),
  ticketDigest: z.string(),
  /** Digest of the whole configuration after the ticket. */
  stateDigest: z.string(),
  note: z.string().max(500),
  decidedAtMs: z.number(),
  /** Ed25519 signature in base64 over the canonical JSON of all other fields. */
  signature: z.string(),
});

/** The monitor's decision on a ticket. */
export type Decision = Readonly<z.infer<typeof decisionSchema>>;

/** A decision before it is signed. */
export type UnsignedDecision = Omit<Decision, 'signature'>;

/** A ticket with its decision. */
export interface DecidedTicket {
  readonly ticket: Ticket;
  readonly decision: Decision;
}

/** Checks a ticket with its decision that came from another process. */
export const decidedTicketSchema = z.strictObject({ticket: ticketSchema, decision: decisionSchema});

/** Digest of a ticket. */
export function ticketDigest(ticket: Ticket): Digest {
  return digestValue(ticket);
}

/** Bytes of a ticket as it is stored and sent. */
export function ticketBytes(ticket: Ticket): number {
  return Buffer.byteLength(canonicalJson(ticket));
}
