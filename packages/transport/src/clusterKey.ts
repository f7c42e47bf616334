/** Shared key that authenticates the processes of a cluster to each other. */
import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingHttpHeaders} from 'node:http';

const HEADER = 'x-cluster-key';

/** Sends and verifies the cluster key; the key itself is never logged. */
export interface ClusterKey {
  /** Headers that authenticate a request to another process. */
  readonly headers: Readonly<Record<string, string>>;
  /** Whether the request headers contain the key; compares in constant time. */
  authenticates(headers: IncomingHttpHeaders): boolean;
}

/** Creates the headers for a key and stores its digest to verify requests. */
export function createClusterKey(key: string): ClusterKey {
  const expected = digest(key);
  return {
    headers: {[HEADER]: key},
    authenticates(headers) {
      const presented = headers[HEADER];
      // Digests have a fixed length, so the timing does not reveal the length of the key.
      return timingSafeEqual(digest(typeof presented === 'string' ? presented : ''), expected);
    },
  };
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
