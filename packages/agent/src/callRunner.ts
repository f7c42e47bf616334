/** Sends calls to a plain service; for a call with an idempotency key, a claim is created first. */
import {randomUUID} from 'node:crypto';
import {type Clock, type Logger, sleep} from '@marigoldfold/runtime';
import {
  type Call,
  type Failure,
  createFailure,
  refusal,
  type WorkRequest,
} from '@marigoldfold/protocol';
import {
  computeCallDigest,
  type CallOutcome,
  type Claim,
  claimCall,
  type ClaimError,
  type ClaimKey,
  type ClaimResult,
  type VersionedClaim,
  type KeyValue,
  recordOutcome,
  releaseClaim,
  takeOverClaim,
} from '@marigoldfold/state';
import {err, ok, type Result} from 'neverthrow';
import {ClaimLease} from './claimLease.js';
import type {CallFailure, PlainService} from './plainService.js';

/** Dependencies of a {@link CallRunner}. */
export interface CallRunnerOptions {
  readonly service: PlainService;
  readonly store: KeyValue;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Minimum time for which a recorded outcome is kept. */
  readonly claimRetentionMs: number;
}

/**
 * A call is not sent if its claim was created longer ago than this. The process was then paused, and an operator
 * may have settled the claim in the meantime.
 */
export const claimSendLimitMs = 60_000;
const RECORD_RETRY_INTERVAL_MS = 500;
const MAX_RECORD_RETRIES = 240;
const MAX_NEVER_SENT = 1000;

/** Runs each keyed call at most once and records its outcome in the key-value service. */
export class CallRunner implements Disposable {
  readonly #options: CallRunnerOptions;
  readonly #lease: ClaimLease;
  /** Ids of attempts by this process that never sent the call, although their claims may exist in the store. */
  readonly #neverSent = new Set<string>();
  /** Calls in flight in this process, by attempt. */
  readonly #inFlight = new Map<string, Promise<Result<CallOutcome, Failure>>>();
  /** Outcomes not yet stored in the key-value service, by attempt. */
  readonly #unrecorded = new Map<string, CallOutcome>();
  readonly #stopped = new AbortController();
  #notifyRecorded: (() => void) | undefined;

  constructor(options: CallRunnerOptions) {
    this.#options = options;
    this.#lease = new ClaimLease(options.store, options.clock, options.claimRetentionMs);
  }

  /** Number of outcomes not yet stored in the key-value service. */
  get unrecordedCount(): number {
    return this.#unrecorded.size;
  }

  /** Runs a call; a call with an idempotency key runs at most once. */
  async run(
    work: WorkRequest,
    call: Call,
    signal: AbortSignal,
  ): Promise<Result<CallOutcome, Failure>> {
    if (call.idempotencyKey !== undefined)
      return this.#runIdempotent(work, call, call.idempotencyKey);
    const outcome = await this.#options.service(work.id, call, signal);
    return outcome.mapErr(describeCallFailure);
  }

  /** Resolves when every outcome is recorded or its retries are exhausted. */
  async drain(): Promise<void> {
    while (this.#unrecorded.size > 0) {
      await new Promise<void>((resolve) => {
        this.#notifyRecorded = resolve;
      });
    }
  }

  [Symbol.dispose](): void {
    this.#stopped.abort();
  }

