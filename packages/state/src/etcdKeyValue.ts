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
import {EtcdEra} from './etcdEra.js';
import {watch} from './etcdWatch.js';
import {eraOfCondition, numberOfCondition, type RevisionCondition} from './revision.js';
import {decodeLease, encodeLease} from './storeEra.js';

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
  const era = new EtcdEra();
  return {
    get: async (key) => {
      const body = {key: encodeText(key)};
      const newest = era.newestRevision;
      const response = await call(etcdPaths.range, body, rangeResponseSchema, 'read');
      return response.map(({header, kvs}) => {
        const responseEra = era.observe(header, newest);
        return kvs.map((pair) => toEntry(pair, responseEra))[0];
      });
    },
    list: (prefix, listOptions) => list(call, era, prefix, listOptions),
    write: (key, value, writeOptions) => write(call, era, key, value, writeOptions),
    remove: (key, ifRevision) => {
      const operation = {request_delete_range: {key: encodeText(key)}};
      return compareAndSwap(call, era, {key, ifRevision, operation});
    },
    watch: (prefix, watchOptions) => watch(options, era, prefix, watchOptions),
    grantLease: async (ttlSeconds) => {
      const body = {TTL: String(ttlSeconds)};
      const newest = era.newestRevision;
      const response = await call(etcdPaths.leaseGrant, body, leaseGrantResponseSchema, 'write');
      return response.map(({header, ID}) =>
        encodeLease(header === undefined ? era.current : era.observe(header, newest), ID),
      );
    },
    renewLease: async (id) => {
      const {era: leaseEra, lease} = decodeLease(id);
      if (era.findError(leaseEra, false) !== undefined) return ok(false);
      const response = await call(
        etcdPaths.leaseKeepAlive,
        {ID: lease},
        leaseKeepAliveResponseSchema,
        'write',
      );
      return response.map((renewal) => renewal.result.TTL > 0);
    },
    revokeLease: async (id) => {
      const {era: leaseEra, lease} = decodeLease(id);
      if (era.findError(leaseEra, false) !== undefined) return ok(undefined);
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
  era: EtcdEra,
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
  const newest = era.newestRevision;
  const response = await call(etcdPaths.range, body, rangeResponseSchema, 'read');
  return response.map(({header, kvs}) => {
    const responseEra = era.observe(header, newest);
    return {
      entries: kvs.map((pair) => toEntry(pair, responseEra)),
      revision: {era: responseEra, number: header.revision},
    };
  });
}

async function write(
  call: Call,
  era: EtcdEra,
  key: string,
  value: string,
  {ifRevision, lease}: WriteOptions,
): Promise<Result<WriteOutcome, StoreError>> {
  const granted = lease === undefined ? undefined : decodeLease(lease);
  const put = {key: encodeText(key), value: encodeText(value), lease: granted?.lease};
  const operation = {request_put: put};
  return compareAndSwap(call, era, {key, ifRevision, operation, leaseEra: granted?.era});
}

interface Swap {
  readonly key: string;
  readonly ifRevision: RevisionCondition;
  readonly operation: unknown;
  readonly leaseEra?: number | undefined;
}

async function compareAndSwap(
  call: Call,
  era: EtcdEra,
  {key, ifRevision, operation, leaseEra}: Swap,
): Promise<Result<WriteOutcome, StoreError>> {
  const requiredEra = eraOfCondition(ifRevision) ?? leaseEra;
  const outdated = era.findError(requiredEra, false);
  if (outdated !== undefined) return err(outdated);
  const encodedKey = encodeText(key);
  const revision = String(numberOfCondition(ifRevision));
  const body = {
    compare: [{key: encodedKey, target: 'MOD', result: 'EQUAL', mod_revision: revision}],
    success: [operation],
    failure: [{request_range: {key: encodedKey}}],
  };
  const newest = era.newestRevision;
  const response = await call(etcdPaths.txn, body, txnResponseSchema, 'write');
  return response.andThen(({header, succeeded, responses}): Result<WriteOutcome, StoreError> => {
    const responseEra = era.observe(header, newest);
    const restored = era.findError(requiredEra, succeeded);
    if (restored !== undefined) return err(restored);
    if (succeeded)
      return ok({kind: 'written', revision: {era: responseEra, number: header.revision}});
    const current = responses[0]?.response_range?.kvs[0];
    return ok({
      kind: 'conflict',
      current: current === undefined ? undefined : toEntry(current, responseEra),
    });
  });
}
