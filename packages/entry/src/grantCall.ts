/** Requests grants of account permits from other entries of the region. */
import type {GrantCall, PeerConnections} from '@marigoldfold/coordination';
import {accountGrantMethod} from '@marigoldfold/protocol';

const GRANT_TIMEOUT_MS = 500;

/** Creates the call that requests a grant from an account's home; it returns undefined on an error or a timeout. */
export function createGrantCall(
  peers: Pick<PeerConnections, 'connection'>,
  entry: string,
): GrantCall {
  return async (home, requests) => {
    const params = {entry, asks: [...requests]};
    const answer = await peers.connection(home).call(accountGrantMethod, params, GRANT_TIMEOUT_MS);
    return answer.isOk() ? answer.value.grants : undefined;
  };
}
