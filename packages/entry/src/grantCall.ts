/** Asks other entries of the region for grants. */
import type {GrantCall, PeerConnections} from '@marigoldfold/coordination';
import {accountGrantMethod} from '@marigoldfold/protocol';

/** Milliseconds until an ask for grants is given up. */
const GRANT_TIMEOUT_MS = 500;

/** Asks homes for grants over their control connections. */
export function createGrantCall(
  peers: Pick<PeerConnections, 'connection'>,
  entry: string,
): GrantCall {
  return async (home, asks) => {
    const params = {entry, asks: [...asks]};
    const answer = await peers.connection(home).call(accountGrantMethod, params, GRANT_TIMEOUT_MS);
    return answer.isOk() ? answer.value.grants : undefined;
  };
}
