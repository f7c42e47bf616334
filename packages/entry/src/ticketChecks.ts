/** Checks that a ticket must pass before it is written. */
import {
  type CheckFailure,
  compareFields,
  applyTicketChanges,
  type Draft,
  findConflict,
  findNewFailures,
  maxTicketBytes,
  type Ticket,
  measureTicketBytes,
} from '@marigoldfold/state';
import type {OperatorError, Preview} from './operatorMessages.js';
import {projectConfiguration, type RecordTail} from './recordTail.js';

/** Returns the error for which a ticket may not be written, or undefined when it may. */
export function findTicketError(tail: RecordTail, ticket: Ticket): OperatorError | undefined {
  const problem = findStructuralProblem(tail, ticket);
  if (problem !== undefined) return problem;
  const errors = findFailures(tail, ticket).filter(({severity}) => severity === 'error');
  if (errors.length === 0) return undefined;
  return {
    ...createOperatorError(
      'invalid_configuration',
      'the configuration with the ticket applied would not be valid',
    ),
    problems: errors.map(({message}) => message),
  };
}

/** Returns the fields that a ticket changes, and every check that it fails. */
export function previewTicket(tail: RecordTail, ticket: Ticket): Preview {
  const problem = findStructuralProblem(tail, ticket);
  const failures = findFailures(tail, ticket).map(({severity, message}) => ({severity, message}));
  return {
    number: ticket.number,
    base: ticket.base,
    bytes: measureTicketBytes(ticket),
    differences: [...compareFields(projectConfiguration(tail).configuration, ticket.changes)],
    failures:
      problem === undefined
        ? failures
        : [{severity: 'error', message: problem.message}, ...failures],
  };
}

function findFailures(tail: RecordTail, ticket: Ticket): readonly CheckFailure[] {
  const before = projectConfiguration(tail);
  return findNewFailures(before.configuration, applyTicketChanges(before, ticket));
}

function findStructuralProblem(
  {head, undecided}: RecordTail,
  ticket: Ticket,
): OperatorError | undefined {
  const bytes = measureTicketBytes(ticket);
  if (bytes > maxTicketBytes) {
    return createOperatorError(
      'too_large',
      `the ticket has ${bytes} bytes, more than the limit of ${maxTicketBytes}`,
    );
  }
  if (ticket.base > head.number) {
    return createOperatorError(
      'bad_request',
      `base ${ticket.base} is above ${head.number}, the number of the newest ticket`,
    );
  }
  const conflict =
    findConflict(head.configuration, ticket) ?? findUndecidedConflict(ticket, undecided);
  return conflict === undefined ? undefined : createOperatorError('conflict', conflict);
}

/** Describes the first object of a ticket that an undecided ticket also changes; undefined without a conflict. */
function findUndecidedConflict(ticket: Ticket, undecided: readonly Ticket[]): string | undefined {
  const changed = new Set(
    ticket.changes.map(({kind, name}: Draft['changes'][number]) => `${kind} ${name}`),
  );
  for (const other of undecided) {
    for (const {kind, name} of other.changes) {
      const label = `${kind} ${name}`;
      if (!changed.has(label)) continue;
      return `${label} is changed by ticket ${other.number} of ${other.author}, which is not decided yet`;
    }
  }
  return undefined;
}

/** Creates the error of a refused request that has written nothing. */
export function createOperatorError(code: string, message: string): OperatorError {
  return {code, message, mayHaveTakenEffect: false, problems: []};
}
