/** The chain of decided tickets: the only way for a configuration to come into force. */
import {err, ok, type Result} from 'neverthrow';
import {isSignedBy} from './decisionSigning.js';
import {Configuration, removalRetentionTickets} from './configuration.js';
import {type Digest, zeroDigest} from './digest.js';
import {objectSchemas} from './objects.js';
import {type DecidedTicket, type Ticket, ticketDigest} from './ticket.js';

/** The end of the chain as a process knows it. */
export interface ChainHead {
  /** Number of the last decided ticket. */
  readonly number: number;
  /** Digest of that ticket. */
  readonly digest: Digest;
  readonly configuration: Configuration;
  /** The monitor's public key for the next decision. */
  readonly monitorKey: string;
}

/** Why a ticket does not follow a head. */
export interface ChainError {
  readonly code:
    'wrong_number' | 'wrong_digest' | 'bad_signature' | 'wrong_state' | 'conflict' | 'invalid';
  readonly message: string;
}

/** Name of the object that holds the monitor's key. */
export const monitorObjectName = 'key';

/** The head before the first ticket. */
export function initialHead(monitorKey: string): ChainHead {
  return {number: 0, digest: zeroDigest, configuration: Configuration.empty, monitorKey};
}

/** The configuration that a ticket would bring. */
export function configurationAfter(head: ChainHead, ticket: Ticket): Configuration {
  return head.configuration.apply(ticket.changes, ticket.number);
}

/** Steps from a head to the next, after checking number, chain, signature, state and conflicts. */
export function advanceHead(
  head: ChainHead,
  decided: DecidedTicket,
): Result<ChainHead, ChainError> {
  const {ticket, decision} = decided;
  const problem = findLinkError(head, decided);
  if (problem !== undefined) return err(problem);
  const digest = ticketDigest(ticket);
  if (decision.verdict === 'rejected') {
    if (decision.stateDigest !== head.configuration.digest) return err(wrongStateError(ticket));
    return ok({...head, number: ticket.number, digest});
  }
  const invalid = findInvalidState(ticket);
  if (invalid !== undefined) return err({code: 'invalid', message: invalid});
  const conflict = findConflict(head.configuration, ticket);
  if (conflict !== undefined) return err({code: 'conflict', message: conflict});
  const configuration = configurationAfter(head, ticket);
  if (decision.stateDigest !== configuration.digest) return err(wrongStateError(ticket));
  const monitorKey = configuration.get('monitor', monitorObjectName)?.publicKey ?? head.monitorKey;
  return ok({number: ticket.number, digest, configuration, monitorKey});
}

/** Names the object that changed after the state that the ticket was authored on, if any did. */
export function findConflict(configuration: Configuration, ticket: Ticket): string | undefined {
  if (ticket.base < ticket.number - removalRetentionTickets) {
    return `ticket ${ticket.number} was authored on ticket ${ticket.base}, more than ${removalRetentionTickets} before it`;
  }
  for (const {kind, name} of ticket.changes) {
    const changed = configuration.lastChange(kind, name);
    if (changed > ticket.base) {
      return `${kind} ${name} was changed by ticket ${changed}, after ticket ${ticket.base} that this one was authored on`;
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
  const expected = head.number + 1;
  if (ticket.number !== expected || decision.number !== expected) {
    return {
      code: 'wrong_number',
      message: `ticket ${ticket.number} does not follow ${head.number}`,
    };
  }
  if (ticket.previousDigest !== head.digest) {
    return {code: 'wrong_digest', message: `ticket ${ticket.number} follows another ticket`};
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
    message: `ticket ${ticket.number} does not lead to the state digest that was signed`,
  };
}
