/** Builds and signs a decision on a ticket. */
import type {Result} from 'neverthrow';
import {signDecision} from './decisionSigning.js';
import {applyTicketChanges, type ChainHead} from './chain.js';
import {type Decision, type Ticket, ticketDigest} from './ticket.js';

/** Signing key, time and note of a decision. */
export interface DecisionOptions {
  readonly privateKeyPem: string;
  /** Wall time in milliseconds since 1970. */
  readonly decidedAtMs: number;
  readonly note?: string;
}

/** Signs a verdict on the ticket that follows a head; the error says why the private key cannot be used. */
export function decideTicket(
  head: ChainHead,
  ticket: Ticket,
  verdict: Decision['verdict'],
  {privateKeyPem, decidedAtMs, note = ''}: DecisionOptions,
): Result<Decision, string> {
  const configuration =
    verdict === 'approved' ? applyTicketChanges(head, ticket) : head.configuration;
  return signDecision(
    {
      number: ticket.number,
      verdict,
      ticketDigest: ticketDigest(ticket),
      stateDigest: configuration.digest,
      note,
      decidedAtMs,
    },
    privateKeyPem,
  );
}
