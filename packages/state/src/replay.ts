/** Replays decided tickets from a head and finds the first violation of the chain's rules. */
import {advanceHead, type ChainHead} from './chain.js';
import {decidedTickets, type RecordPage} from './record.js';
import {maxTicketBytes, type Ticket, measureTicketBytes, ticketDigest} from './ticket.js';

/** The first ticket that violates the chain's rules. */
export interface RecordViolation {
  readonly number: number;
  readonly message: string;
}

/** Result of replaying a page of the record. */
export interface ReplayResult {
  /** The head after the last valid decided ticket. */
  readonly head: ChainHead;
  readonly firstViolation?: RecordViolation;
  /** Undecided tickets after the head, up to the first one that `isNextTicket` rejects. */
  readonly undecided: readonly Ticket[];
}

/** Replays a page of the record; `from` is the head after which the page was read. */
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

/** Returns the tickets that follow a head, up to the first one that `isNextTicket` rejects. */
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

/** Whether a ticket has the next number and the digest of the previous ticket, and is within the size limit. */
export function isNextTicket(
  ticket: Ticket,
  previousNumber: number,
  previousDigest: string,
): boolean {
  return (
    ticket.number === previousNumber + 1 &&
    ticket.previousDigest === previousDigest &&
    measureTicketBytes(ticket) <= maxTicketBytes
  );
}
