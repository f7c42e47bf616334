/** Schemas of tickets, which change the configuration, and of the monitor's decisions on them. */
import {z} from 'zod';
import {type Digest, canonicalJson, digestValue} from './digest.js';
import {kinds, nameSchema, objectSchemas} from './objects.js';

/** Size limit of a ticket's canonical JSON in bytes; authors split larger changes into several tickets. */
export const maxTicketBytes = 16_384;

// The state is kept as written. Filling in defaults here would change the digest of recorded
// tickets when a later version adds a default.
const changeSchema = z.strictObject({
  kind: z.enum(kinds),
  name: nameSchema,
  /** The complete new state, or null to remove the object. */
  state: z.unknown(),
});

const checkedChangeSchema = changeSchema.superRefine((change, context) => {
  if (change.state === null) return;
  const parsed = objectSchemas[change.kind].safeParse(change.state);
  if (parsed.success) return;
  for (const issue of parsed.error.issues) {
    const path = ['state', ...issue.path];
    if (issue.code === 'unrecognized_keys') {
      for (const key of issue.keys) {
        context.addIssue({code: 'custom', message: 'unknown key', path: [...path, key]});
      }
    } else context.addIssue({code: 'custom', message: issue.message, path});
  }
});

/** Schema of a draft: the complete new state of each changed object. */
export const draftSchema = z.strictObject({
  reason: z.string().min(1).max(500),
  /** Number of the configuration that the changes are based on; defaults to the newest. */
  base: z.int().min(0).optional(),
  changes: z.array(checkedChangeSchema).min(1).max(256),
});

/** The contents of a ticket as written by its author. */
export type Draft = Readonly<z.infer<typeof draftSchema>>;

/** Schema of a ticket in the record. */
export const ticketSchema = z.strictObject({
  number: z.int().min(1),
  /** Chosen by the author's tool to recognize resubmissions. */
  id: z.string().min(1).max(64),
  /** Digest of the previous ticket. */
  previousDigest: z.string(),
  base: z.int().min(0),
  author: z.string().min(1).max(100),
  reason: z.string().min(1).max(500),
  /** Wall time in milliseconds since 1970. */
  proposedAtMs: z.number(),
  changes: z.array(changeSchema).min(1),
});

/** A numbered change of the configuration; in force only after the monitor's approval. */
export type Ticket = Readonly<z.infer<typeof ticketSchema>>;

/** Schema of a decision in the record. */
export const decisionSchema = z.strictObject({
  number: z.int().min(1),
  verdict: z.enum(['approved', 'rejected']),
  ticketDigest: z.string(),
  /** Digest of the complete configuration after the ticket. */
  stateDigest: z.string(),
  note: z.string().max(500),
  decidedAtMs: z.number(),
  /** Ed25519 signature in base64 over the canonical JSON of all other fields. */
  signature: z.string(),
});

/** The monitor's decision on a ticket. */
export type Decision = Readonly<z.infer<typeof decisionSchema>>;

/** A decision without its signature. */
export type UnsignedDecision = Omit<Decision, 'signature'>;

/** A ticket with the monitor's signed decision on it. */
export interface DecidedTicket {
  readonly ticket: Ticket;
  readonly decision: Decision;
}

/** Schema of a decided ticket received from another process. */
export const decidedTicketSchema = z.strictObject({ticket: ticketSchema, decision: decisionSchema});

/** Digest of a ticket's canonical JSON, which the next ticket and the decision refer to. */
export function ticketDigest(ticket: Ticket): Digest {
  return digestValue(ticket);
}

/** Size of a ticket's canonical JSON in bytes. */
export function measureTicketBytes(ticket: Ticket): number {
  return Buffer.byteLength(canonicalJson(ticket));
}
