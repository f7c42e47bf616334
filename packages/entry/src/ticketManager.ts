/** Writes operators' drafts and decisions to the ticket record after checking them. */
import type {Clock} from '@marigoldfold/runtime';
import {
  advanceHead,
  type Decision,
  type ChainHead,
  isNextTicket,
  isSameSubmission,
  isSameVerdict,
  type RecordError,
  type RecordPage,
  replayRecord,
  type Ticket,
  ticketDigest,
  type TicketRecord,
} from '@marigoldfold/state';
import {err, ok, type Result} from 'neverthrow';
import type {OperatorError, Preview, Proposal} from './operatorMessages.js';
import {findTicketError, previewTicket, createOperatorError} from './ticketChecks.js';
import type {RecordTail} from './recordTail.js';

/** Ticket record, applied head and clock that a ticket manager needs. */
export interface TicketManagerOptions {
  readonly record: TicketRecord;
  readonly head: () => ChainHead;
  readonly clock: Clock;
}

/** Writes proposals and decisions to the record and reads it. */
export interface TicketManager {
  /** Writes a ticket; repeating the same submission returns the ticket that was written first. */
  propose(author: string, proposal: Proposal): Promise<Result<Ticket, OperatorError>>;
  /** Returns the changes of a proposal and the checks that it fails, without writing it. */
  preview(author: string, proposal: Proposal): Promise<Result<Preview, OperatorError>>;
  /** Writes a decision after verifying it against the chain of tickets. */
  decide(decision: Decision): Promise<Result<void, OperatorError>>;
  read(after: number): Promise<Result<RecordPage, OperatorError>>;
}

/** Repeated submissions are recognized among this many tickets before the head. */
const DEDUPLICATION_WINDOW_TICKETS = 256;
const PAGE_SIZE_TICKETS = 512;

/** Creates a ticket manager that keeps all its state in the ticket record. */
export function createTicketManager(options: TicketManagerOptions): TicketManager {
  return {
    propose: (author, proposal) => propose(options, author, proposal),
    preview: async (author, proposal) => {
      const tail = await readRecordTail(options);
      return tail.map((found) =>
        previewTicket(found, draftTicket(options, found, author, proposal)),
      );
    },
    decide: (decision) => decide(options, decision),
    read: async (after) =>
      (await options.record.read(after, PAGE_SIZE_TICKETS)).mapErr(toOperatorError),
  };
}

async function readRecordTail({
  record,
  head: headOf,
}: TicketManagerOptions): Promise<Result<RecordTail, OperatorError>> {
  const ownHead = headOf();
  const after = Math.max(0, ownHead.number - DEDUPLICATION_WINDOW_TICKETS);
  const page = await record.read(after);
  if (page.isErr()) return err(toOperatorError(page.error));
  const {tickets, decisions} = page.value;
  const later = tickets.filter(({number}) => number > ownHead.number);
  const {head, undecided} = replayRecord(ownHead, {tickets: later, decisions});
  return ok({head, undecided, recent: tickets});
}

function draftTicket(
  {clock}: TicketManagerOptions,
  {head, undecided}: RecordTail,
  author: string,
  {id, draft}: Proposal,
): Ticket {
  const last = undecided.at(-1);
  return {
    number: (last?.number ?? head.number) + 1,
    id,
    previousDigest: last === undefined ? head.digest : ticketDigest(last),
    base: draft.base ?? head.number,
    author,
    reason: draft.reason,
    proposedAtMs: clock.now(),
    changes: draft.changes,
  };
}

async function propose(
  options: TicketManagerOptions,
  author: string,
  proposal: Proposal,
): Promise<Result<Ticket, OperatorError>> {
  const tail = await readRecordTail(options);
  if (tail.isErr()) return err(tail.error);
  const ticket = draftTicket(options, tail.value, author, proposal);
  const earlier = tail.value.recent.find(({id}) => id === ticket.id);
  if (earlier !== undefined) return acceptRepeated(earlier, ticket);
  const problem = findTicketError(tail.value, ticket);
  if (problem !== undefined) return err(problem);
  const {number, previousDigest} = ticket;
  const written = await options.record.propose(ticket, (found) =>
    isNextTicket(found, number - 1, previousDigest),
  );
  return written.map(() => ticket).mapErr(toOperatorError);
}

function acceptRepeated(earlier: Ticket, ticket: Ticket): Result<Ticket, OperatorError> {
  if (isSameSubmission(earlier, ticket)) return ok(earlier);
  const message = `id ${ticket.id} was used for ticket ${earlier.number}, which has different contents`;
  return err(createOperatorError('conflict', message));
}

async function decide(
  {record, head: headOf}: TicketManagerOptions,
  decision: Decision,
): Promise<Result<void, OperatorError>> {
  const ownHead = headOf();
  if (decision.number <= ownHead.number) return confirmDecided(record, decision);
  const page = await record.read(ownHead.number);
  if (page.isErr()) return err(toOperatorError(page.error));
  const {head, undecided} = replayRecord(ownHead, page.value);
  if (decision.number <= head.number) return confirmDecided(record, decision);
  const ticket = undecided[0];
  if (ticket === undefined) {
    return err(createOperatorError('not_found', `there is no ticket ${decision.number} to decide`));
  }
  if (ticket.number !== decision.number) {
    return err(createOperatorError('conflict', `ticket ${ticket.number} must be decided first`));
  }
  const step = advanceHead(head, {ticket, decision});
  if (step.isErr()) {
    const message = `the decision is not valid and was not written: ${step.error.message}`;
    return err(createOperatorError('invalid_decision', message));
  }
  const written = await record.decide(decision, (found) =>
    advanceHead(head, {ticket, decision: found}).isOk(),
  );
  return written.mapErr(toOperatorError);
}

/** Accepts a repeated decision when its verdict equals that of the decided ticket; fails otherwise. */
async function confirmDecided(
  record: TicketRecord,
  decision: Decision,
): Promise<Result<void, OperatorError>> {
  const page = await record.read(decision.number - 1, 1);
  if (page.isErr()) return err(toOperatorError(page.error));
  const found = page.value.decisions.find(({number}) => number === decision.number);
  if (found !== undefined && isSameVerdict(found, decision)) return ok(undefined);
  const verdict = found?.verdict ?? 'decided';
  return err(
    createOperatorError('already_decided', `ticket ${decision.number} is already ${verdict}`),
  );
}

function toOperatorError({code, message, mayHaveTakenEffect}: RecordError): OperatorError {
  return {code, message, mayHaveTakenEffect, problems: []};
}
