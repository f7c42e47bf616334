/** A plain service, as its agent sees it. */
import type {Call} from '@marigoldfold/protocol';
import {type HttpClient} from '@marigoldfold/transport';
import type {CallOutcome} from '@marigoldfold/state';
import {err, ok, type Result} from 'neverthrow';

/** A call without an answer. */
export interface CallFailure {
  readonly message: string;
  /** Whether the service may have run the call. */
  readonly mayHaveBeenSent: boolean;
}

/** Calls the service once. */
export type PlainService = (
  id: string,
  call: Call,
  signal: AbortSignal,
) => Promise<Result<CallOutcome, CallFailure>>;

const CALL_TIMEOUT_MS = 60_000;
/** Headers that belong to one connection and are not passed on. */
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

/** Connects to a plain service. */
export function createHttpService(client: HttpClient, address: string): PlainService {
  return async (id, call, signal) => {
    const answer = await client.fetch({
      address,
      method: call.method,
      path: call.path,
      headers: {...endToEndHeaders(call.headers), 'x-request-id': id},
      body: Buffer.from(call.body, 'base64'),
      timeoutMs: CALL_TIMEOUT_MS,
      signal,
    });
    if (answer.isErr())
      return err({message: answer.error.message, mayHaveBeenSent: answer.error.mayHaveBeenSent});
    const {status, headers, body} = answer.value;
    return ok({status, headers: endToEndHeaders(headers), body: body.toString('base64')});
  };
}

/** The headers that are meant for the other end. */
export function endToEndHeaders(
  headers: Readonly<Record<string, string | readonly string[] | undefined>>,
): Readonly<Record<string, string>> {
  const kept: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || connectionHeaders.has(name)) continue;
    kept[name] = typeof value === 'string' ? value : value.join(', ');
  }
  return kept;
}
