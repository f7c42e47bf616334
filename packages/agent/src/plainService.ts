/** HTTP client for a plain service, that is, an endpoint that runs calls instead of generations. */
import type {Call} from '@marigoldfold/protocol';
import {type HttpClient} from '@marigoldfold/transport';
import type {CallOutcome} from '@marigoldfold/state';
import {err, ok, type Result} from 'neverthrow';

/** A call that received no response. */
export interface CallFailure {
  readonly message: string;
  /** Whether the service may have received the call. */
  readonly mayHaveBeenSent: boolean;
}

/** Sends one call to the service, without retries. */
export type PlainService = (
  id: string,
  call: Call,
  signal: AbortSignal,
) => Promise<Result<CallOutcome, CallFailure>>;

const CALL_TIMEOUT_MS = 60_000;
/** Hop-by-hop headers, and those that the HTTP client sets itself. */
const connectionHeaders = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'content-length',
  'host',
  'upgrade',
  'te',
  'trailer',
]);

/** Creates a plain service over HTTP; a call times out after 60 s. */
export function createHttpService(client: HttpClient, address: string): PlainService {
  return async (id, call, signal) => {
    const response = await client.fetch({
      address,
      method: call.method,
      path: call.path,
      headers: {...selectEndToEndHeaders(call.headers), 'x-request-id': id},
      body: Buffer.from(call.body, 'base64'),
      timeoutMs: CALL_TIMEOUT_MS,
      signal,
    });
    if (response.isErr())
      return err({
        message: response.error.message,
        mayHaveBeenSent: response.error.mayHaveBeenSent,
      });
    const {status, headers, body} = response.value;
    return ok({status, headers: selectEndToEndHeaders(headers), body: body.toString('base64')});
  };
}

/** Removes connection headers and joins repeated headers with a comma. */
export function selectEndToEndHeaders(
  headers: Readonly<Record<string, string | readonly string[] | undefined>>,
): Readonly<Record<string, string>> {
  const endToEnd: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || connectionHeaders.has(name)) continue;
    endToEnd[name] = typeof value === 'string' ? value : value.join(', ');
  }
  return endToEnd;
}
