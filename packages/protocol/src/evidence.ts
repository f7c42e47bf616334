/** What a process knows of the work of a request, and the one place where it becomes `no`, `yes` or `unknown`. */
import type {Failure, FailureCode, Ran} from './failure.js';

/** The strongest thing that is known of a request's work. */
export type Evidence =
  /** Nothing has left this process towards the endpoint. */
  | 'not-sent'
  /** The one that was to run the work has refused it. */
  | 'refused'
  /** The agent has confirmed that the work was taken back before it started. */
  | 'withdrawn'
  /** The endpoint has begun the work. */
  | 'started'
  /** The request may have been received, and nothing more was heard. */
  | 'no-answer';

const ranByEvidence: Readonly<Record<Evidence, Ran>> = {
  'not-sent': 'no',
  refused: 'no',
  withdrawn: 'no',
  started: 'yes',
  'no-answer': 'unknown',
};

/** Whether the work was run, by what is known of it. */
export function ranFromEvidence(evidence: Evidence): Ran {
  return ranByEvidence[evidence];
}

/** A failed request with what is known of its work. */
export function createFailure(evidence: Evidence, code: FailureCode, message: string): Failure {
  return {code, message, ran: ranFromEvidence(evidence)};
}

const ranPrecedence: Readonly<Record<Ran, number>> = {no: 0, unknown: 1, yes: 2};

/** Whether the work was run by any of several attempts; `no` only when each of them says so. */
export function combineRan(first: Ran, second: Ran): Ran {
  return ranPrecedence[first] >= ranPrecedence[second] ? first : second;
}
