/** Maps the evidence about a request's execution to the `ran` value of its failure; `ran` is derived only here. */
import type {Failure, FailureCode, Ran} from './failure.js';

/** What is known about the execution of a failed request. */
export type Evidence =
  /** Nothing was sent to the endpoint. */
  | 'not-sent'
  /** The receiver refused the request before executing it. */
  | 'refused'
  /** The agent confirmed that the request was withdrawn before it started. */
  | 'withdrawn'
  /** The endpoint started executing the request. */
  | 'started'
  /** The request may have been received, but no response arrived. */
  | 'no-answer';

const ranByEvidence: Readonly<Record<Evidence, Ran>> = {
  'not-sent': 'no',
  refused: 'no',
  withdrawn: 'no',
  started: 'yes',
  'no-answer': 'unknown',
};

/** Whether the request was executed; `unknown` when no response arrived. */
export function ranFromEvidence(evidence: Evidence): Ran {
  return ranByEvidence[evidence];
}

/** Creates a failure whose `ran` value follows from the evidence. */
export function createFailure(evidence: Evidence, code: FailureCode, message: string): Failure {
  return {code, message, ran: ranFromEvidence(evidence)};
}

const ranPrecedence: Readonly<Record<Ran, number>> = {no: 0, unknown: 1, yes: 2};

/** Combines the `ran` values of two attempts; `no` only when both are `no`. */
export function combineRan(first: Ran, second: Ran): Ran {
  return ranPrecedence[first] >= ranPrecedence[second] ? first : second;
}
