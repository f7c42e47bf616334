/** The place of the next ticket in the record. */
import {configurationAfter, type Head, type Ticket} from '@marigoldfold/state';

/** Where the next ticket goes. */
export interface RecordTail {
  /** The head of the record, which may be ahead of this process. */
  readonly head: Head;
  /** Tickets that follow the head and are not decided. */
  readonly undecided: readonly Ticket[];
  /** Tickets of the last while, decided or not. */
  readonly recent: readonly Ticket[];
}

/** The configuration when every undecided ticket is approved. */
export function projectConfiguration({head, undecided}: RecordTail): Head {
  let projected = head;
  for (const ticket of undecided) {
    projected = {...projected, configuration: configurationAfter(projected, ticket)};
  }
  return projected;
}
