/** Control connections to the other entries of the region. */
import {accountGrantMethod, type Instance} from '@marigoldfold/protocol';
import type {GrantCall} from '@marigoldfold/coordination';
import {type ClusterKey, createPeer, type Peer} from '@marigoldfold/transport';

/** Milliseconds until an ask for grants is given up. */
const GRANT_TIMEOUT_MS = 500;

/** Keeps one connection to each entry that was asked. */
export class EntryPeers implements Disposable {
  readonly #clusterKey: ClusterKey;
  readonly #peers = new Map<string, Peer>();

  constructor(clusterKey: ClusterKey) {
    this.#clusterKey = clusterKey;
  }

  /** The connection to an entry. */
  get({name, address}: Instance): Peer {
    const known = this.#peers.get(name);
    if (known?.address === address) return known;
    known?.[Symbol.dispose]();
    const peer = createPeer(address, this.#clusterKey);
    this.#peers.set(name, peer);
    return peer;
  }

  /** Closes connections to entries that are no longer listed. */
  retain(instances: readonly Instance[]): void {
    const names = new Set(instances.map(({name}) => name));
    for (const [name, peer] of this.#peers) {
      if (names.has(name)) continue;
      peer[Symbol.dispose]();
      this.#peers.delete(name);
    }
  }

  [Symbol.dispose](): void {
    for (const peer of this.#peers.values()) peer[Symbol.dispose]();
    this.#peers.clear();
  }
}

/** Asks homes for grants over their control connections. */
export function createGrantCall(peers: EntryPeers, entry: string): GrantCall {
  return async (home, asks) => {
    const params = {entry, asks: [...asks]};
    const answer = await peers.get(home).call(accountGrantMethod, params, GRANT_TIMEOUT_MS);
    return answer.isOk() ? answer.value.grants : undefined;
  };
}
