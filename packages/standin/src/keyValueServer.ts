/** Serves a key-value service by the JSON gateway of the etcd v3 API. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  decodeLease,
  decodeText,
  encodeLease,
  encodeText,
  etcdPaths,
  type KeyValue,
  type KeyValueEntry,
  type Revision,
  type StoreError,
} from '@marigoldfold/state';
import {readBody, sendJson, serverLimitsSchema} from '@marigoldfold/transport';
import type {Result} from 'neverthrow';
import {z} from 'zod';

const limits = serverLimitsSchema.parse({});

const rangeSchema = z.object({
  key: z.string(),
  range_end: z.string().optional(),
  limit: z.string().default('0'),
});

const txnSchema = z.object({
  compare: z.tuple([z.object({key: z.string(), mod_revision: z.string()})]),
  success: z.tuple([
    z.object({
      request_put: z
        .object({key: z.string(), value: z.string(), lease: z.string().optional()})
        .optional(),
      request_delete_range: z.object({key: z.string()}).optional(),
    }),
  ]),
});

const watchSchema = z.object({
  create_request: z.object({key: z.string(), start_revision: z.string()}),
});

const grantSchema = z.object({TTL: z.string()});
const leaseSchema = z.object({ID: z.string()});

const BAD_REQUEST = 400;
const NOT_FOUND = 404;
const OK = 200;
const WATCH_TIMEOUT_MS = 600_000;

/** Newest revision that the gateway of a service has seen. */
const newestRevisions = new WeakMap<KeyValue, Revision>();

type GatewayHandler = (store: KeyValue, body: unknown, response: ServerResponse) => Promise<void>;

const handlers: Readonly<Record<string, GatewayHandler>> = {
  [etcdPaths.range]: range,
  [etcdPaths.txn]: txn,
  [etcdPaths.watch]: watch,
  [etcdPaths.leaseGrant]: grantLease,
  [etcdPaths.leaseKeepAlive]: renewLease,
  [etcdPaths.leaseRevoke]: revokeLease,
};

/** Thrown when the wrapped key-value service returns an error; the handler then drops the connection. */
class StoreUnavailableError extends Error {}

function unwrapAnswer<T>(answer: Result<T, StoreError>): T {
  if (answer.isErr()) throw new StoreUnavailableError(answer.error.message);
  return answer.value;
}

/** Creates the request handler of the gateway; it drops the connection if the service returns an error. */
export function serveKeyValue(store: KeyValue) {
  return async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const body = await readBody(request, limits);
    const handle = handlers[request.url ?? ''];
    if (handle === undefined) {
      sendJson(response, NOT_FOUND, {code: 5, message: 'Not Found'});
      return;
    }
    if (body.isErr()) {
      sendJson(response, BAD_REQUEST, {code: 3, message: body.error});
      return;
    }
    try {
      await handle(store, JSON.parse(body.value.toString()), response);
    } catch (error) {
      if (error instanceof StoreUnavailableError) {
        // The service may have been restored.
        newestRevisions.delete(store);
        response.destroy();
        return;
      }
      sendJson(response, BAD_REQUEST, {code: 3, message: String(error)});
    }
  };
}

function toEtcdEntry({key, value, revision}: KeyValueEntry) {
  return {key: encodeText(key), value: encodeText(value), mod_revision: String(revision.number)};
}

/** Header of a response; a restored service gets another cluster id, as etcd does. */
function toHeader(store: KeyValue, revision: Revision) {
  newestRevisions.set(store, revision);
  return {cluster_id: String(revision.era), revision: String(revision.number)};
}

async function readRevision(store: KeyValue): Promise<Revision> {
  const newest = newestRevisions.get(store);
  return newest ?? unwrapAnswer(await store.list('', {limit: 1})).revision;
}

async function readHeader(store: KeyValue) {
  return toHeader(store, await readRevision(store));
}

