/** Failures of requests, as they are sent to callers and between processes. */
import {z} from 'zod';
import {ranFromEvidence} from './evidence.js';

/** Schema of the `ran` field of a failure. */
export const ranSchema = z.enum(['no', 'yes', 'unknown']);

/** Whether a failed request was executed; `unknown` when the process cannot determine it. */
export type Ran = z.infer<typeof ranSchema>;

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
  memory_exhausted: 503,
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

/** Code of a failure, sent to callers in error responses. */
export type FailureCode = keyof typeof statusByCode;

const failureCodes = Object.keys(statusByCode) as [FailureCode, ...FailureCode[]];

/** Schema of a failure received from another process. */
export const failureSchema = z.object({
  code: z.enum(failureCodes),
  message: z.string(),
  ran: ranSchema,
  retryAfterMs: z.number().optional(),
});

/** A failed request; `retryAfterMs` is the shortest useful retry delay in milliseconds. */
export interface Failure {
  readonly code: FailureCode;
  readonly message: string;
  readonly ran: Ran;
  readonly retryAfterMs?: number | undefined;
}

/** JSON body of an error response. */
export interface FailureBody {
  readonly error: {
    readonly code: FailureCode;
    readonly message: string;
    readonly request_id: string;
    readonly ran: Ran;
    readonly retry_after_ms?: number;
  };
}

/** Creates the failure of a request that was refused before execution; its `ran` is `no`. */
export function refusal(code: FailureCode, message: string, retryAfterMs?: number): Failure {
  return retryAfterMs === undefined
    ? {code, message, ran: ranFromEvidence('refused')}
    : {code, message, ran: ranFromEvidence('refused'), retryAfterMs};
}

/** Returns the HTTP status for the code of a failure. */
export function failureStatus(failure: Failure): number {
  return statusByCode[failure.code];
}

/** Builds the body of an error response; rounds the retry delay to whole milliseconds. */
export function createFailureBody(failure: Failure, requestId: string): FailureBody {
  const {code, message, ran, retryAfterMs} = failure;
  const error = {code, message, request_id: requestId, ran};
  if (retryAfterMs === undefined) return {error};
  return {error: {...error, retry_after_ms: Math.round(retryAfterMs)}};
}
