/** Counts calls to the key-value service by operation and outcome. */
import type {KeyValue, StoreError} from '@marigoldfold/state';
import type {Result} from 'neverthrow';
import type {Counter} from 'prom-client';

/** Wraps a key-value service; the outcome of a call is `answered` or its error code. */
export function instrumentKeyValue(store: KeyValue, calls: Counter<'call' | 'outcome'>): KeyValue {
  const count = async <T>(call: string, response: Promise<Result<T, StoreError>>) => {
    const result = await response;
    calls.inc({call, outcome: result.isOk() ? 'answered' : result.error.code});
    return result;
  };
  return {
    get: (key) => count('get', store.get(key)),
    list: (prefix, options) => count('list', store.list(prefix, options)),
    write: (key, value, options) => count('write', store.write(key, value, options)),
    remove: (key, ifRevision) => count('remove', store.remove(key, ifRevision)),
    watch: (prefix, options) => count('watch', store.watch(prefix, options)),
    grantLease: (ttlSeconds) => count('grantLease', store.grantLease(ttlSeconds)),
    renewLease: (lease) => count('renewLease', store.renewLease(lease)),
    revokeLease: (lease) => count('revokeLease', store.revokeLease(lease)),
  };
}