async function range(store: KeyValue, body: unknown, response: ServerResponse) {
  const request = rangeSchema.parse(body);
  const key = decodeText(request.key);
  if (request.range_end === undefined) {
    const entry = unwrapAnswer(await store.get(key));
    const kvs = entry === undefined ? [] : [toEtcdEntry(entry)];
    sendJson(response, OK, {header: await readHeader(store), kvs});
    return;
  }
  const prefix = rangePrefix(key, decodeText(request.range_end));
  const listing = await store.list(prefix, {from: key, limit: Number(request.limit)});
  const {entries, revision} = unwrapAnswer(listing);
  sendJson(response, OK, {header: toHeader(store, revision), kvs: entries.map(toEtcdEntry)});
}

/** Returns the prefix whose key range ends at `end`. */
function rangePrefix(key: string, end: string): string {
  return key.slice(0, end.length - 1) + String.fromCharCode(end.charCodeAt(end.length - 1) - 1);
}

async function txn(store: KeyValue, body: unknown, response: ServerResponse) {
  const {compare, success} = txnSchema.parse(body);
  const key = decodeText(compare[0].key);
  const number = Number(compare[0].mod_revision);
  const ifRevision = number === 0 ? 0 : {...(await readRevision(store)), number};
  const put = success[0].request_put;
  const answer =
    put === undefined
      ? await store.remove(key, ifRevision)
      : await store.write(key, decodeText(put.value), {
          ifRevision,
          ...(put.lease === undefined ? {} : {lease: await readLease(store, put.lease)}),
        });
  const outcome = unwrapAnswer(answer);
  if (outcome.kind === 'written') {
    sendJson(response, OK, {header: toHeader(store, outcome.revision), succeeded: true});
    return;
  }
  const kvs = outcome.current === undefined ? [] : [toEtcdEntry(outcome.current)];
  const header = await readHeader(store);
  sendJson(response, OK, {header, responses: [{response_range: {kvs}}]});
}

async function watch(store: KeyValue, body: unknown, response: ServerResponse) {
  const {create_request: create} = watchSchema.parse(body);
  const controller = new AbortController();
  response.once('close', () => {
    controller.abort();
  });
  response.writeHead(OK, {'content-type': 'application/json'});
  const current = await readRevision(store);
  response.write(
    `${JSON.stringify({result: {header: toHeader(store, current), created: true}})}\n`,
  );
  const prefix = decodeText(create.key);
  let afterRevision = {...current, number: Number(create.start_revision) - 1};
  while (!controller.signal.aborted) {
    const listing = await store.watch(prefix, {
      afterRevision,
      timeoutMs: WATCH_TIMEOUT_MS,
      signal: controller.signal,
    });
    const {entries, revision} = unwrapAnswer(listing);
    afterRevision = revision;
    if (entries.length === 0) continue;
    const events = entries.map((entry) => ({kv: toEtcdEntry(entry)}));
    response.write(`${JSON.stringify({result: {header: toHeader(store, revision), events}})}\n`);
  }
}

/** The lease that a number on the wire stands for; unlike the store's own ids, it does not name the era. */
async function readLease(store: KeyValue, number: string): Promise<string> {
  return encodeLease((await readRevision(store)).era, number);
}

async function grantLease(store: KeyValue, body: unknown, response: ServerResponse) {
  const {TTL} = grantSchema.parse(body);
  const id = unwrapAnswer(await store.grantLease(Number(TTL)));
  sendJson(response, OK, {ID: decodeLease(id).lease, TTL});
}

async function renewLease(store: KeyValue, body: unknown, response: ServerResponse) {
  const {ID} = leaseSchema.parse(body);
  const isAlive = unwrapAnswer(await store.renewLease(await readLease(store, ID)));
  sendJson(response, OK, {result: {ID, TTL: isAlive ? '1' : '0'}});
}

async function revokeLease(store: KeyValue, body: unknown, response: ServerResponse) {
  const {ID} = leaseSchema.parse(body);
  unwrapAnswer(await store.revokeLease(await readLease(store, ID)));
  sendJson(response, OK, {});
}
