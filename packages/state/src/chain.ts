/** The chain of decided tickets; a configuration comes into force only through it. */
import {err, ok, type Result} from 'neverthrow';
import {isSignedBy} from './decisionSigning.js';
import {Configuration, removalRetentionTickets} from './configuration.js';
import {type Digest, zeroDigest} from './digest.js';
import {objectSchemas} from './objects.js';
import {type DecidedTicket, type Ticket, ticketDigest} from './ticket.js';

/** The last decided ticket known to a process, and the configuration after it. */
export interface ChainHead {
  /** Number of the last decided ticket. */
  readonly number: number;
  /** Digest of that ticket. */
  readonly digest: Digest;
  readonly configuration: Configuration;
  /** The monitor's public key for the next decision. */
  readonly monitorKey: string;
}

/** Violated rule because of which a decided ticket was not applied to a head. */
export interface ChainError {
  readonly code:
    'wrong_number' | 'wrong_digest' | 'bad_signature' | 'wrong_state' | 'conflict' | 'invalid';
  readonly message: string;
}

/** Name of the `monitor` object that holds the public key for verifying decisions. */
export const monitorObjectName = 'key';

/** The head before the first ticket, with the monitor's first public key. */
export function createInitialHead(monitorKey: string): ChainHead {
  return {number: 0, digest: zeroDigest, configuration: Configuration.empty, monitorKey};
}

/** Applies the changes of a ticket to the head's configuration without checking the ticket. */
export function applyTicketChanges(head: ChainHead, ticket: Ticket): Configuration {
  return head.configuration.apply(ticket.changes, ticket.number);
}

/** Applies a decided ticket to a head after checking number, digests, signature, state and conflicts. */
export function advanceHead(
  head: ChainHead,
  decided: DecidedTicket,
): Result<ChainHead, ChainError> {
  const {ticket, decision} = decided;
  const linkError = findLinkError(head, decided);
  if (linkError !== undefined) return err(linkError);
  const digest = ticketDigest(ticket);
  if (decision.verdict === 'rejected') {
    if (decision.stateDigest !== head.configuration.digest) return err(wrongStateError(ticket));
    return ok({...head, number: ticket.number, digest});
  }
  const invalidState = findInvalidState(ticket);
  if (invalidState !== undefined) return err({code: 'invalid', message: invalidState});
  const conflict = findConflict(head.configuration, ticket);
  if (conflict !== undefined) return err({code: 'conflict', message: conflict});
  const configuration = applyTicketChanges(head, ticket);
  if (decision.stateDigest !== configuration.digest) return err(wrongStateError(ticket));
  const monitorKey = configuration.get('monitor', monitorObjectName)?.publicKey ?? head.monitorKey;
  return ok({number: ticket.number, digest, configuration, monitorKey});
}

/**
 * Describes a conflict: a later ticket than the ticket's base changed one of the same objects. Undefined when there
 * is none.
 */
export function findConflict(configuration: Configuration, ticket: Ticket): string | undefined {
  if (ticket.base < ticket.number - removalRetentionTickets) {
    return `ticket ${ticket.number} is based on ticket ${ticket.base}, more than ${removalRetentionTickets} tickets earlier`;
  }
  for (const {kind, name} of ticket.changes) {
    const lastChange = configuration.lastChange(kind, name);
    if (lastChange > ticket.base) {
      return `${kind} ${name} was changed by ticket ${lastChange}, after ticket ${ticket.base}, the base of this ticket`;
    }
  }
  return undefined;
}

function findInvalidState(ticket: Ticket): string | undefined {
  for (const {kind, name, state} of ticket.changes) {
    if (state === null || objectSchemas[kind].safeParse(state).success) continue;
    return `ticket ${ticket.number} has an invalid state for ${kind} ${name}`;
  }
  return undefined;
}

function findLinkError(head: ChainHead, {ticket, decision}: DecidedTicket): ChainError | undefined {
  const expectedNumber = head.number + 1;
  if (ticket.number !== expectedNumber || decision.number !== expectedNumber) {
    return {
      code: 'wrong_number',
      message: `ticket ${ticket.number} does not follow ${head.number}`,
    };
  }
  if (ticket.previousDigest !== head.digest) {
    return {
      code: 'wrong_digest',
      message: `ticket ${ticket.number} has the digest of a different previous ticket`,
    };
  }
  if (decision.ticketDigest !== ticketDigest(ticket)) {
    return {code: 'wrong_digest', message: `decision ${ticket.number} is on another ticket`};
  }
  if (!isSignedBy(decision, head.monitorKey)) {
    return {code: 'bad_signature', message: `decision ${ticket.number} is not the monitor's`};
  }
  return undefined;
}

function wrongStateError(ticket: Ticket): ChainError {
  return {
    code: 'wrong_state',
    message: `ticket ${ticket.number} does not produce the signed state digest`,
  };
}
