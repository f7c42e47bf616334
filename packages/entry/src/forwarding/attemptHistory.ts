/** Records the attempts of one request and their effects on the endpoints. */
import type {Endpoint, Placement} from '@marigoldfold/coordination';
import type {AttemptOutcome, FailureResponse} from './attempt.js';

/** What earlier attempts of a request mean for the next one and for the final response. */
export class AttemptHistory {
  /** IDs of endpoints that are not tried again. */
  readonly excludedEndpoints = new Set<string>();
  attemptCount = 0;
  /** Number of attempts that reached an endpoint. */
  arrivalCount = 0;
  /** Number of attempts that an endpoint may have executed. */
  possibleRunCount = 0;
  /** Number of endpoints that crashed before their response had begun. */
  crashCount = 0;
  /** Last error response of an endpoint. */
  failureResponse: FailureResponse | undefined;
  lastFailureReason = '';

  /** Records the outcome of an attempt at an endpoint. */
  record(endpointId: string, outcome: AttemptOutcome): void {
    this.excludedEndpoints.add(endpointId);
    if (outcome.kind !== 'notSent' && outcome.kind !== 'withdrawn') this.arrivalCount += 1;
    switch (outcome.kind) {
      case 'delivered':
        return;
      case 'failed':
        this.possibleRunCount += 1;
        this.failureResponse = outcome.failure;
        this.lastFailureReason = 'endpoint_failed';
        return;
      case 'notExecuted':
        this.lastFailureReason = 'not_executed';
        return;
      case 'withdrawn':
        this.lastFailureReason = 'withdrawn';
        return;
      case 'notSent':
        this.lastFailureReason = 'unreachable';
        return;
      case 'broken':
        this.possibleRunCount += 1;
        this.lastFailureReason = 'answer_broken';
        return;
      case 'superseded':
        this.possibleRunCount += 1;
        return;
    }
  }
}

/** Updates the state of an endpoint; the end of a cancelled attempt says nothing about its endpoint. */
export function applyOutcome(
  placement: Placement,
  endpoint: Endpoint,
  outcome: AttemptOutcome,
  {isCancelled, sentAtMs}: {readonly isCancelled: boolean; readonly sentAtMs: number},
): void {
  switch (outcome.kind) {
    case 'delivered':
      endpoint.resetBackoff();
      endpoint.recordResponse(false);
      placement.recordComplete(endpoint, outcome.inFlight);
      return;
    case 'failed':
      endpoint.resetBackoff();
      endpoint.recordResponse(true, sentAtMs);
      placement.recordFailure(endpoint, sentAtMs);
      return;
    case 'notExecuted':
      if (outcome.isMisdirected) placement.recordUnreachable(endpoint);
      else placement.recordFailure(endpoint, sentAtMs);
      return;
    case 'notSent':
      if (!isCancelled) placement.recordUnreachable(endpoint);
      return;
    case 'broken':
      if (isCancelled) return;
      endpoint.recordResponse(true, sentAtMs);
      placement.recordFailure(endpoint, sentAtMs);
      return;
    case 'superseded':
      if (isCancelled || !outcome.wasSilent) return;
      endpoint.recordResponse(true, sentAtMs);
      placement.recordFailure(endpoint, sentAtMs);
      return;
    case 'withdrawn':
      return;
  }
}
