/** Pools the control connections to other instances. */
import type {Instance} from '@marigoldfold/protocol';
import {type ClusterKey, createPeer, type Peer} from '@marigoldfold/transport';
import {createGossipPeer, type GossipPeer} from './peer.js';

interface Connection {
  readonly connection: Peer;
  readonly peer: GossipPeer;
}

/** Pool of one control connection per instance. */
export class PeerConnections implements Disposable {
  readonly #clusterKey: ClusterKey;
  readonly #connections = new Map<string, Connection>();

  constructor(clusterKey: ClusterKey) {
    this.#clusterKey = clusterKey;
  }

  /** Gossip client of an instance; the connection is opened on the first call. */
  get(instance: Instance): GossipPeer {
    return this.#connect(instance).peer;
  }

  /** Control connection to an instance; a new one replaces it if the instance's address has changed. */
  connection(instance: Instance): Peer {
    return this.#connect(instance).connection;
  }

  /** Closes connections to instances that are not in the list. */
  retain(instances: readonly Instance[]): void {
    const names = new Set(instances.map(({name}) => name));
    for (const [name, {connection}] of this.#connections) {
      if (names.has(name)) continue;
      connection[Symbol.dispose]();
      this.#connections.delete(name);
    }
  }

  [Symbol.dispose](): void {
    for (const {connection} of this.#connections.values()) connection[Symbol.dispose]();
    this.#connections.clear();
  }

  #connect({name, address}: Instance): Connection {
    const existing = this.#connections.get(name);
    if (existing?.connection.address === address) return existing;
    existing?.connection[Symbol.dispose]();
    const connection = createPeer(address, this.#clusterKey);
    const connected = {connection, peer: createGossipPeer(connection)};
    this.#connections.set(name, connected);
    return connected;
  }
}
