/** Schemas of the messages of the operators' API. */
import {decisionSchema, draftSchema, settlementSchema, ticketSchema} from '@marigoldfold/state';
import {z} from 'zod';

/** Schema of a proposal: a draft and an id, which stays the same when the submission is repeated. */
export const proposalSchema = z.strictObject({id: z.string().min(1).max(64), draft: draftSchema});

/** A draft of a ticket that an operator submits. */
export type Proposal = Readonly<z.infer<typeof proposalSchema>>;

/** Schema of a page of the ticket record, with the values that could not be read. */
export const recordAnswerSchema = z.object({
  tickets: z.array(ticketSchema),
  decisions: z.array(decisionSchema),
  /** Stored values that cannot be parsed; they count as absent. */
  unreadable: z.array(z.object({key: z.string(), message: z.string()})).default([]),
});

/** Schema of the answer to a proposal, which contains the ticket as written. */
export const proposalAnswerSchema = z.object({ticket: ticketSchema});

/** Schema of a preview: the ticket that a proposal would create and the checks that it fails. */
export const previewSchema = z.object({
  /** Number that the ticket would get when it is written. */
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
  /** Failed checks; one of severity `error` makes the proposal fail. */
  failures: z.array(z.object({severity: z.enum(['error', 'warning']), message: z.string()})),
});

/** Fields that a ticket would change, and the checks that it fails. */
export type Preview = Readonly<z.infer<typeof previewSchema>>;

/** Schema of the configuration that one instance has applied, compared with the newest one. */
export const instanceStatusSchema = z.object({
  name: z.string(),
  role: z.enum(['entry', 'agent']),
  endpoint: z.string().optional(),
  failureDomain: z.string(),
  state: z.enum(['live', 'leaving', 'unreachable']),
  /** Number of the ticket that the instance has applied. */
  number: z.number().optional(),
  /** Digest of the configuration that the instance has applied. */
  stateDigest: z.string().optional(),
  /** Milliseconds since the key-value service last confirmed that the number is the newest. */
  confirmationAgeMs: z.number().optional(),
  /** When the queried ticket took effect at the instance, in milliseconds since 1970. */
  inForceAtMs: z.number().optional(),
  /** Comparison with the newest configuration that any instance reports. */
  staleness: z.enum(['current', 'behind', 'differs', 'unconfirmed', 'unknown']),
  running: z.number().optional(),
  queued: z.number().optional(),
});

/** Status of one instance; the configuration is absent when it cannot be reached. */
export type InstanceStatus = Readonly<z.infer<typeof instanceStatusSchema>>;

/** Comparison of an instance's configuration with the newest one. */
export type Staleness = InstanceStatus['staleness'];

/** Schema of the configuration that one entry has applied, with the status of all listed instances. */
export const statusSchema = z.object({
  instance: z.string(),
  number: z.number(),
  stateDigest: z.string(),
  /** Milliseconds since the key-value service last confirmed that the number is the newest. */
  confirmationAgeMs: z.number().optional(),
  /** When the queried ticket took effect at this entry, in milliseconds since 1970. */
  inForceAtMs: z.number().optional(),
  instances: z.array(instanceStatusSchema),
});

/** Status of the system as one entry has collected it. */
export type Status = Readonly<z.infer<typeof statusSchema>>;

/** Schema of the body of an error response of the operators' API. */
export const operatorErrorSchema = z.object({
  error: z.object({
    code: z.string(),
    message: z.string(),
    /** Whether the write may have taken effect despite the error. */
    mayHaveTakenEffect: z.boolean(),
    problems: z.array(z.string()).default([]),
  }),
});

/** Code and message of a failed operators' request, and whether its write may have taken effect. */
export type OperatorError = Readonly<z.infer<typeof operatorErrorSchema>['error']>;

const accountNameSchema = z.string().min(1).max(63);
const keyDigestSchema = z.string().regex(/^[0-9a-f]{64}$/, 'a SHA-256 digest in hexadecimal');

/** Schema of the settlement of a call with an unknown outcome. */
export const settlementRequestSchema = z.strictObject({
  account: accountNameSchema,
  /** SHA-256 digest of the caller's idempotency key. */
  keyDigest: keyDigestSchema,
  ran: z.enum(['yes', 'no']),
  reason: z.string().min(1).max(500),
});

/** An operator's finding whether a call with an unknown outcome has run. */
export type SettlementRequest = Readonly<z.infer<typeof settlementRequestSchema>>;

/** Schema of a claim as the operators' API returns it. */
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

/** A claim with its state; `unknown` means that no outcome is recorded or settled. */
export type ClaimView = Readonly<z.infer<typeof claimViewSchema>>;

/** Schema of a page of claims with the position of the next page. */
export const claimPageSchema = z.object({
  claims: z.array(claimViewSchema),
  /** Value of `after` for the next page; absent on the last page. */
  next: z.string().optional(),
});

/** A page of claims; may have fewer claims than the page size, also before the last page. */
export type ClaimPage = Readonly<z.infer<typeof claimPageSchema>>;
