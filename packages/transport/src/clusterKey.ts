/** The shared key that our own processes show to each other. */
import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingHttpHeaders} from 'node:http';

const HEADER = 'x-cluster-key';

/** Checks and sends the cluster key; the key itself is never logged. */
export interface ClusterKey {
  /** Headers to add to a request to another process. */
  readonly headers: Readonly<Record<string, string>>;
  /** Whether the headers of a request carry the key; takes the same time whatever they carry. */
  authenticates(headers: IncomingHttpHeaders): boolean;
}

/** Creates the check for a key. */
export function createClusterKey(key: string): ClusterKey {
  const expected = digest(key);
  return {
    headers: {[HEADER]: key},
    authenticates(headers) {
      const presented = headers[HEADER];
      // Digests have one length, so the comparison does not reveal the length of the key.
      return timingSafeEqual(digest(typeof presented === 'string' ? presented : ''), expected);
    },
  };
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
