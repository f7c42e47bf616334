/** Replays the record from its first ticket, or from a head, and finds the first break. */
import {advanceHead, type ChainHead} from './chain.js';
import {decidedTickets, type RecordPage} from './record.js';
import {maxTicketBytes, type Ticket, ticketBytes, ticketDigest} from './ticket.js';

/** The first place where the record does not follow its own rules. */
export interface RecordViolation {
  readonly number: number;
  readonly message: string;
}

/** How far a record leads. */
export interface ReplayResult {
  /** The last head that follows by the rules. */
  readonly head: ChainHead;
  readonly firstViolation?: RecordViolation;
  /** Tickets that follow the head and await a decision. */
  readonly undecided: readonly Ticket[];
}

/** Follows a page of the record from the head that it was read after. */
export function replayRecord(
  from: ChainHead,
  page: Pick<RecordPage, 'tickets' | 'decisions'>,
): ReplayResult {
  let head = from;
  for (const decided of decidedTickets(page)) {
    const next = advanceHead(head, decided);
    if (next.isErr()) {
      const firstViolation = {number: decided.ticket.number, message: next.error.message};
      return {head, firstViolation, undecided: findLinkedTickets(head, page.tickets)};
    }
    head = next.value;
  }
  const undecided = findLinkedTickets(head, page.tickets);
  const unlinked = page.tickets.find(({number}) => number === head.number + undecided.length + 1);
  if (unlinked === undefined) return {head, undecided};
  const message = `ticket ${unlinked.number} does not follow the ticket before it`;
  return {head, undecided, firstViolation: {number: unlinked.number, message}};
}

/** The tickets that follow a head and one another. */
export function findLinkedTickets(head: ChainHead, tickets: readonly Ticket[]): readonly Ticket[] {
  const linked: Ticket[] = [];
  let {number, digest} = head;
  for (const ticket of tickets) {
    if (ticket.number <= number) continue;
    if (!isNextTicket(ticket, number, digest)) break;
    linked.push(ticket);
    ({number} = ticket);
    digest = ticketDigest(ticket);
  }
  return linked;
}

/** Whether a ticket can stand behind a number with a digest. */
export function isNextTicket(
  ticket: Ticket,
  previousNumber: number,
  previousDigest: string,
): boolean {
  return (
    ticket.number === previousNumber + 1 &&
    ticket.previousDigest === previousDigest &&
    ticketBytes(ticket) <= maxTicketBytes
  );
}
