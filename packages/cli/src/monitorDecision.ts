/** The monitor's decision: replays the record, checks the whole chain, and signs the result. */
import {
  decideTicket,
  type Decision,
  findConflict,
  initialHead,
  type ChainHead,
  replayRecord,
  type Ticket,
} from '@marigoldfold/state';
import {err, ok, type Result} from 'neverthrow';
import type {RecordAnswer} from './operatorClient.js';

/** What is decided, and with which key. */
export interface DecisionRequest {
  readonly number: number;
  readonly verdict: Decision['verdict'];
  readonly note: string;
  readonly privateKeyPem: string;
  /** Public key that the first decision is checked against. */
  readonly firstPublicKey: string;
  readonly nowMs: number;
}

/** Replays all decided tickets. */
export function replayToHead(
  record: RecordAnswer,
  firstPublicKey: string,
): Result<ChainHead, string> {
  const {head, firstViolation} = replayRecord(initialHead(firstPublicKey), record);
  // A decision that is not valid stands for none, and a new one replaces it.
  const isAtNextTicket = firstViolation?.number === head.number + 1;
  if (firstViolation === undefined || isAtNextTicket) return ok(head);
  return err(`the record is broken: ${firstViolation.message}`);
}

/** Signs a decision on the first undecided ticket. */
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
  if (number <= head.number) return `ticket ${number} has been decided already`;
  if (number > head.number + 1) return `ticket ${head.number + 1} has to be decided first`;
  if (ticket.previousDigest !== head.digest)
    return `ticket ${number} does not follow ${head.number}`;
  if (verdict === 'rejected') return undefined;
  const conflict = findConflict(head.configuration, ticket);
  return conflict === undefined ? undefined : `${conflict}; reject it`;
}
