/** Runs calls to a plain service, those that may not be repeated under a claim. */
import {randomUUID} from 'node:crypto';
import type {Clock, Logger} from '@marigoldfold/runtime';
import {type Call, type Failure, refusal, type Work} from '@marigoldfold/protocol';
import {
  callDigest,
  type CallOutcome,
  claimCall,
  type ClaimKey,
  type KeyValue,
  recordOutcome,
  releaseClaim,
} from '@marigoldfold/state';
import {err, ok, type Result} from 'neverthrow';
import type {CallFailure, PlainService} from './plainService.js';

/** What the runner needs. */
export interface CallRunnerOptions {
  readonly service: PlainService;
  readonly store: KeyValue;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Runs calls. */
export interface CallRunner {
  run(work: Work, call: Call, signal: AbortSignal): Promise<Result<CallOutcome, Failure>>;
}

/** Creates a runner. */
export function createCallRunner(options: CallRunnerOptions): CallRunner {
  return {
    run: (work, call, signal) =>
      call.idempotencyKey === undefined
        ? runOnce(options, work, call, signal)
        : runClaimed(options, work, call, call.idempotencyKey),
  };
}

async function runOnce(
  {service}: CallRunnerOptions,
  work: Work,
  call: Call,
  signal: AbortSignal,
): Promise<Result<CallOutcome, Failure>> {
  const outcome = await service(work.id, call, signal);
  return outcome.mapErr(describeCallFailure);
}

async function runClaimed(
  options: CallRunnerOptions,
  work: Work,
  call: Call,
  idempotencyKey: string,
): Promise<Result<CallOutcome, Failure>> {
  const {store, clock, service, logger} = options;
  const key: ClaimKey = {account: work.account, idempotencyKey};
  const claimed = await claimCall(store, key, {
    attempt: randomUUID(),
    requestDigest: callDigest(call.method, call.path, call.body),
    claimedAtMs: clock.now(),
  });
  if (claimed.isErr()) return err(refusal('store_unavailable', claimed.error.message));
  const claim = claimed.value;
  if (claim.kind === 'finished') return ok(claim.outcome);
  if (claim.kind === 'mismatch') {
    return err(refusal('idempotency_key_reused', 'the key was used for another request'));
  }
  if (claim.kind === 'pending') {
    const message = 'an earlier attempt with this key has no recorded outcome';
    return err({code: 'call_outcome_unknown', message, ran: 'unknown'});
  }
  // Once the claim is held the call is not aborted: a caller that has gone may ask again by its key.
  const outcome = await service(work.id, call, new AbortController().signal);
  if (outcome.isErr()) {
    if (!outcome.error.maySent) await releaseClaim(store, key, claim.revision);
    return err(describeCallFailure(outcome.error));
  }
  const recorded = await recordOutcome(store, key, claim, outcome.value);
  if (recorded.isErr()) {
    logger.warn('outcome not recorded', {request: work.id, reason: recorded.error.message});
  }
  return ok(outcome.value);
}

function describeCallFailure({message, maySent}: CallFailure): Failure {
  if (maySent) return {code: 'endpoint_failed', message, ran: 'unknown'};
  return {code: 'endpoint_unreachable', message, ran: 'no'};
}
