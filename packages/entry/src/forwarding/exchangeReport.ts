/** Answers, logs and counts the outcome of a client request. */
import {type InFlightRequest, type PromptSize, sharedPartIds} from '@marigoldfold/coordination';
import type {LogFields} from '@marigoldfold/runtime';
import type {BodyError} from '@marigoldfold/transport';
import type {Refusal} from './admission.js';
import type {ClientResponseWriter} from './clientResponseWriter.js';
import type {ForwardOptions} from './forwardOptions.js';
import type {AttemptOutcome} from './attempt.js';
import type {ArrivedRequest} from './forwardServer.js';

/** Value of `retry-after` for a request for which there is no memory; uploads in progress end within seconds. */
const MEMORY_RETRY_AFTER_MS = 1000;

/** Outcome of a client request; `cut` is a response that ended early, `gone` a client that disconnected. */
export type ExchangeOutcome =
  | {readonly kind: 'delivered'; readonly status: number; readonly inFlight?: InFlightRequest}
  | {readonly kind: 'refused'; readonly refusal: Refusal}
  | {readonly kind: 'failed'; readonly status: number; readonly reason: string}
  | {readonly kind: 'cut'; readonly reason: string}
  | {readonly kind: 'gone'};

/** Progress of a request; logged when its client disconnects. */
export type Stage = 'reading' | 'queued' | 'sent' | 'answering';

/** Progress of a request at its end. */
export interface ExchangeReport {
  readonly log: (message: string, fields: LogFields, level?: 'debug' | 'info') => void;
  readonly response: ClientResponseWriter;
  readonly routeName: string;
  /** Clock time in milliseconds. */
  readonly arrivedAtMs: number;
  readonly arrival: ArrivedRequest;
  /** Number of attempts. */
  readonly sends: number;
  /** Number of attempts that an endpoint may have executed. */
  readonly runs: number;
  readonly stage: Stage;
  /** Rank in the dispatch queue. */
  readonly rank: number;
  readonly lastEventId: string | undefined;
  /** Clock time in milliseconds at which the client disconnected. */
  readonly clientGoneAtMs: number | undefined;
}

/** Sends the error of a request that was not delivered, and records the outcome. */
export function reportOutcome(
  {clock, metrics, configurationState}: ForwardOptions,
  outcome: ExchangeOutcome,
  report: ExchangeReport,
): void {
  const {log, response, routeName, arrivedAtMs, arrival, sends, runs} = report;
  const totalMs = clock.now() - arrivedAtMs;
  const fields = {
    outcome: outcome.kind,
    totalMs: Math.round(totalMs),
    sends,
    runs,
    ...describeArrival(arrival),
  };
  let reason = '';
  switch (outcome.kind) {
    case 'delivered': {
      const firstEventAtMs = outcome.inFlight?.firstEventAtMs;
      metrics.observeFirstByte(
        routeName,
        firstEventAtMs === undefined ? totalMs : firstEventAtMs - arrivedAtMs,
      );
      const timings = describeTimings(outcome.inFlight, arrivedAtMs);
      log('answered', {...fields, status: outcome.status, ...timings}, 'debug');
      break;
    }
    case 'refused': {
      const {status, retryAfterMs, closesConnection} = outcome.refusal;
      reason = outcome.refusal.reason;
      response.sendError(status, reason, retryAfterMs, closesConnection);
      const beliefAgeMs = Math.round(configurationState().ageMs);
      log('refused', {...fields, status, reason, retryAfterMs, beliefAgeMs, rank: report.rank});
      break;
    }
    case 'failed':
      reason = outcome.reason;
      response.sendError(outcome.status, reason);
      log('failed', {...fields, status: outcome.status, reason});
      break;
    case 'cut':
      reason = outcome.reason;
      response.abort();
      log('cut', {...fields, reason, lastEventId: report.lastEventId});
      break;
    case 'gone':
      log('client gone', {
        ...fields,
        stage: response.hasStarted ? 'answering' : report.stage,
        passedOnMs: Math.round(clock.now() - (report.clientGoneAtMs ?? clock.now())),
      });
      break;
  }
  metrics.requests.inc({route: routeName, outcome: outcome.kind, reason});
}

/** Delays of a request before it was read, rounded for the log. */
export function describeArrival({unacceptedMs, unreadMs}: ArrivedRequest) {
  return {unacceptedMs: Math.round(unacceptedMs), unreadMs: Math.round(unreadMs)};
}

/** Time from arrival to the first event, the longest pause after it and the expected prompt time. */
function describeTimings(inFlight: InFlightRequest | undefined, arrivedAtMs: number) {
  if (inFlight?.firstEventAtMs === undefined) return {};
  return {
    firstEventMs: Math.round(inFlight.firstEventAtMs - arrivedAtMs),
    longestPauseMs: Math.round(inFlight.longestPauseMs),
    readMs: Math.round(inFlight.prefillMs),
  };
}

/** Whether a broken response had begun, and the shared prompt parts over which the endpoint may have failed if not. */
export function describeBreak(
  {hasBegun}: Extract<AttemptOutcome, {readonly kind: 'broken'}>,
  prompt: PromptSize | undefined,
): LogFields {
  if (hasBegun || prompt === undefined) return {hasBegun};
  return {hasBegun, parts: sharedPartIds(prompt).join(' ')};
}

/** Outcome of a request whose body could not be read. */
export function bodyErrorOutcome(error: BodyError): ExchangeOutcome {
  switch (error) {
    case 'too_large':
      return {kind: 'refused', refusal: {status: 413, reason: 'body_too_large'}};
    case 'timed_out':
      return {kind: 'refused', refusal: {status: 408, reason: 'body_not_in_time'}};
    case 'no_memory':
      return {
        kind: 'refused',
        refusal: {
          status: 503,
          reason: 'memory_exhausted',
          retryAfterMs: MEMORY_RETRY_AFTER_MS,
          closesConnection: true,
        },
      };
    case 'aborted':
      return {kind: 'gone'};
  }
}
