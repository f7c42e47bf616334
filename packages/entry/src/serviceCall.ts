/** Calls to plain services. */
import type {IncomingMessage} from 'node:http';
import type {Call} from '@marigoldfold/protocol';
import type {EndpointSet} from '@marigoldfold/state';
import {normalizePath, matchesRulePath} from './servicePath.js';

/** Headers of the caller that are not the service's business. */
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
  // A service that honours these would run another method than the one that was checked.
  'x-http-method',
  'x-http-method-override',
  'x-method-override',
]);

/** The set that serves a service. */
export function findServiceSet(
  sets: readonly EndpointSet[],
  service: string,
): EndpointSet | undefined {
  return sets.find((set) => set.service === service);
}

/** Whether any set of a service marks a call as one that may run at most once. */
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
      // A path that cannot be decoded might be read by the service as any path.
      if (rule.method !== method) continue;
      if (normalized === undefined || matchesRulePath(rule.path, normalized)) return true;
    }
  }
  return false;
}

/** The call that a caller asks for. */
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
