/** Injects faults into calls to the key-value service. */
import {type Clock, sleep} from '@marigoldfold/runtime';
import type {KeyValue, StoreError} from '@marigoldfold/state';
import {err, type Result} from 'neverthrow';

/** A call to the key-value service, as passed to `chooseFault`. */
export interface StoreCall {
  readonly method: keyof KeyValue;
  /** Key or prefix; empty for lease calls. */
  readonly key: string;
  /** Number of the call, from 1. */
  readonly number: number;
  /** The value of a write. */
  readonly value?: string;
}

/** How a call to the key-value service fails or is delayed. */
export type StoreFault =
  | 'none'
  /** The call fails as unavailable and does not take effect. */
  | 'refused'
  /** The call is lost; it times out and does not take effect. */
  | 'request-lost'
  /** The call takes effect, but its response is lost and it times out. */
  | 'answer-lost'
  /** The call is executed twice; the second response is returned. */
  | 'duplicate'
  /** The call times out and takes effect later. */
  | {readonly lateByMs: number}
  /** The call is delayed by this time and then succeeds. */
  | {readonly slowByMs: number};

/** Key-value service to wrap, and the function that chooses the fault of each call. */
export interface FaultyKeyValueOptions {
  readonly clock: Clock;
  readonly store: KeyValue;
  readonly chooseFault: (call: StoreCall) => StoreFault;
  /** Wraps each call, for example to delay it while its process is paused. */
  readonly wrapCall?: <T>(run: () => Promise<T>) => Promise<T>;
}

const writes: ReadonlySet<keyof KeyValue> = new Set([
  'write',
  'remove',
  'grantLease',
  'renewLease',
  'revokeLease',
]);

/** Wraps a key-value service; each call passes through `chooseFault`. */
export function createFaultyKeyValue(options: FaultyKeyValueOptions): KeyValue {
  const {clock, store, chooseFault} = options;
  const wrapCall = options.wrapCall ?? runUnwrapped;
  let number = 0;
  const call = <T>(
    method: keyof KeyValue,
    key: string,
    run: () => Promise<Result<T, StoreError>>,
    value?: string,
  ) => wrapCall(() => callOnce(method, key, run, value));
  const callOnce = async <T>(
    method: keyof KeyValue,
    key: string,
    run: () => Promise<Result<T, StoreError>>,
    value?: string,
  ): Promise<Result<T, StoreError>> => {
    number += 1;
    const fault = chooseFault({method, key, number, ...(value === undefined ? {} : {value})});
    if (fault === 'none') return run();
    if (fault === 'refused') return err(unavailable(false));
    if (fault === 'request-lost') return err(timedOut(method));
    if (fault === 'duplicate') {
      await run();
      return run();
    }
    if (fault === 'answer-lost') {
      await run();
      return err(timedOut(method));
    }
    if ('slowByMs' in fault) {
      await sleep(clock, fault.slowByMs);
      return run();
    }
    clock.schedule(fault.lateByMs, () => void run());
    return err(timedOut(method));
  };
  return {
    get: (key) => call('get', key, () => store.get(key)),
    list: (prefix, listing) => call('list', prefix, () => store.list(prefix, listing)),
    write: (key, value, write) => call('write', key, () => store.write(key, value, write), value),
    remove: (key, ifRevision) => call('remove', key, () => store.remove(key, ifRevision)),
    watch: (prefix, watch) => call('watch', prefix, () => store.watch(prefix, watch)),
    grantLease: (ttlSeconds) => call('grantLease', '', () => store.grantLease(ttlSeconds)),
    renewLease: (lease) => call('renewLease', '', () => store.renewLease(lease)),
    revokeLease: (lease) => call('revokeLease', '', () => store.revokeLease(lease)),
  };
}

function runUnwrapped<T>(run: () => Promise<T>): Promise<T> {
  return run();
}

function timedOut(method: keyof KeyValue): StoreError {
  const message = 'key-value service: timed out';
  return {code: 'timed_out', message, mayHaveTakenEffect: writes.has(method)};
}

function unavailable(mayHaveTakenEffect: boolean): StoreError {
  return {code: 'unavailable', message: 'key-value service: unavailable', mayHaveTakenEffect};
}
