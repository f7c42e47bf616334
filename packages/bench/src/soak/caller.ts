/** Checks that each response is complete and belongs to its request, or is a failure that reports whether work ran. */
import {type Ran, ranSchema} from '@marigoldfold/protocol';
import {createAnswerText} from '@marigoldfold/standin';
import type {ClientRequest, HttpClient} from '@marigoldfold/transport';
import {z} from 'zod';

/** Result of one request as its caller sees it: a response, a failure with its `ran`, or a cut connection. */
export type CallerResult =
  | {readonly kind: 'whole'}
  /** The response was incomplete, malformed or that of another request. */
  | {readonly kind: 'wrong'; readonly text: string}
  | {readonly kind: 'failed'; readonly ran: Ran; readonly requestId: string; readonly code: string}
  /** The connection ended without a response. */
  | {readonly kind: 'cut'; readonly message: string};

/** HTTP client, entry address and bearer key of a request. */
export interface CallerTarget {
  readonly client: HttpClient;
  readonly address: string;
  readonly clientKey: string;
}

const failureSchema = z.object({
  error: z.object({code: z.string(), request_id: z.string(), ran: ranSchema}),
});
const completionSchema = z.object({choices: z.array(z.object({text: z.string()})).min(1)});
const OK = 200;
const CREATED = 201;
const TIMEOUT_MS = 60_000;

/** Requests a completion and checks its text. */
export async function requestCompletion(
  target: CallerTarget,
  prompt: string,
  tokens: number,
  isStreamed: boolean,
): Promise<CallerResult> {
  const response = await target.client.fetch({
    ...requestTo(target, 'POST', '/v1/completions'),
    body: JSON.stringify({model: 'score-reader', prompt, max_tokens: tokens, stream: isStreamed}),
  });
  if (response.isErr()) return {kind: 'cut', message: response.error.message};
  const body = response.value.body.toString();
  if (response.value.status !== OK) return readFailure(body);
  const failure = isStreamed ? /^data: (\{"error":.*)$/m.exec(body)?.[1] : undefined;
  if (failure !== undefined) return readFailure(failure);
  const text = isStreamed ? streamedText(body) : completionText(body);
  return text === expectedText(prompt, tokens) ? {kind: 'whole'} : {kind: 'wrong', text: body};
}

/** Posts to the ledger with an idempotency key. */
export async function postLedgerEntry(
  target: CallerTarget,
  account: string,
  key: string,
): Promise<CallerResult> {
  const request = requestTo(target, 'POST', '/v1/services/ledger/postings');
  const response = await target.client.fetch({
    ...request,
    headers: {...request.headers, 'idempotency-key': key},
    body: JSON.stringify({account, pence: 1}),
  });
  if (response.isErr()) return {kind: 'cut', message: response.error.message};
  const body = response.value.body.toString();
  return response.value.status === CREATED ? {kind: 'whole'} : readFailure(body);
}

function requestTo(
  {address, clientKey}: CallerTarget,
  method: string,
  path: string,
): ClientRequest {
  const headers = {authorization: `Bearer ${clientKey}`, 'content-type': 'application/json'};
  return {address, method, path, headers, timeoutMs: TIMEOUT_MS};
}

function readFailure(body: string): CallerResult {
  try {
    const {error} = failureSchema.parse(JSON.parse(body));
    return {kind: 'failed', ran: error.ran, requestId: error.request_id, code: error.code};
  } catch {
    return {kind: 'wrong', text: body};
  }
}

function expectedText(prompt: string, tokens: number): string {
  const textOf = createAnswerText(JSON.stringify(prompt));
  return Array.from({length: tokens}, (_, index) => textOf(index + 1)).join('');
}

function completionText(body: string): string | undefined {
  try {
    return completionSchema.parse(JSON.parse(body)).choices[0]?.text;
  } catch {
    return undefined;
  }
}

function streamedText(body: string): string | undefined {
  if (!body.endsWith('data: [DONE]\n\n')) return undefined;
  let text = '';
  for (const line of body.split('\n')) {
    if (!line.startsWith('data: {')) continue;
    text += completionText(line.slice('data: '.length)) ?? '';
  }
  return text;
}
