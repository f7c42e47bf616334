/** Messages of the operators' API. */
import {decisionSchema, draftSchema, settlementSchema, ticketSchema} from '@marigoldfold/state';
import {z} from 'zod';

/** Checks a proposal: a draft with an id that a repeated submission keeps. */
export const proposalSchema = z.strictObject({id: z.string().min(1).max(64), draft: draftSchema});

/** A proposal. */
export type Proposal = Readonly<z.infer<typeof proposalSchema>>;

/** Checks a page of the record. */
export const recordAnswerSchema = z.object({
  tickets: z.array(ticketSchema),
  decisions: z.array(decisionSchema),
  /** Values that cannot be read; they count as absent. */
  unreadable: z.array(z.object({key: z.string(), message: z.string()})).default([]),
});

/** Checks the answer to a proposal. */
export const proposalAnswerSchema = z.object({ticket: ticketSchema});

/** Checks a preview of a ticket. */
export const previewSchema = z.object({
  /** Number that the ticket would get. */
  number: z.number(),
  base: z.number(),
  bytes: z.number(),
  differences: z.array(
    z.object({
      object: z.string(),
      field: z.string(),
      before: z.string().optional(),
      after: z.string().optional(),
    }),
  ),
  /** Checks that fail; an error refuses the ticket. */
  failures: z.array(z.object({severity: z.enum(['error', 'warning']), message: z.string()})),
});

/** What a ticket would change, and the checks that it fails. */
export type Preview = Readonly<z.infer<typeof previewSchema>>;

/** Checks one instance's line of a status. */
export const instanceStatusSchema = z.object({
  name: z.string(),
  role: z.enum(['entry', 'agent']),
  endpoint: z.string().optional(),
  failureDomain: z.string(),
  state: z.enum(['live', 'leaving', 'unreachable']),
  /** Number of the ticket in force there. */
  number: z.number().optional(),
  /** Digest of the whole configuration there. */
  stateDigest: z.string().optional(),
  /** Milliseconds since the number was confirmed against the key-value service. */
  confirmationAgeMs: z.number().optional(),
  /** When the ticket that was asked for came into force there, in milliseconds since 1970. */
  inForceAtMs: z.number().optional(),
  /** Whether the instance is level with the newest configuration that any instance has. */
  staleness: z.enum(['current', 'behind', 'differs', 'unconfirmed', 'unknown']),
  running: z.number().optional(),
  queued: z.number().optional(),
});

/** One instance's line of a status. */
export type InstanceStatus = Readonly<z.infer<typeof instanceStatusSchema>>;

/** Whether an instance is level with the newest configuration. */
export type Staleness = InstanceStatus['staleness'];

/** Checks a status. */
export const statusSchema = z.object({
  instance: z.string(),
  number: z.number(),
  stateDigest: z.string(),
  /** Milliseconds since the number was confirmed against the key-value service. */
  confirmationAgeMs: z.number().optional(),
  /** When the ticket that was asked for came into force at this entry. */
  inForceAtMs: z.number().optional(),
  instances: z.array(instanceStatusSchema),
});

/** A status of the whole system, as one entry sees it. */
export type Status = Readonly<z.infer<typeof statusSchema>>;

/** Checks the body of a refused operator's request. */
export const operatorErrorSchema = z.object({
  error: z.object({
    code: z.string(),
    message: z.string(),
    /** Whether a write may have taken effect all the same. */
    mayHaveTakenEffect: z.boolean(),
    problems: z.array(z.string()).default([]),
  }),
});

/** Why an operator's request was refused. */
export type OperatorError = Readonly<z.infer<typeof operatorErrorSchema>['error']>;

const accountNameSchema = z.string().min(1).max(63);
const keyDigestSchema = z.string().regex(/^[0-9a-f]{64}$/, 'a SHA-256 digest in hexadecimal');

/** Checks what an operator settles about a call whose outcome is not known. */
export const settlementRequestSchema = z.strictObject({
  account: accountNameSchema,
  /** SHA-256 digest of the caller's idempotency key. */
  keyDigest: keyDigestSchema,
  ran: z.enum(['yes', 'no']),
  reason: z.string().min(1).max(500),
});

/** What an operator settles about a call whose outcome is not known. */
export type SettlementRequest = Readonly<z.infer<typeof settlementRequestSchema>>;

/** Checks a claim as operators see it. */
export const claimViewSchema = z.object({
  path: z.string(),
  account: z.string(),
  keyDigest: z.string(),
  state: z.enum(['recorded', 'unknown', 'settled-run', 'settled-not-run']),
  claimedAtMs: z.number(),
  settlements: z.array(settlementSchema),
  /** HTTP status of the recorded outcome. */
  status: z.number().optional(),
});

/** A claim as operators see it. */
export type ClaimView = Readonly<z.infer<typeof claimViewSchema>>;

/** Checks a page of claims. */
export const claimPageSchema = z.object({
  claims: z.array(claimViewSchema),
  /** Where the next page begins; absent on the last one. */
  next: z.string().optional(),
});

/** A page of claims. */
export type ClaimPage = Readonly<z.infer<typeof claimPageSchema>>;
