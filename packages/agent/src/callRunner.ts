/** Runs calls to a plain service, those that may not be repeated under a claim. */
import {randomUUID} from 'node:crypto';
import {type Clock, type Logger, sleep} from '@marigoldfold/runtime';
import {type Call, type Failure, failureWith, refusal, type Work} from '@marigoldfold/protocol';
import {
  callDigest,
  type CallOutcome,
  type Claim,
  claimCall,
  type ClaimError,
  type ClaimKey,
  type ClaimResult,
  type HeldClaim,
  type KeyValue,
  recordOutcome,
  releaseClaim,
  takeOverClaim,
} from '@marigoldfold/state';
import {err, ok, type Result} from 'neverthrow';
import {ClaimLease} from './claimLease.js';
import type {CallFailure, PlainService} from './plainService.js';

/** What the runner needs. */
export interface CallRunnerOptions {
  readonly service: PlainService;
  readonly store: KeyValue;
  readonly clock: Clock;
  readonly logger: Logger;
  /** How long a recorded outcome is kept at least. */
  readonly claimRetentionMs: number;
}

/** A claim older than this is not acted on: its holder was paused, and an operator may settle it. */
export const claimSendLimitMs = 60_000;
const RECORD_RETRY_MS = 500;
const MAX_RECORD_RETRIES = 240;
const MAX_NEVER_SENT = 1000;

/** Runs calls. */
export class CallRunner implements Disposable {
  readonly #options: CallRunnerOptions;
  readonly #lease: ClaimLease;
  /** Attempts of this process that never sent a byte, whose claims may stand all the same. */
  readonly #neverSent = new Set<string>();
  /** Calls that are under way here, by attempt. */
  readonly #inFlight = new Map<string, Promise<Result<CallOutcome, Failure>>>();
  /** Outcomes that the key-value service has not taken yet, by attempt. */
  readonly #unrecorded = new Map<string, CallOutcome>();
  readonly #stopped = new AbortController();
  #notifyRecorded: (() => void) | undefined;

  constructor(options: CallRunnerOptions) {
    this.#options = options;
    this.#lease = new ClaimLease(options.store, options.clock, options.claimRetentionMs);
  }

  /** Number of outcomes that wait for the key-value service. */
  get unrecordedCount(): number {
    return this.#unrecorded.size;
  }

  /** Runs a call; one with an idempotency key runs at most once. */
  async run(work: Work, call: Call, signal: AbortSignal): Promise<Result<CallOutcome, Failure>> {
    if (call.idempotencyKey !== undefined)
      return this.#runIdempotent(work, call, call.idempotencyKey);
    const outcome = await this.#options.service(work.id, call, signal);
    return outcome.mapErr(describeCallFailure);
  }

  /** Resolves when every outcome is recorded or given up. */
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
    work: Work,
    call: Call,
    idempotencyKey: string,
  ): Promise<Result<CallOutcome, Failure>> {
    const {clock} = this.#options;
    const key: ClaimKey = {account: work.account, idempotencyKey};
    const claim: Claim = {
      attempt: randomUUID(),
      requestDigest: callDigest(call.method, call.path, call.body),
      claimedAtMs: clock.now(),
    };
    const claimed = await this.#claim(key, claim);
    if (claimed.isErr()) {
      // The claim may stand or take effect later, so that nothing was sent is remembered.
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
    work: Work,
    call: Call,
    key: ClaimKey,
    held: HeldClaim,
  ): Promise<Result<CallOutcome, Failure>> {
    const {clock, service} = this.#options;
    if (clock.now() - held.claim.claimedAtMs > claimSendLimitMs) {
      await this.#release(key, held);
      return err(refusal('store_unavailable', 'the claim took too long to be made'));
    }
    // Once the claim is held the call is not aborted: a caller that has gone may ask again by its key.
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
    // The claim that stands is of this process, which never sent a byte under it.
    return takeOverClaim(store, key, claimed.value, claim);
  }

  async #resolveExistingClaim(
    claim: Exclude<ClaimResult, {kind: 'held'}>,
  ): Promise<Result<CallOutcome, Failure>> {
    switch (claim.kind) {
      case 'finished':
        return ok(claim.outcome);
      case 'mismatch':
        return err(refusal('idempotency_key_reused', 'the key was used for another request'));
      case 'settled': {
        const {operator, reason} = claim.settlement;
        const message = `an operator has settled that the call was run (${operator}: ${reason})`;
        return err(failureWith('started', 'call_outcome_unknown', message));
      }
      case 'pending': {
        const {attempt} = claim.claim;
        const outcome = this.#unrecorded.get(attempt);
        if (outcome !== undefined) return ok(outcome);
        // A repeat that meets the call under way gets the same answer.
        const underWay = await this.#inFlight.get(attempt);
        if (underWay !== undefined) return underWay;
        const message = 'an earlier attempt with this key has no recorded outcome';
        return err(failureWith('no-answer', 'call_outcome_unknown', message));
      }
    }
  }

  async #release(key: ClaimKey, held: HeldClaim): Promise<void> {
    const {store, logger} = this.#options;
    this.#addNeverSent(held.claim.attempt);
    const released = await releaseClaim(store, key, held.revision);
    if (released.isErr()) logger.warn('claim not released', {reason: released.error.message});
  }

  #addNeverSent(attempt: string): void {
    this.#neverSent.add(attempt);
    if (this.#neverSent.size <= MAX_NEVER_SENT) return;
    for (const oldest of this.#neverSent) {
      this.#neverSent.delete(oldest);
      return;
    }
  }

  /** Records an outcome; when the service does not take it now, goes on trying beside the answer. */
  async #record(
    requestId: string,
    key: ClaimKey,
    held: HeldClaim,
    outcome: CallOutcome,
  ): Promise<void> {
    const {store, logger} = this.#options;
    this.#unrecorded.set(held.claim.attempt, outcome);
    const recorded = await recordOutcome(store, key, held, outcome, await this.#lease.current());
    if (recorded.isOk()) {
      this.#finishRecord(held);
      return;
    }
    logger.warn('outcome not recorded yet', {request: requestId, reason: recorded.error.message});
    void this.#retryRecord(requestId, key, held, outcome);
  }

  async #retryRecord(
    requestId: string,
    key: ClaimKey,
    held: HeldClaim,
    outcome: CallOutcome,
  ): Promise<void> {
    const {store, clock, logger} = this.#options;
    for (let tries = 0; tries < MAX_RECORD_RETRIES; tries += 1) {
      await sleep(clock, RECORD_RETRY_MS, this.#stopped.signal);
      if (this.#stopped.signal.aborted) return;
      const recorded = await recordOutcome(store, key, held, outcome, await this.#lease.current());
      if (recorded.isErr()) continue;
      this.#finishRecord(held);
      return;
    }
    logger.error('outcome not recorded; an operator has to settle the claim', {request: requestId});
    this.#finishRecord(held);
  }

  #finishRecord(held: HeldClaim): void {
    this.#unrecorded.delete(held.claim.attempt);
    this.#notifyRecorded?.();
  }
}

function describeCallFailure({message, mayHaveBeenSent}: CallFailure): Failure {
  return mayHaveBeenSent
    ? failureWith('no-answer', 'endpoint_failed', message)
    : failureWith('not-sent', 'endpoint_unreachable', message);
}
