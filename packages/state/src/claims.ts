/** Claims in the key-value service: a call that may run at most once runs only under its claim. */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {type Digest, digestText} from './digest.js';
import type {KeyValue, KeyValueEntry} from './keyValue.js';

const outcomeSchema = z.strictObject({
  status: z.number(),
  headers: z.record(z.string(), z.string()),
  /** The body in base64. */
  body: z.string(),
});

/** Checks a claim in the service. */
export const claimSchema = z.strictObject({
  attempt: z.string(),
  requestDigest: z.string(),
  claimedAtMs: z.number(),
  outcome: outcomeSchema.optional(),
});

/** A claim. */
export type Claim = Readonly<z.infer<typeof claimSchema>>;

/** The recorded answer of a call that has run. */
export type CallOutcome = Readonly<z.infer<typeof outcomeSchema>>;

/** What a claim attempt found. */
export type ClaimResult =
  /** This attempt holds the claim, and nobody else can hold it. */
  | {readonly kind: 'held'; readonly revision: number; readonly claim: Claim}
  /** The call has run before; this is its answer. */
  | {readonly kind: 'finished'; readonly outcome: CallOutcome}
  /** An earlier attempt holds the claim, and whether it ran is not known. */
  | {readonly kind: 'pending'}
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

const CLAIM_PREFIX = 'claims/';

/** Path of a claim; the caller's key is hashed, since it may hold any text. */
export function claimPath({account, idempotencyKey}: ClaimKey): string {
  return `${CLAIM_PREFIX}${account}/${digestText(idempotencyKey)}`;
}

/** Claims a call for an attempt. */
export async function claimCall(
  store: KeyValue,
  key: ClaimKey,
  claim: Claim,
): Promise<Result<ClaimResult, ClaimError>> {
  const path = claimPath(key);
  const answer = await store.write(path, JSON.stringify(claim), {ifRevision: 0});
  if (answer.isOk()) {
    if (answer.value.kind === 'written') {
      return ok({kind: 'held', revision: answer.value.revision, claim});
    }
    return judgeClaim(answer.value.current, claim);
  }
  if (!answer.error.mayHaveTakenEffect) return err({message: answer.error.message});
  // The answer was lost: reading back tells whether this attempt holds the claim.
  const existing = await store.get(path);
  if (existing.isErr()) return err({message: existing.error.message});
  if (existing.value === undefined) return err({message: answer.error.message});
  return judgeClaim(existing.value, claim);
}

function judgeClaim(
  entry: KeyValueEntry | undefined,
  claim: Claim,
): Result<ClaimResult, ClaimError> {
  const existing = claimSchema.safeParse(parseClaim(entry));
  if (!existing.success || entry === undefined) return err({message: 'the claim cannot be read'});
  const {attempt, requestDigest, outcome} = existing.data;
  if (attempt === claim.attempt) return ok({kind: 'held', revision: entry.revision, claim});
  if (requestDigest !== claim.requestDigest) return ok({kind: 'mismatch'});
  if (outcome !== undefined) return ok({kind: 'finished', outcome});
  return ok({kind: 'pending'});
}

function parseClaim(entry: KeyValueEntry | undefined): unknown {
  if (entry === undefined) return undefined;
  try {
    return JSON.parse(entry.value) as unknown;
  } catch {
    return undefined;
  }
}

/** Records the answer of a call under its claim. */
export async function recordOutcome(
  store: KeyValue,
  key: ClaimKey,
  held: {readonly revision: number; readonly claim: Claim},
  outcome: CallOutcome,
): Promise<Result<void, ClaimError>> {
  const value = JSON.stringify({...held.claim, outcome});
  const answer = await store.write(claimPath(key), value, {ifRevision: held.revision});
  return answer.map(() => undefined).mapErr(({message}) => ({message}));
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
