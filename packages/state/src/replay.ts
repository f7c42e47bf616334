/** Replays the record from its first ticket, or from a head, and finds the first break. */
import {advance, type Head} from './chain.js';
import {decidedTickets, type RecordPage} from './record.js';
import {maxTicketBytes, type Ticket, ticketBytes, ticketDigest} from './ticket.js';

/** The first place where the record does not follow its own rules. */
export interface RecordBreak {
  readonly number: number;
  readonly message: string;
}

/** How far a record leads. */
export interface Replay {
  /** The last head that follows by the rules. */
  readonly head: Head;
  readonly firstBreak?: RecordBreak;
  /** Tickets that follow the head and await a decision. */
  readonly undecided: readonly Ticket[];
}

/** Follows a page of the record from the head that it was read after. */
export function replayRecord(from: Head, page: Pick<RecordPage, 'tickets' | 'decisions'>): Replay {
  let head = from;
  for (const decided of decidedTickets(page)) {
    const next = advance(head, decided);
    if (next.isErr()) {
      const firstBreak = {number: decided.ticket.number, message: next.error.message};
      return {head, firstBreak, undecided: linkedTickets(head, page.tickets)};
    }
    head = next.value;
  }
  const undecided = linkedTickets(head, page.tickets);
  const unlinked = page.tickets.find(({number}) => number === head.number + undecided.length + 1);
  if (unlinked === undefined) return {head, undecided};
  const message = `ticket ${unlinked.number} does not follow the ticket before it`;
  return {head, undecided, firstBreak: {number: unlinked.number, message}};
}

/** The tickets that follow a head and one another. */
export function linkedTickets(head: Head, tickets: readonly Ticket[]): readonly Ticket[] {
  const linked: Ticket[] = [];
  let {number, digest} = head;
  for (const ticket of tickets) {
    if (ticket.number <= number) continue;
    if (!isLinked(ticket, number, digest)) break;
    linked.push(ticket);
    ({number} = ticket);
    digest = ticketDigest(ticket);
  }
  return linked;
}

/** Whether a ticket can stand behind a number with a digest. */
export function isLinked(ticket: Ticket, previousNumber: number, previousDigest: string): boolean {
  return (
    ticket.number === previousNumber + 1 &&
    ticket.previousDigest === previousDigest &&
    ticketBytes(ticket) <= maxTicketBytes
  );
}
