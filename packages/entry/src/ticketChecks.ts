/** Checks of a ticket before it is written. */
import {
  type CheckFailure,
  compareFields,
  configurationAfter,
  type Draft,
  findConflict,
  findNewFailures,
  maxTicketBytes,
  type Ticket,
  ticketBytes,
} from '@marigoldfold/state';
import type {OperatorError, Preview} from './operatorMessages.js';
import {projectConfiguration, type TicketPlace} from './ticketPlace.js';

/** Why a ticket may not be written; undefined when it may. */
export function findRefusal(place: TicketPlace, ticket: Ticket): OperatorError | undefined {
  const problem = findStructuralProblem(place, ticket);
  if (problem !== undefined) return problem;
  const errors = findFailures(place, ticket).filter(({severity}) => severity === 'error');
  if (errors.length === 0) return undefined;
  return {
    ...refused('invalid_configuration', 'the configuration after the ticket would not be valid'),
    problems: errors.map(({message}) => message),
  };
}

/** What a ticket changes, and every check that it fails. */
export function previewTicket(place: TicketPlace, ticket: Ticket): Preview {
  const problem = findStructuralProblem(place, ticket);
  const failures = findFailures(place, ticket).map(({severity, message}) => ({severity, message}));
  return {
    number: ticket.number,
    base: ticket.base,
    bytes: ticketBytes(ticket),
    differences: [...compareFields(projectConfiguration(place).configuration, ticket.changes)],
    failures:
      problem === undefined
        ? failures
        : [{severity: 'error', message: problem.message}, ...failures],
  };
}

function findFailures(place: TicketPlace, ticket: Ticket): readonly CheckFailure[] {
  const before = projectConfiguration(place);
  return findNewFailures(before.configuration, configurationAfter(before, ticket));
}

function findStructuralProblem(
  {head, undecided}: TicketPlace,
  ticket: Ticket,
): OperatorError | undefined {
  const bytes = ticketBytes(ticket);
  if (bytes > maxTicketBytes) {
    return refused('too_large', `the ticket has ${bytes} bytes, over ${maxTicketBytes}`);
  }
  if (ticket.base > head.number) {
    return refused('bad_request', `base ${ticket.base} is above the newest ticket ${head.number}`);
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
      if (!touched.has(label)) continue;
      return `${label} is touched by ticket ${other.number} of ${other.author}, not yet decided`;
    }
  }
  return undefined;
}

/** An operator's request that was refused with nothing written. */
export function refused(code: string, message: string): OperatorError {
  return {code, message, mayHaveTakenEffect: false, problems: []};
}
