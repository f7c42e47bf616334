/** Lists the claims of calls that may run at most once, and records settlements by operators. */
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

/** Store and clock of a claim manager. */
export interface ClaimManagerOptions {
  readonly store: KeyValue;
  readonly clock: Clock;
}

/** Filter and position of a page of claims. */
export interface ClaimQuery {
  readonly account?: string;
  /** Only claims with an unknown outcome. */
  readonly onlyPending: boolean;
  /** The field `next` of the previous page. */
  readonly after?: string;
}

/** Reads and settles claims in the key-value service. */
export interface ClaimManager {
  list(query: ClaimQuery): Promise<Result<ClaimPage, OperatorError>>;
  show(account: string, keyDigest: string): Promise<Result<ClaimView, OperatorError>>;
  settle(operator: string, request: SettlementRequest): Promise<Result<ClaimView, OperatorError>>;
}

/** Number of claims that one call to the key-value service reads for a page, before filters are applied. */
const PAGE_SIZE_CLAIMS = 500;
/** Minimum age of a claim to settle; after this time the agent that made the claim can no longer send the call. */
const MIN_SETTLE_AGE_MS = 600_000;
const MS_PER_SECOND = 1000;

/** Creates a claim manager that keeps all its state in the key-value service. */
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
  // Keys contain no NUL, so this is the smallest key after the last one of the previous page.
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
      operatorRefusal(
        'conflict',
        'the outcome of the call is already recorded and cannot be settled',
      ),
    );
  }
  const ageMs = clock.now() - claim.claimedAtMs;
  if (ageMs < MIN_SETTLE_AGE_MS) {
    const waitS = Math.ceil((MIN_SETTLE_AGE_MS - ageMs) / MS_PER_SECOND);
    return err(
      operatorRefusal('conflict', `the call may still be in flight; settle it in ${waitS} s`),
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
    return err(operatorRefusal('conflict', 'the claim was changed concurrently; read it again'));
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
