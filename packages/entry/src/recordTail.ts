/** The latest part of the ticket record, which determines whether the next ticket can be written. */
import {applyTicketChanges, type ChainHead, type Ticket} from '@marigoldfold/state';

/** End of the record, after which the next ticket is written. */
export interface RecordTail {
  /** The latest decided state of the record; may be newer than the configuration that this process has applied. */
  readonly head: ChainHead;
  /** Tickets after the head that are not decided. */
  readonly undecided: readonly Ticket[];
  /** The latest tickets, decided or not, for recognizing repeated submissions. */
  readonly recent: readonly Ticket[];
}

/** Returns the head with the configuration that results if every undecided ticket is approved. */
export function projectConfiguration({head, undecided}: RecordTail): ChainHead {
  let projected = head;
  for (const ticket of undecided) {
    projected = {...projected, configuration: applyTicketChanges(projected, ticket)};
  }
  return projected;
}
