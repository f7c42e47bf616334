/** Failures as every caller and process sees them. */
import {z} from 'zod';
import {ranFromEvidence} from './evidence.js';

/** Whether the work of a failed request was run: certainly not, certainly, or not known. */
export const ranSchema = z.enum(['no', 'yes', 'unknown']);

/** Whether the work of a failed request was run. */
export type Ran = z.infer<typeof ranSchema>;

/** HTTP status of each failure code. */
const statusByCode = {
  bad_request: 400,
  unauthenticated: 401,
  class_not_allowed: 403,
  unknown_class: 400,
  unknown_model: 404,
  unknown_service: 404,
  not_found: 404,
  method_not_allowed: 405,
  idempotency_key_missing: 400,
  idempotency_key_reused: 422,
  body_too_large: 413,
  headers_too_large: 431,
  too_many_connections: 503,
  request_timeout: 408,
  caller_gone: 499,
  account_limited: 429,
  overloaded: 503,
  target_unreachable: 503,
  no_endpoint: 503,
  leaving: 503,
  preempted: 503,
  withdrawn: 503,
  call_outcome_unknown: 409,
  stale_incarnation: 409,
  store_unavailable: 503,
  endpoint_unreachable: 502,
  endpoint_failed: 502,
  answer_incomplete: 502,
  timed_out: 504,
  conflict: 409,
  internal: 500,
} as const;

/** What went wrong. */
export type FailureCode = keyof typeof statusByCode;

const failureCodes = Object.keys(statusByCode) as [FailureCode, ...FailureCode[]];

/** Checks a failure that came from another process. */
export const failureSchema = z.object({
  code: z.enum(failureCodes),
  message: z.string(),
  ran: ranSchema,
  retryAfterMs: z.number().optional(),
});

/** A failed request. `retryAfterMs` is milliseconds until another try makes sense. */
export interface Failure {
  readonly code: FailureCode;
  readonly message: string;
  readonly ran: Ran;
  readonly retryAfterMs?: number | undefined;
}

/** The JSON body that callers get for a failure. */
export interface FailureBody {
  readonly error: {
    readonly code: FailureCode;
    readonly message: string;
    readonly request_id: string;
    readonly ran: Ran;
    readonly retry_after_ms?: number;
  };
}

/** A request that was refused before any of its work was started. */
export function refusal(code: FailureCode, message: string, retryAfterMs?: number): Failure {
  return retryAfterMs === undefined
    ? {code, message, ran: ranFromEvidence('refused')}
    : {code, message, ran: ranFromEvidence('refused'), retryAfterMs};
}

/** The HTTP status for a failure. */
export function failureStatus(failure: Failure): number {
  return statusByCode[failure.code];
}

/** The body for a failure. */
export function failureBody(failure: Failure, requestId: string): FailureBody {
  const {code, message, ran, retryAfterMs} = failure;
  const error = {code, message, request_id: requestId, ran};
  if (retryAfterMs === undefined) return {error};
  return {error: {...error, retry_after_ms: Math.round(retryAfterMs)}};
}
