/** One control connection for each instance that a process exchanges with. */
import type {Instance} from '@marigoldfold/protocol';
import {type ClusterKey, createPeer, type Peer} from '@marigoldfold/transport';
import {createGossipPeer, type GossipPeer} from './peer.js';

interface Connection {
  readonly connection: Peer;
  readonly peer: GossipPeer;
}

/** Keeps the connections of the instances that are listed. */
export class PeerConnections implements Disposable {
  readonly #clusterKey: ClusterKey;
  readonly #connections = new Map<string, Connection>();

  constructor(clusterKey: ClusterKey) {
    this.#clusterKey = clusterKey;
  }

  /** The peer behind an instance; it is connected on its first call. */
  get(instance: Instance): GossipPeer {
    return this.#connect(instance).peer;
  }

  /** The control connection to an instance. */
  connection(instance: Instance): Peer {
    return this.#connect(instance).connection;
  }

  /** Closes connections to instances that are no longer listed. */
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
    const known = this.#connections.get(name);
    if (known?.connection.address === address) return known;
    known?.connection[Symbol.dispose]();
    const connection = createPeer(address, this.#clusterKey);
    const connected = {connection, peer: createGossipPeer(connection)};
    this.#connections.set(name, connected);
    return connected;
  }
}
