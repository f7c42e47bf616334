/** Parses and validates callers' requests: bearer key, class and body. */
import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingHttpHeaders} from 'node:http';
import {prefixKeyOf} from '@marigoldfold/coordination';
import {type Failure, type Generation, refusal} from '@marigoldfold/protocol';
import type {Account, Configuration, RequestClass} from '@marigoldfold/state';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';

/** Request header that selects the class; without it the default class of the account applies. */
export const classHeader = 'x-marigoldfold-class';

const keyPattern = /^Bearer (mf\.([a-z0-9.-]+)\.[A-Za-z0-9_-]+)$/;

/** Account whose bearer key a request carries. */
export interface Caller {
  readonly accountName: string;
  readonly account: Account;
}

/** Finds the account of a bearer key; a wrong key and an unknown account give the same failure. */
export function authenticate(
  configuration: Configuration,
  headers: IncomingHttpHeaders,
): Result<Caller, Failure> {
  const failure = refusal('unauthenticated', 'the bearer key is missing or not known');
  const match = keyPattern.exec(headers.authorization ?? '');
  const [, key, accountName] = match ?? [];
  if (key === undefined || accountName === undefined) return err(failure);
  const account = configuration.get('account', accountName);
  if (account === undefined) return err(failure);
  const digest = createHash('sha256').update(key).digest();
  for (const known of account.keyDigests) {
    if (timingSafeEqual(digest, Buffer.from(known, 'hex'))) return ok({accountName, account});
  }
  return err(failure);
}

/** A class of requests with its name, which the configuration stores as the key of the class. */
export interface NamedClass {
  readonly name: string;
  readonly requestClass: RequestClass;
}

/** Finds the requested class, or the account's default without a class header. */
export function resolveClass(
  configuration: Configuration,
  {accountName, account}: Caller,
  headers: IncomingHttpHeaders,
): Result<NamedClass, Failure> {
  const requestedClass = headers[classHeader];
  const name = typeof requestedClass === 'string' ? requestedClass : account.defaultClass;
  const requestClass = configuration.get('class', name);
  if (requestClass === undefined) {
    return err(refusal('unknown_class', `${classHeader}: there is no class ${name}`));
  }
  if (!account.classes.includes(name)) {
    const message = `${classHeader}: account ${accountName} may not use class ${name}`;
    return err(refusal('class_not_allowed', message));
  }
  return ok({name, requestClass});
}

/** Upper limit of `n`, the number of choices per prompt. */
const MAX_CHOICES = 128;
const tokenSchema = z.int().min(0);
const promptSchema = z.union(
  [
    z.string(),
    z.array(z.string()).min(1),
    z.array(tokenSchema).min(1),
    z.array(z.array(tokenSchema).min(1)).min(1),
  ],
  {error: 'a text, a list of texts, a list of tokens or a list of lists of tokens'},
);

const generationSchema = z.looseObject({
  model: z.string().min(1),
  stream: z.boolean().nullish(),
  messages: z
    .array(z.looseObject({role: z.string()}))
    .min(1)
    .optional(),
  prompt: promptSchema.optional(),
  max_tokens: z.int().min(1).nullish(),
  max_completion_tokens: z.int().min(1).nullish(),
  n: z.int().min(1).max(MAX_CHOICES).nullish(),
  stream_options: z.looseObject({include_usage: z.boolean().optional()}).nullish(),
});

/** A validated generation request. */
export interface GenerationRequest {
  readonly generation: Generation;
  readonly isStreamed: boolean;
  readonly isChat: boolean;
  /** Number of tokens, estimated from the size of the body. */
  readonly promptTokens: number;
  /** Prefix cache key of the first block of a long prompt. */
  readonly prefixKey: string | undefined;
}

/** Path of the chat completions endpoint of the OpenAI API. */
export const chatPath = '/v1/chat/completions';
/** Path of the text completions endpoint of the OpenAI API. */
export const completionPath = '/v1/completions';

const BYTES_PER_TOKEN = 4;

/** Parses and validates the body of a generation request; failure messages name the field. */
export function readGeneration(path: string, body: Buffer): Result<GenerationRequest, Failure> {
  let document: unknown;
  try {
    document = JSON.parse(body.toString());
  } catch {
    return err(refusal('bad_request', 'the body is not JSON'));
  }
  const checked = generationSchema.safeParse(document);
  if (!checked.success) return err(refusal('bad_request', describeIssues(checked.error)));
  const isChat = path === chatPath;
  const required = isChat ? 'messages' : 'prompt';
  if (checked.data[required] === undefined) {
    return err(refusal('bad_request', `${required}: is required`));
  }
  const isStreamed = checked.data.stream === true;
  // Engines always stream, and an answer assembled from their chunks must contain the token usage.
  const usageOptions = isStreamed ? {} : {stream_options: {include_usage: true}};
  return ok({
    generation: {
      kind: 'generation',
      model: checked.data.model,
      path,
      body: {...checked.data, ...usageOptions},
    },
    isStreamed,
    isChat,
    promptTokens: Math.ceil(body.length / BYTES_PER_TOKEN),
    prefixKey: prefixKeyOf(checked.data.model, JSON.stringify(checked.data[required])),
  });
}

function describeIssues(error: z.ZodError): string {
  return error.issues
    .map((issue) => `${issue.path.join('.') || 'body'}: ${issue.message}`)
    .join('; ');
}
