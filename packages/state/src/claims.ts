/**
 * Claims in the key-value service: a call that may run at most once is sent only by the attempt that holds its claim.
 */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {type Digest, digestText} from './digest.js';
import type {KeyValue, KeyValueEntry, StoreError} from './keyValue.js';
import type {Revision, RevisionCondition} from './revision.js';

const outcomeSchema = z.strictObject({
  status: z.number(),
  headers: z.record(z.string(), z.string()),
  /** Response body in base64. */
  body: z.string(),
});

/** Schema of an operator's settlement of a call without a recorded outcome. */
export const settlementSchema = z.strictObject({
  /** Whether the call was executed, as determined by the operator. */
  ran: z.enum(['yes', 'no']),
  operator: z.string(),
  reason: z.string(),
  settledAtMs: z.number(),
});

/** Schema of a stored claim. */
export const claimSchema = z.strictObject({
  attempt: z.string(),
  requestDigest: z.string(),
  claimedAtMs: z.number(),
  outcome: outcomeSchema.optional(),
  /** Settlements by operators, oldest first. */
  settlements: z.array(settlementSchema).optional(),
});

/** The exclusive right of one attempt to send a call, with the call's outcome once it is recorded. */
export type Claim = Readonly<z.infer<typeof claimSchema>>;

/** The recorded response of an executed call. */
export type CallOutcome = Readonly<z.infer<typeof outcomeSchema>>;

/** An operator's statement about whether a call without a recorded outcome was executed. */
export type Settlement = Readonly<z.infer<typeof settlementSchema>>;

/** A claim with the store revision of its last write, which the next write requires. */
export interface VersionedClaim {
  readonly revision: Revision;
  readonly claim: Claim;
}

/** Whether a call was claimed, or the state of the existing claim otherwise. */
export type ClaimResult =
  /** This attempt holds the claim exclusively. */
  | ({readonly kind: 'held'} & VersionedClaim)
  /** The call was executed earlier; the outcome is its response. */
  | {readonly kind: 'finished'; readonly outcome: CallOutcome}
  /** An earlier attempt holds the claim, and it is unknown whether the call was executed. */
  | ({readonly kind: 'pending'} & VersionedClaim)
  /** An operator settled that the call was executed; its response is unknown. */
  | {readonly kind: 'settled'; readonly settlement: Settlement}
  /** The idempotency key was used for a different request. */
  | {readonly kind: 'mismatch'};

/** Identifies one call: an idempotency key is unique only within its account. */
export interface ClaimKey {
  readonly account: string;
  readonly idempotencyKey: string;
}

/** The claim was not acquired, so the call was not sent to its service. */
export interface ClaimError {
  readonly message: string;
}

/** Key prefix of all claims. */
export const claimPrefix = 'claims/';
const MAX_WRITE_ATTEMPTS = 3;

/** Key of a claim in the store; the idempotency key is hashed because it may contain any text. */
export function claimPath({account, idempotencyKey}: ClaimKey): string {
  return `${claimPrefix}${account}/${digestText(idempotencyKey)}`;
}

/**
 * Claims a call for an attempt. If an operator settled an earlier claim's call as not executed, this attempt replaces
 * that claim.
 */
export async function claimCall(
  store: KeyValue,
  key: ClaimKey,
  claim: Claim,
): Promise<Result<ClaimResult, ClaimError>> {
  const result = await writeClaim(store, key, claim, 0);
  if (result.isErr() || result.value.kind !== 'pending') return result;
  const lastSettlement = result.value.claim.settlements?.at(-1);
  if (lastSettlement === undefined) return result;
  if (lastSettlement.ran === 'yes') return ok({kind: 'settled', settlement: lastSettlement});
  // The operator settled that the call was not executed, so it may run now; the settlement is kept.
  return takeOverClaim(store, key, result.value, claim);
}

/** Replaces a claim whose call is known not to have been executed, keeping its settlements. */
export function takeOverClaim(
  store: KeyValue,
  key: ClaimKey,
  existing: VersionedClaim,
  claim: Claim,
): Promise<Result<ClaimResult, ClaimError>> {
  const {settlements} = existing.claim;
  const nextClaim = settlements === undefined ? claim : {...claim, settlements};
  return writeClaim(store, key, nextClaim, existing.revision);
}

/**
 * Writes a claim if the revision is unchanged. After a lost response the same write is retried; the key is
 * not read instead, because the first write could still take effect after the read and leave an unknown claim.
 */
async function writeClaim(
  store: KeyValue,
  key: ClaimKey,
  claim: Claim,
  ifRevision: RevisionCondition,
): Promise<Result<ClaimResult, ClaimError>> {
  const result = await writeWithRetries(store, claimPath(key), JSON.stringify(claim), {ifRevision});
  if (result.isErr()) return err({message: result.error.message});
  if (result.value.kind === 'written') {
    return ok({kind: 'held', revision: result.value.revision, claim});
  }
  return classifyExistingClaim(result.value.current, claim);
}

async function writeWithRetries(
  store: KeyValue,
  path: string,
  value: string,
  options: {readonly ifRevision: RevisionCondition; readonly lease?: string},
) {
  let result = await store.write(path, value, options);
  for (let attempts = 1; attempts < MAX_WRITE_ATTEMPTS; attempts += 1) {
    if (result.isOk() || !result.error.mayHaveTakenEffect) break;
    result = await store.write(path, value, options);
  }
  return result;
}

function classifyExistingClaim(
  entry: KeyValueEntry | undefined,
  claim: Claim,
): Result<ClaimResult, ClaimError> {
  const existing = readClaim(entry);
  if (existing === undefined || entry === undefined) {
    return err({message: 'the claim cannot be read'});
  }
  const {attempt, requestDigest, outcome} = existing;
  if (attempt === claim.attempt) return ok({kind: 'held', revision: entry.revision, claim});
  if (requestDigest !== claim.requestDigest) return ok({kind: 'mismatch'});
  if (outcome !== undefined) return ok({kind: 'finished', outcome});
  return ok({kind: 'pending', revision: entry.revision, claim: existing});
}

/** Parses a stored claim; undefined when it is absent or invalid. */
export function readClaim(entry: KeyValueEntry | undefined): Claim | undefined {
  if (entry === undefined) return undefined;
  try {
    return claimSchema.safeParse(JSON.parse(entry.value)).data;
  } catch {
    return undefined;
  }
}

/** Records the response of a call in its claim; the lease removes the claim after the retention time. */
export async function recordOutcome(
  store: KeyValue,
  key: ClaimKey,
  {revision, claim}: VersionedClaim,
  outcome: CallOutcome,
  lease?: string,
): Promise<Result<void, StoreError>> {
  const result = await writeWithRetries(
    store,
    claimPath(key),
    JSON.stringify({...claim, outcome}),
    {
      ifRevision: revision,
      ...(lease === undefined ? {} : {lease}),
    },
  );
  // A conflict is not an error: a write whose response was lost took effect, or an operator settled the call.
  return result.map(() => undefined);
}

/** Removes a claim whose call was never sent. */
export async function releaseClaim(
  store: KeyValue,
  key: ClaimKey,
  revision: Revision,
): Promise<Result<void, ClaimError>> {
  const result = await store.remove(claimPath(key), revision);
  return result.map(() => undefined).mapErr(({message}) => ({message}));
}

/** Digest of a call's method, path and body; detects reuse of a key for another request. */
export function computeCallDigest(method: string, path: string, body: string): Digest {
  return digestText(JSON.stringify([method, path, body]));
}
