/** Limits the interim (1xx) responses that a server may send before the final response. */
import type {ClientRequest} from 'node:http';

/** Maximum number of interim responses per request; servers usually send one or two. */
const MAX_INTERIM_RESPONSES = 16;

/** Destroys a request that receives more than 16 interim responses. */
export function limitInterimResponses(outgoing: ClientRequest): void {
  let count = 0;
  outgoing.on('information', () => {
    count += 1;
    if (count > MAX_INTERIM_RESPONSES) outgoing.destroy(new Error('too many interim responses'));
  });
}