  async #runIdempotent(
    work: WorkRequest,
    call: Call,
    idempotencyKey: string,
  ): Promise<Result<CallOutcome, Failure>> {
    const {clock} = this.#options;
    const key: ClaimKey = {account: work.account, idempotencyKey};
    const claim: Claim = {
      attempt: randomUUID(),
      requestDigest: computeCallDigest(call.method, call.path, call.body),
      claimedAtMs: clock.now(),
    };
    const claimed = await this.#claim(key, claim);
    if (claimed.isErr()) {
      // The write may have succeeded or may still succeed. The record lets a retry take over the claim.
      this.#addNeverSent(claim.attempt);
      return err(refusal('store_unavailable', claimed.error.message));
    }
    if (claimed.value.kind !== 'held') return this.#resolveExistingClaim(claimed.value);
    const held = claimed.value;
    const running = this.#runUnderClaim(work, call, key, held);
    this.#inFlight.set(claim.attempt, running);
    const outcome = await running;
    this.#inFlight.delete(claim.attempt);
    return outcome;
  }

  async #runUnderClaim(
    work: WorkRequest,
    call: Call,
    key: ClaimKey,
    held: VersionedClaim,
  ): Promise<Result<CallOutcome, Failure>> {
    const {clock, service} = this.#options;
    if (clock.now() - held.claim.claimedAtMs > claimSendLimitMs) {
      await this.#release(key, held);
      return err(refusal('store_unavailable', 'creating the claim took too long'));
    }
    // A call under a held claim is not aborted: a caller that disconnected may retry with the same key.
    const outcome = await service(work.id, call, new AbortController().signal);
    if (outcome.isErr()) {
      if (!outcome.error.mayHaveBeenSent) await this.#release(key, held);
      return err(describeCallFailure(outcome.error));
    }
    await this.#record(work.id, key, held, outcome.value);
    return ok(outcome.value);
  }

  async #claim(key: ClaimKey, claim: Claim): Promise<Result<ClaimResult, ClaimError>> {
    const {store} = this.#options;
    const claimed = await claimCall(store, key, claim);
    if (claimed.isErr() || claimed.value.kind !== 'pending') return claimed;
    if (!this.#neverSent.has(claimed.value.claim.attempt)) return claimed;
    // The claim was created by an attempt of this process that never sent the call.
    return takeOverClaim(store, key, claimed.value, claim);
  }

  async #resolveExistingClaim(
    claim: Exclude<ClaimResult, {kind: 'held'}>,
  ): Promise<Result<CallOutcome, Failure>> {
    switch (claim.kind) {
      case 'finished':
        return ok(claim.outcome);
      case 'mismatch':
        return err(
          refusal(
            'idempotency_key_reused',
            'the idempotency key was already used for a different request',
          ),
        );
      case 'settled': {
        const {operator, reason} = claim.settlement;
        const message = `an operator settled the call as run (${operator}: ${reason})`;
        return err(createFailure('started', 'call_outcome_unknown', message));
      }
      case 'pending': {
        const {attempt} = claim.claim;
        const outcome = this.#unrecorded.get(attempt);
        if (outcome !== undefined) return ok(outcome);
        // A duplicate of a call in flight receives the same outcome.
        const inFlightOutcome = await this.#inFlight.get(attempt);
        if (inFlightOutcome !== undefined) return inFlightOutcome;
        const message = 'an earlier attempt with this key has no recorded outcome';
        return err(createFailure('no-answer', 'call_outcome_unknown', message));
      }
    }
  }

  async #release(key: ClaimKey, held: VersionedClaim): Promise<void> {
    const {store, logger} = this.#options;
    this.#addNeverSent(held.claim.attempt);
    const released = await releaseClaim(store, key, held.revision);
    if (released.isErr())
      logger.warn('releasing the claim failed', {reason: released.error.message});
  }

  #addNeverSent(attempt: string): void {
    this.#neverSent.add(attempt);
    if (this.#neverSent.size <= MAX_NEVER_SENT) return;
    for (const oldest of this.#neverSent) {
      this.#neverSent.delete(oldest);
      return;
    }
  }

  /** Stores an outcome in the claim; if the first write fails, returns and retries in the background. */
  async #record(
    requestId: string,
    key: ClaimKey,
    held: VersionedClaim,
    outcome: CallOutcome,
  ): Promise<void> {
    const {store, logger} = this.#options;
    this.#unrecorded.set(held.claim.attempt, outcome);
    const recorded = await recordOutcome(store, key, held, outcome, await this.#lease.current());
    if (recorded.isOk()) {
      this.#finishRecord(held);
      return;
    }
    logger.warn('recording the call outcome failed; retrying', {
      request: requestId,
      reason: recorded.error.message,
    });
    void this.#retryRecord(requestId, key, held, outcome);
  }

  async #retryRecord(
    requestId: string,
    key: ClaimKey,
    held: VersionedClaim,
    outcome: CallOutcome,
  ): Promise<void> {
    const {store, clock, logger} = this.#options;
    for (let retryCount = 0; retryCount < MAX_RECORD_RETRIES; retryCount += 1) {
      await sleep(clock, RECORD_RETRY_INTERVAL_MS, this.#stopped.signal);
      if (this.#stopped.signal.aborted) return;
      const recorded = await recordOutcome(store, key, held, outcome, await this.#lease.current());
      if (recorded.isErr()) continue;
      this.#finishRecord(held);
      return;
    }
    logger.error(
      'recording the call outcome failed after all retries; an operator must settle the claim',
      {request: requestId},
    );
    this.#finishRecord(held);
  }

  #finishRecord(held: VersionedClaim): void {
    this.#unrecorded.delete(held.claim.attempt);
    this.#notifyRecorded?.();
  }
}

function describeCallFailure({message, mayHaveBeenSent}: CallFailure): Failure {
  return mayHaveBeenSent
    ? createFailure('no-answer', 'endpoint_failed', message)
    : createFailure('not-sent', 'endpoint_unreachable', message);
}
