/** Counts calls to the key-value service by operation and outcome, and turns exceptions into errors. */
import type {DefectReporter} from '@marigoldfold/runtime';
import type {KeyValue, StoreError} from '@marigoldfold/state';
import {err, type Result} from 'neverthrow';
import type {Counter} from 'prom-client';

/**
 * Wraps a key-value service; the outcome of a call is `answered` or its error code. A call that throws is reported, and may
 * have taken effect: what reads and writes the service goes on with another call.
 */
export function instrumentKeyValue(
  store: KeyValue,
  calls: Counter<'call' | 'outcome'>,
  reportDefect: DefectReporter,
): KeyValue {
  const count = async <T>(call: string, respond: () => Promise<Result<T, StoreError>>) => {
    const result = await settle(respond, (error) => {
      reportDefect('store_call', error, {call});
    });
    calls.inc({call, outcome: result.isOk() ? 'answered' : result.error.code});
    return result;
  };
  return {
    get: (key) => count('get', () => store.get(key)),
    list: (prefix, options) => count('list', () => store.list(prefix, options)),
    write: (key, value, options) => count('write', () => store.write(key, value, options)),
    remove: (key, ifRevision) => count('remove', () => store.remove(key, ifRevision)),
    watch: (prefix, options) => count('watch', () => store.watch(prefix, options)),
    grantLease: (ttlSeconds) => count('grantLease', () => store.grantLease(ttlSeconds)),
    renewLease: (lease) => count('renewLease', () => store.renewLease(lease)),
    revokeLease: (lease) => count('revokeLease', () => store.revokeLease(lease)),
  };
}

async function settle<T>(
  respond: () => Promise<Result<T, StoreError>>,
  onError: (error: unknown) => void,
): Promise<Result<T, StoreError>> {
  try {
    return await respond();
  } catch (error) {
    onError(error);
    const message = 'key-value service: the call failed unexpectedly';
    return err({code: 'rejected', message, mayHaveTakenEffect: true});
  }
}
