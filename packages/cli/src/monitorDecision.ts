/** Signs the monitor's decision on a ticket after it has verified the whole record. */
import {
  decideTicket,
  type Decision,
  findConflict,
  createInitialHead,
  type ChainHead,
  replayRecord,
  type Ticket,
} from '@marigoldfold/state';
import {err, ok, type Result} from 'neverthrow';
import type {RecordAnswer} from './operatorClient.js';

/** Verdict on a ticket, with the monitor's private key for signing and first public key for verification. */
export interface DecisionRequest {
  readonly number: number;
  readonly verdict: Decision['verdict'];
  readonly note: string;
  readonly privateKeyPem: string;
  /** Monitor's public key at the first ticket, SPKI in base64; verifies the first decision. */
  readonly firstPublicKey: string;
  readonly nowMs: number;
}

/**
 * Replays all decided tickets; fails if the record violates the chain's rules, except if only the decision on the
 * next ticket is invalid.
 */
export function replayToHead(
  record: RecordAnswer,
  firstPublicKey: string,
): Result<ChainHead, string> {
  const {head, firstViolation} = replayRecord(createInitialHead(firstPublicKey), record);
  // An invalid decision on the next ticket is treated as absent, because a new decision replaces it.
  const isNextDecisionInvalid = firstViolation?.number === head.number + 1;
  if (firstViolation === undefined || isNextDecisionInvalid) return ok(head);
  return err(`the record is broken: ${firstViolation.message}`);
}

/** Signs a decision on the first undecided ticket; the error is a message for the operator. */
export function signNextDecision(
  record: RecordAnswer,
  request: DecisionRequest,
): Result<Decision, string> {
  const head = replayToHead(record, request.firstPublicKey);
  if (head.isErr()) return err(head.error);
  const ticket = record.tickets.find(({number}) => number === request.number);
  if (ticket === undefined) return err(`there is no ticket ${request.number}`);
  const problem = findRefusalReason(head.value, ticket, request);
  if (problem !== undefined) return err(problem);
  return decideTicket(head.value, ticket, request.verdict, {
    privateKeyPem: request.privateKeyPem,
    decidedAtMs: request.nowMs,
    note: request.note,
  });
}

function findRefusalReason(
  head: ChainHead,
  ticket: Ticket,
  {number, verdict}: DecisionRequest,
): string | undefined {
  if (number <= head.number) return `ticket ${number} has already been decided`;
  if (number > head.number + 1) return `ticket ${head.number + 1} must be decided first`;
  if (ticket.previousDigest !== head.digest)
    return `ticket ${number} does not follow ${head.number}`;
  if (verdict === 'rejected') return undefined;
  const conflict = findConflict(head.configuration, ticket);
  return conflict === undefined ? undefined : `${conflict}; reject it`;
}
