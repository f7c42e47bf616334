/** Turns operators' drafts into tickets of the record. */
import {
  type Decision,
  decidedTickets,
  type Draft,
  findConflict,
  type Head,
  maxTicketBytes,
  type RecordError,
  type RecordPage,
  type Ticket,
  ticketBytes,
  ticketDigest,
  type TicketRecord,
} from '@marigoldfold/state';
import type {Clock} from '@marigoldfold/runtime';
import {err, ok, type Result} from 'neverthrow';
import type {OperatorError, Proposal} from './operatorMessages.js';

/** What the desk needs. */
export interface TicketDeskOptions {
  readonly record: TicketRecord;
  readonly head: () => Head;
  readonly clock: Clock;
}

/** Takes proposals and decisions. */
export interface TicketDesk {
  propose(author: string, proposal: Proposal): Promise<Result<Ticket, OperatorError>>;
  decide(decision: Decision): Promise<Result<void, OperatorError>>;
  read(after: number): Promise<Result<RecordPage, OperatorError>>;
}

/** Opens the desk. */
export function openTicketDesk(options: TicketDeskOptions): TicketDesk {
  const {record} = options;
  return {
    propose: (author, proposal) => propose(options, author, proposal),
    decide: async (decision) => (await record.decide(decision)).mapErr(toOperatorError),
    read: async (after) => (await record.read(after)).mapErr(toOperatorError),
  };
}

async function propose(
  {record, head, clock}: TicketDeskOptions,
  author: string,
  {id, draft}: Proposal,
): Promise<Result<Ticket, OperatorError>> {
  const current = head();
  const page = await record.read(current.number);
  if (page.isErr()) return err(toOperatorError(page.error));
  const repeated = page.value.tickets.find((ticket) => ticket.id === id);
  if (repeated !== undefined) return ok(repeated);
  if (decidedTickets(page.value).length > 0) {
    return err(refused('stale', 'this entry is catching up with the record; try again'));
  }
  const last = page.value.tickets.at(-1);
  const ticket: Ticket = {
    number: (last?.number ?? current.number) + 1,
    id,
    previousDigest: last === undefined ? current.digest : ticketDigest(last),
    base: draft.base ?? current.number,
    author,
    reason: draft.reason,
    proposedAtMs: clock.now(),
    changes: draft.changes,
  };
  const problem = findProposalProblem(ticket, current, page.value.tickets);
  if (problem !== undefined) return err(problem);
  const written = await record.propose(ticket);
  return written.map(() => ticket).mapErr(toOperatorError);
}

function findProposalProblem(
  ticket: Ticket,
  head: Head,
  undecided: readonly Ticket[],
): OperatorError | undefined {
  const bytes = ticketBytes(ticket);
  if (bytes > maxTicketBytes) {
    return refused('too_large', `the ticket has ${bytes} bytes, over ${maxTicketBytes}`);
  }
  const conflict = findConflict(head.configuration, ticket) ?? findOverlap(ticket, undecided);
  return conflict === undefined ? undefined : refused('conflict', conflict);
}

/** Names an object that an undecided ticket touches as well. */
function findOverlap(ticket: Ticket, undecided: readonly Ticket[]): string | undefined {
  const touched = new Set(
    ticket.changes.map(({kind, name}: Draft['changes'][number]) => `${kind} ${name}`),
  );
  for (const other of undecided) {
    for (const {kind, name} of other.changes) {
      const label = `${kind} ${name}`;
      if (touched.has(label))
        return `${label} is touched by ticket ${other.number}, not yet decided`;
    }
  }
  return undefined;
}

function refused(code: string, message: string): OperatorError {
  return {code, message, mayHaveTakenEffect: false, problems: []};
}

function toOperatorError({code, message, mayHaveTakenEffect}: RecordError): OperatorError {
  return {code, message, mayHaveTakenEffect, problems: []};
}
