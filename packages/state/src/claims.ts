/** Claims in the key-value service: a call that may run at most once runs only under its claim. */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {type Digest, digestText} from './digest.js';
import type {KeyValue, KeyValueEntry, StoreError} from './keyValue.js';

const outcomeSchema = z.strictObject({
  status: z.number(),
  headers: z.record(z.string(), z.string()),
  /** The body in base64. */
  body: z.string(),
});

/** Checks what an operator has found out about a call without a recorded outcome. */
export const settlementSchema = z.strictObject({
  /** Whether the call was run. */
  ran: z.enum(['yes', 'no']),
  operator: z.string(),
  reason: z.string(),
  settledAtMs: z.number(),
});

/** Checks a claim in the service. */
export const claimSchema = z.strictObject({
  attempt: z.string(),
  requestDigest: z.string(),
  claimedAtMs: z.number(),
  outcome: outcomeSchema.optional(),
  /** What operators have settled, oldest first. */
  settlements: z.array(settlementSchema).optional(),
});

/** A claim. */
export type Claim = Readonly<z.infer<typeof claimSchema>>;

/** The recorded answer of a call that has run. */
export type CallOutcome = Readonly<z.infer<typeof outcomeSchema>>;

/** What an operator has found out about a call. */
export type Settlement = Readonly<z.infer<typeof settlementSchema>>;

/** A claim that an attempt holds. */
export interface VersionedClaim {
  readonly revision: number;
  readonly claim: Claim;
}

/** What a claim attempt found. */
export type ClaimResult =
  /** This attempt holds the claim, and nobody else can hold it. */
  | ({readonly kind: 'held'} & VersionedClaim)
  /** The call has run before; this is its answer. */
  | {readonly kind: 'finished'; readonly outcome: CallOutcome}
  /** An earlier attempt holds the claim, and whether it ran is not known. */
  | ({readonly kind: 'pending'} & VersionedClaim)
  /** An operator has settled that the call was run; its answer is not known. */
  | {readonly kind: 'settled'; readonly settlement: Settlement}
  /** The key was used for another request. */
  | {readonly kind: 'mismatch'};

/** Names one call. */
export interface ClaimKey {
  readonly account: string;
  readonly idempotencyKey: string;
}

/** A claim that could not be made; nothing was sent to the service that was to be called. */
export interface ClaimError {
  readonly message: string;
}

/** Prefix of all claims. */
export const claimPrefix = 'claims/';
const MAX_WRITE_ATTEMPTS = 3;

/** Path of a claim; the caller's key is hashed, since it may hold any text. */
export function claimPath({account, idempotencyKey}: ClaimKey): string {
  return `${claimPrefix}${account}/${digestText(idempotencyKey)}`;
}

/** Claims a call for an attempt. */
export async function claimCall(
  store: KeyValue,
  key: ClaimKey,
  claim: Claim,
): Promise<Result<ClaimResult, ClaimError>> {
  const found = await writeClaim(store, key, claim, 0);
  if (found.isErr() || found.value.kind !== 'pending') return found;
  const last = found.value.claim.settlements?.at(-1);
  if (last === undefined) return found;
  if (last.ran === 'yes') return ok({kind: 'settled', settlement: last});
  // An operator has found that the call was not run, so it may run now; the finding stays on record.
  return takeOverClaim(store, key, found.value, claim);
}

/** Puts an attempt's claim in the place of one that is known not to have run. */
export function takeOverClaim(
  store: KeyValue,
  key: ClaimKey,
  found: VersionedClaim,
  claim: Claim,
): Promise<Result<ClaimResult, ClaimError>> {
  const {settlements} = found.claim;
  const next = settlements === undefined ? claim : {...claim, settlements};
  return writeClaim(store, key, next, found.revision);
}

/**
 * Writes a claim over a revision. A lost answer is met by the same write again, never by a read: when
 * it succeeds, the lost one can no longer take effect later and leave a claim that nobody knows of.
 */
async function writeClaim(
  store: KeyValue,
  key: ClaimKey,
  claim: Claim,
  ifRevision: number,
): Promise<Result<ClaimResult, ClaimError>> {
  const answer = await writeWithRetries(store, claimPath(key), JSON.stringify(claim), {ifRevision});
  if (answer.isErr()) return err({message: answer.error.message});
  if (answer.value.kind === 'written') {
    return ok({kind: 'held', revision: answer.value.revision, claim});
  }
  return classifyExistingClaim(answer.value.current, claim);
}

async function writeWithRetries(
  store: KeyValue,
  path: string,
  value: string,
  options: {readonly ifRevision: number; readonly lease?: string},
) {
  let answer = await store.write(path, value, options);
  for (let attempts = 1; attempts < MAX_WRITE_ATTEMPTS; attempts += 1) {
    if (answer.isOk() || !answer.error.mayHaveTakenEffect) break;
    answer = await store.write(path, value, options);
  }
  return answer;
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

/** Reads a claim; undefined when it cannot be read. */
export function readClaim(entry: KeyValueEntry | undefined): Claim | undefined {
  if (entry === undefined) return undefined;
  try {
    return claimSchema.safeParse(JSON.parse(entry.value)).data;
  } catch {
    return undefined;
  }
}

/** Records the answer of a call under its claim; the lease lets the record lapse after the retention. */
export async function recordOutcome(
  store: KeyValue,
  key: ClaimKey,
  {revision, claim}: VersionedClaim,
  outcome: CallOutcome,
  lease?: string,
): Promise<Result<void, StoreError>> {
  const answer = await writeWithRetries(
    store,
    claimPath(key),
    JSON.stringify({...claim, outcome}),
    {
      ifRevision: revision,
      ...(lease === undefined ? {} : {lease}),
    },
  );
  // A conflict means that a write whose answer was lost has taken effect, or that an operator has settled.
  return answer.map(() => undefined);
}

/** Releases a claim whose call was never sent. */
export async function releaseClaim(
  store: KeyValue,
  key: ClaimKey,
  revision: number,
): Promise<Result<void, ClaimError>> {
  const answer = await store.remove(claimPath(key), revision);
  return answer.map(() => undefined).mapErr(({message}) => ({message}));
}

/** Digest of what a call asks for. */
export function callDigest(method: string, path: string, body: string): Digest {
  return digestText(JSON.stringify([method, path, body]));
}
