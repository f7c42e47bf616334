/** Bounds the interim answers (1xx) that a server may send before the answer itself. */
import type {ClientRequest} from 'node:http';

/** Interim answers to one request; usual servers send one or two. */
const MAX_INTERIM_RESPONSES = 16;

/** Breaks a request off whose interim answers have no end. */
export function limitInterimResponses(outgoing: ClientRequest): void {
  let count = 0;
  outgoing.on('information', () => {
    count += 1;
    if (count > MAX_INTERIM_RESPONSES) outgoing.destroy(new Error('interim answers without end'));
  });
}
