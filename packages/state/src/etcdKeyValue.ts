/** Key-value client for etcd's v3 JSON gateway. */
import type {HttpClient} from '@marigoldfold/transport';
import {err, ok, type Result} from 'neverthrow';
import type {z} from 'zod';
import {connectionStoreError, type Effect, statusStoreError} from './etcdErrors.js';
import {
  encodeText,
  etcdPaths,
  leaseGrantResponseSchema,
  leaseKeepAliveResponseSchema,
  parseJson,
  rangeResponseSchema,
  rangeEnd,
  txnResponseSchema,
  toEntry,
} from './etcdMessages.js';
import type {
  KeyValue,
  Listing,
  ListOptions,
  StoreError,
  WriteOptions,
  WriteOutcome,
} from './keyValue.js';
import {watch} from './etcdWatch.js';

/** HTTP client, address and call timeout for the connection to etcd. */
export interface EtcdOptions {
  readonly client: HttpClient;
  /** `host:port` of the service. */
  readonly address: string;
  /** Timeout of calls other than watches, in milliseconds. */
  readonly timeoutMs: number;
}

const HTTP_OK = 200;

/** Creates a client for etcd's JSON gateway; it connects on the first operation. */
export function createEtcdKeyValue(options: EtcdOptions): KeyValue {
  const call = createCall(options);
  return {
    get: async (key) => {
      const response = await call(
        etcdPaths.range,
        {key: encodeText(key)},
        rangeResponseSchema,
        'read',
      );
      return response.map((range) => range.kvs.map(toEntry)[0]);
    },
    list: (prefix, listOptions) => list(call, prefix, listOptions),
    write: (key, value, writeOptions) => write(call, key, value, writeOptions),
    remove: (key, ifRevision) => remove(call, key, ifRevision),
    watch: (prefix, watchOptions) => watch(options, prefix, watchOptions),
    grantLease: async (ttlSeconds) => {
      const body = {TTL: String(ttlSeconds)};
      const response = await call(etcdPaths.leaseGrant, body, leaseGrantResponseSchema, 'write');
      return response.map((grant) => grant.ID);
    },
    renewLease: async (lease) => {
      const response = await call(
        etcdPaths.leaseKeepAlive,
        {ID: lease},
        leaseKeepAliveResponseSchema,
        'write',
      );
      return response.map((renewal) => renewal.result.TTL > 0);
    },
    revokeLease: async (lease) => {
      const response = await call(etcdPaths.leaseRevoke, {ID: lease}, undefined, 'write');
      return response.map(() => undefined);
    },
  };
}

type Call = <T>(
  path: string,
  body: unknown,
  schema: z.ZodType<T> | undefined,
  effect: Effect,
) => Promise<Result<T, StoreError>>;

function createCall({client, address, timeoutMs}: EtcdOptions): Call {
  return async (path, body, schema, effect) => {
    const bodyText = JSON.stringify(body);
    const headers = {'content-type': 'application/json'};
    const response = await client.fetch({
      address,
      method: 'POST',
      path,
      headers,
      body: bodyText,
      timeoutMs,
    });
    if (response.isErr()) return err(connectionStoreError(response.error, effect));
    const {status, body: responseBody} = response.value;
    if (status !== HTTP_OK) return err(statusStoreError(status, path));
    return parseResponse(responseBody.toString(), schema, effect);
  };
}

function parseResponse<T>(
  text: string,
  schema: z.ZodType<T> | undefined,
  effect: Effect,
): Result<T, StoreError> {
  if (schema === undefined) return ok(undefined as T);
  const parsed = schema.safeParse(parseJson(text));
  if (parsed.success) return ok(parsed.data);
  const message = 'key-value service: the response is invalid';
  return err({code: 'rejected', message, mayHaveTakenEffect: effect === 'write'});
}

async function list(
  call: Call,
  prefix: string,
  options: ListOptions = {},
): Promise<Result<Listing, StoreError>> {
  const body = {
    key: encodeText(options.from ?? prefix),
    range_end: rangeEnd(prefix),
    limit: String(options.limit ?? 0),
    sort_target: 'KEY',
    sort_order: 'ASCEND',
  };
  const response = await call(etcdPaths.range, body, rangeResponseSchema, 'read');
  return response.map((range) => ({
    entries: range.kvs.map(toEntry),
    revision: range.header.revision,
  }));
}

async function write(
  call: Call,
  key: string,
  value: string,
  options: WriteOptions,
): Promise<Result<WriteOutcome, StoreError>> {
  const put = {key: encodeText(key), value: encodeText(value), lease: options.lease};
  return compareAndSwap(call, key, options.ifRevision, {request_put: put});
}

async function remove(
  call: Call,
  key: string,
  ifRevision: number,
): Promise<Result<WriteOutcome, StoreError>> {
  const operation = {request_delete_range: {key: encodeText(key)}};
  return compareAndSwap(call, key, ifRevision, operation);
}

async function compareAndSwap(
  call: Call,
  key: string,
  ifRevision: number,
  operation: unknown,
): Promise<Result<WriteOutcome, StoreError>> {
  const encodedKey = encodeText(key);
  const body = {
    compare: [{key: encodedKey, target: 'MOD', result: 'EQUAL', mod_revision: String(ifRevision)}],
    success: [operation],
    failure: [{request_range: {key: encodedKey}}],
  };
  const response = await call(etcdPaths.txn, body, txnResponseSchema, 'write');
  return response.map((txn): WriteOutcome => {
    if (txn.succeeded) return {kind: 'written', revision: txn.header.revision};
    const current = txn.responses[0]?.response_range?.kvs[0];
    return {kind: 'conflict', current: current === undefined ? undefined : toEntry(current)};
  });
}
