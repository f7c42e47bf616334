/** Errors of calls to etcd. */
import type {ConnectionError} from '@marigoldfold/transport';
import type {StoreError} from './keyValue.js';

/** Whether a call could have changed the store. */
export type Effect = 'read' | 'write';

/** Describes a call without a response. */
export function connectionStoreError(error: ConnectionError, effect: Effect): StoreError {
  const isTimeout = error.code === 'timed_out' || error.code === 'aborted';
  return {
    code: isTimeout ? 'timed_out' : 'unavailable',
    message: `key-value service: ${error.message}`,
    mayHaveTakenEffect: effect === 'write' && error.mayHaveBeenSent,
  };
}

const HTTP_SERVER_ERROR = 500;

/** Describes a response with an error status. */
export function statusStoreError(status: number, path: string): StoreError {
  const message = `key-value service: ${path} returned status ${status}`;
  const isServerSide = status >= HTTP_SERVER_ERROR;
  // A gateway may respond with 5xx after etcd has committed, so the write may have taken effect.
  return {
    code: isServerSide ? 'unavailable' : 'rejected',
    message,
    mayHaveTakenEffect: isServerSide,
  };
}
