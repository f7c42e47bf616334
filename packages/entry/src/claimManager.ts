/** Shows operators the claims of calls that may run at most once, and takes what they settle. */
import {
  type Claim,
  claimPrefix,
  type KeyValue,
  type KeyValueEntry,
  readClaim,
  type StoreError,
} from '@marigoldfold/state';
import type {Clock} from '@marigoldfold/runtime';
import {err, ok, type Result} from 'neverthrow';
import type {ClaimPage, ClaimView, OperatorError, SettlementRequest} from './operatorMessages.js';

/** What the desk needs. */
export interface ClaimManagerOptions {
  readonly store: KeyValue;
  readonly clock: Clock;
}

/** Which claims are listed. */
export interface ClaimQuery {
  readonly account?: string;
  /** Only claims whose outcome is not known. */
  readonly onlyPending: boolean;
  /** Path of the last claim of the page before. */
  readonly after?: string;
}

/** Reads and settles claims. */
export interface ClaimManager {
  list(query: ClaimQuery): Promise<Result<ClaimPage, OperatorError>>;
  show(account: string, keyDigest: string): Promise<Result<ClaimView, OperatorError>>;
  settle(operator: string, request: SettlementRequest): Promise<Result<ClaimView, OperatorError>>;
}

/** Claims that one page looks through; each page is one call of the key-value service. */
const PAGE_SIZE_CLAIMS = 500;
/** A claim is settled only when its holder can no longer be about to send the call. */
const MIN_SETTLE_AGE_MS = 600_000;
const MS_PER_SECOND = 1000;

/** Opens the desk. */
export function createClaimManager(options: ClaimManagerOptions): ClaimManager {
  const {store} = options;
  return {
    list: (query) => list(store, query),
    show: async (account, keyDigest) => (await find(store, account, keyDigest)).map(toView),
    settle: (operator, request) => settle(options, operator, request),
  };
}

interface StoredClaim {
  readonly entry: KeyValueEntry;
  readonly claim: Claim;
}

async function list(
  store: KeyValue,
  {account, onlyPending, after}: ClaimQuery,
): Promise<Result<ClaimPage, OperatorError>> {
  const prefix = account === undefined ? claimPrefix : `${claimPrefix}${account}/`;
  // No key holds a NUL, so this is the first key after the last one seen.
  const from = after === undefined ? prefix : `${after}\0`;
  const listing = await store.list(prefix, {from, limit: PAGE_SIZE_CLAIMS});
  if (listing.isErr()) return err(toOperatorError(listing.error));
  const {entries} = listing.value;
  const claims: ClaimView[] = [];
  for (const entry of entries) {
    const claim = readClaim(entry);
    if (claim === undefined) continue;
    const view = toView({entry, claim});
    if (!onlyPending || view.state === 'unknown') claims.push(view);
  }
  const last = entries.length < PAGE_SIZE_CLAIMS ? undefined : entries.at(-1)?.key;
  return ok({claims, ...(last === undefined ? {} : {next: last})});
}

async function find(
  store: KeyValue,
  account: string,
  keyDigest: string,
): Promise<Result<StoredClaim, OperatorError>> {
  const entry = await store.get(`${claimPrefix}${account}/${keyDigest}`);
  if (entry.isErr()) return err(toOperatorError(entry.error));
  const claim = readClaim(entry.value);
  if (entry.value === undefined || claim === undefined) {
    return err(operatorRefusal('not_found', `account ${account} has no claim ${keyDigest}`));
  }
  return ok({entry: entry.value, claim});
}

async function settle(
  {store, clock}: ClaimManagerOptions,
  operator: string,
  request: SettlementRequest,
): Promise<Result<ClaimView, OperatorError>> {
  const found = await find(store, request.account, request.keyDigest);
  if (found.isErr()) return err(found.error);
  const {entry, claim} = found.value;
  const view = toView(found.value);
  if (view.state === 'recorded') {
    return err(
      operatorRefusal('conflict', 'the outcome of the call is on record; nothing is to be settled'),
    );
  }
  const ageMs = clock.now() - claim.claimedAtMs;
  if (ageMs < MIN_SETTLE_AGE_MS) {
    const waitS = Math.ceil((MIN_SETTLE_AGE_MS - ageMs) / MS_PER_SECOND);
    return err(
      operatorRefusal('conflict', `the call may still be on its way; settle it in ${waitS} s`),
    );
  }
  const settlement = {
    ran: request.ran,
    operator,
    reason: request.reason,
    settledAtMs: clock.now(),
  };
  const settled: Claim = {...claim, settlements: [...(claim.settlements ?? []), settlement]};
  const value = JSON.stringify(settled);
  const written = await store.write(entry.key, value, {ifRevision: entry.revision});
  if (written.isErr()) return err(toOperatorError(written.error));
  if (written.value.kind === 'conflict') {
    return err(operatorRefusal('conflict', 'the claim has changed meanwhile; look at it again'));
  }
  return ok(toView({entry, claim: settled}));
}

function toView({entry, claim}: StoredClaim): ClaimView {
  const [account = '', keyDigest = ''] = entry.key.slice(claimPrefix.length).split('/');
  const settlements = claim.settlements ?? [];
  return {
    path: entry.key,
    account,
    keyDigest,
    state: stateOf(claim),
    claimedAtMs: claim.claimedAtMs,
    settlements: [...settlements],
    ...(claim.outcome === undefined ? {} : {status: claim.outcome.status}),
  };
}

function stateOf(claim: Claim): ClaimView['state'] {
  if (claim.outcome !== undefined) return 'recorded';
  switch (claim.settlements?.at(-1)?.ran) {
    case 'yes':
      return 'settled-run';
    case 'no':
      return 'settled-not-run';
    case undefined:
      return 'unknown';
  }
}

function operatorRefusal(code: string, message: string): OperatorError {
  return {code, message, mayHaveTakenEffect: false, problems: []};
}

function toOperatorError({message, mayHaveTakenEffect}: StoreError): OperatorError {
  return {code: 'store', message, mayHaveTakenEffect, problems: []};
}
