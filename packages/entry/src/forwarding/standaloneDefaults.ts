/** Default headers, keys and document schemas of a router without a platform adapter. */
import {
  type EndpointRecord,
  endpointAddressSchema,
  type RoutingConfiguration,
} from '@marigoldfold/state';
import {formatProblem, checkDocument} from '@marigoldfold/runtime';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {createHeaderCodec, type HeaderNames} from './headerCodec.js';
import type {ForwardSource} from './forwardSource.js';

/** Header names of a router without a platform adapter. */
export const forwardHeaders: HeaderNames = {
  requestId: 'x-request-id',
  deadline: 'x-deadline-ms',
  key: 'x-api-key',
  promptTokens: 'x-prompt-tokens',
  promptParts: 'x-prompt-parts',
  account: 'x-account',
  endpointId: 'x-endpoint-id',
  rank: 'x-rank',
  lastEventId: 'last-event-id',
  signature: 'x-endpoint-signature',
  notExecuted: 'x-not-executed',
  load: 'x-endpoint-load',
  leaving: 'x-endpoint-leaving',
  limit: 'x-endpoint-limit',
};

/** Metadata codec of a router without a platform adapter. */
export const standaloneCodec = createHeaderCodec(forwardHeaders);

/** Keys and key prefixes in the key-value service. */
export const forwardKeys = {
  prefix: 'forward/',
  configuration: 'forward/configuration',
  endpoints: 'forward/endpoints/',
  peers: 'forward/peers/',
  quarantine: 'forward/quarantine/',
} as const;

const positiveNumber = z.number().positive();

const routeSchema = z.object({
  name: z.string().min(1),
  host: z.string().min(1),
  prefix: z.string().regex(/^\/(?:.*\/)?$/, 'a path that begins and ends with a slash'),
  kind: z.enum(['idempotent', 'nonIdempotent', 'stream']),
  timeoutMs: positiveNumber,
  targetMs: positiveNumber,
  pauseTargetMs: positiveNumber.optional(),
  priority: z.int().min(0),
  shares: z.array(z.object({service: z.string().min(1), weight: positiveNumber})).min(1),
  maxAttempts: z.int().min(1),
  allowsAnonymous: z.boolean(),
  hasPromptParts: z.boolean(),
  isResumable: z.boolean(),
});

const configurationSchema = z.object({
  version: z.int().min(1),
  routes: z.array(routeSchema),
  services: z.array(
    z.object({
      name: z.string().min(1),
      healthPath: z.string(),
      connectionLimit: z.int().min(1),
      engine: z
        .object({
          slots: z.int().min(1),
          cacheTokens: z.int().min(0),
          tokensPerEvent: z.int().min(1),
        })
        .optional(),
    }),
  ),
  accounts: z
    .array(
      z.object({
        name: z.string().min(1),
        keys: z.array(z.string().min(1)),
        priority: z.int().min(0).optional(),
      }),
    )
    .optional(),
  limits: z.object({
    maxHeaderBytes: z.int().min(1),
    maxBodyBytes: z.int().min(0),
    headerTimeoutMs: positiveNumber,
    idleTimeoutMs: positiveNumber,
  }),
});

const endpointSchema = z.object({
  service: z.string().min(1),
  address: endpointAddressSchema,
  failureDomain: z.string().default(''),
  slots: z.int().min(1),
  isLeaving: z.boolean().default(false),
  startedAtMs: z.int().default(0),
});

/** Keys of a standalone router and decoders of its JSON documents. */
export const standaloneSource: Omit<ForwardSource, 'store'> = {
  prefix: forwardKeys.prefix,
  configurationKey: forwardKeys.configuration,
  endpointsPrefix: forwardKeys.endpoints,
  peersPrefix: forwardKeys.peers,
  quarantinePrefix: forwardKeys.quarantine,
  decodeConfiguration: (text) =>
    parseDocument(configurationSchema, text).map(
      ({accounts, routes, services, ...rest}): RoutingConfiguration => ({
        ...rest,
        routes: routes.map((route) => ({...route, pauseTargetMs: route.pauseTargetMs})),
        services: services.map((service) => ({...service, engine: service.engine})),
        accounts: accounts?.map((account) => ({...account, priority: account.priority})),
      }),
    ),
  decodeEndpoint: (key, text) =>
    parseDocument(endpointSchema, text).map((record): EndpointRecord => ({
      ...record,
      id: parseEndpointId(key),
    })),
  endpointIdOf: parseEndpointId,
};

function parseEndpointId(key: string): string {
  return key.slice(forwardKeys.endpoints.length);
}

function parseDocument<T>(schema: z.ZodType<T>, text: string): Result<T, string> {
  let document: unknown;
  try {
    document = JSON.parse(text);
  } catch {
    return err('the document is not JSON');
  }
  const checked = checkDocument(schema, document);
  if (checked.isOk()) return ok(checked.value);
  return err(checked.error.map(formatProblem).join('; '));
}
