/** Calls to plain services. */
import type {IncomingMessage} from 'node:http';
import type {Call} from '@marigoldfold/protocol';
import type {EndpointSet} from '@marigoldfold/state';

/** Headers of the caller that are not the service's business. */
const privateHeaders = new Set([
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
]);

/** The set that serves a service. */
export function findServiceSet(
  sets: readonly EndpointSet[],
  service: string,
): EndpointSet | undefined {
  return sets.find((set) => set.service === service);
}

/** Whether the configuration marks a call as one that may run at most once. */
export function isNonIdempotent(set: EndpointSet, method: string, path: string): boolean {
  const pathname = path.split('?')[0] ?? '';
  for (const rule of set.nonIdempotent) {
    if (rule.method !== method) continue;
    if (rule.path === pathname) return true;
    if (rule.path.endsWith('*') && pathname.startsWith(rule.path.slice(0, -1))) return true;
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
    if (typeof value === 'string' && !privateHeaders.has(name)) headers[name] = value;
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
