/**
 * Checks calls to plain services against the rules of their endpoint sets, and converts callers' requests to calls.
 */
import type {IncomingMessage} from 'node:http';
import type {Call} from '@marigoldfold/protocol';
import type {EndpointSet} from '@marigoldfold/state';
import {normalizePath, matchesRulePath} from './servicePath.js';

/** Caller's headers that are not forwarded to the service: credentials, hop-by-hop and method override. */
const strippedHeaders = new Set([
  'authorization',
  'connection',
  'content-length',
  'host',
  'idempotency-key',
  'keep-alive',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  // A service that honours these headers would run another method than the one that the rules were checked for.
  'x-http-method',
  'x-http-method-override',
  'x-method-override',
]);

/** The first endpoint set that serves a service. */
export function findServiceSet(
  sets: readonly EndpointSet[],
  service: string,
): EndpointSet | undefined {
  return sets.find((set) => set.service === service);
}

/** Whether any endpoint set of a service marks the call as one that may run at most once. */
export function isNonIdempotent(
  sets: Iterable<EndpointSet>,
  service: string,
  method: string,
  path: string,
): boolean {
  const normalized = normalizePath(path);
  for (const set of sets) {
    if (set.service !== service) continue;
    for (const rule of set.nonIdempotent) {
      // The service may interpret a path that cannot be decoded as any path, so every rule for the method matches it.
      if (rule.method !== method) continue;
      if (normalized === undefined || matchesRulePath(rule.path, normalized)) return true;
    }
  }
  return false;
}

/** Converts a caller's request into a call; the body is base64-encoded. */
export function readServiceCall(
  request: IncomingMessage,
  service: string,
  path: string,
  body: Buffer,
  idempotencyKey: string | string[] | undefined,
): Call {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(request.headers)) {
    if (typeof value === 'string' && !strippedHeaders.has(name)) headers[name] = value;
  }
  return {
    kind: 'call',
    service,
    method: request.method ?? 'GET',
    path,
    headers,
    body: body.toString('base64'),
    ...(typeof idempotencyKey === 'string' ? {idempotencyKey} : {}),
  };
}
