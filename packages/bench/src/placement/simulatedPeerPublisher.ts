/** Exchanges batched updates between simulated forwarding instances, as the product does. */
import {
  emptyUpdate,
  type PeerUpdate,
  type PeerPublisher,
  type Placement,
} from '@marigoldfold/coordination';
import type {Clock} from '@marigoldfold/runtime';

/** Sender, recipients and delays of the updates. */
export interface SimulatedPeerPublisherOptions {
  readonly clock: Clock;
  readonly self: string;
  readonly batchMs: number;
  readonly networkMs: number;
  readonly peers: () => readonly Placement[];
}

interface UpdateBatch {
  readonly sent: PeerUpdate['sent'][number][];
  readonly begun: string[];
  readonly ended: string[];
  readonly slowness: [string, number][];
  readonly unreachable: string[];
}

/** Batches the updates of one instance and applies them to its peers after the network delay. */
export class SimulatedPeerPublisher implements PeerPublisher {
  readonly #options: SimulatedPeerPublisherOptions;
  #batch: UpdateBatch | undefined;
  /** Speeds that the next batch takes along. */
  #speeds: PeerUpdate['speeds'][number][] = [];

  constructor(options: SimulatedPeerPublisherOptions) {
    this.#options = options;
  }

  publishSent(sent: PeerUpdate['sent'][number]): void {
    this.#openBatch().sent.push(sent);
  }

  publishFirstEvent(requestId: string): void {
    this.#openBatch().begun.push(requestId);
  }

  publishEnded(requestId: string): void {
    this.#openBatch().ended.push(requestId);
  }

  publishSlowness(endpointId: string, slowness: number): void {
    this.#openBatch().slowness.push([endpointId, slowness]);
  }

  publishSpeed(speed: PeerUpdate['speeds'][number]): void {
    this.#speeds.push(speed);
  }

  publishUnreachable(endpointId: string): void {
    this.#openBatch().unreachable.push(endpointId);
  }

  /** Simulated endpoints state no limits. */
  publishLimit(): void {
    return;
  }

  #openBatch(): UpdateBatch {
    const {clock, batchMs, networkMs, peers, self} = this.#options;
    if (this.#batch !== undefined) return this.#batch;
    const batch: UpdateBatch = {
      sent: [],
      begun: [],
      ended: [],
      slowness: [],
      unreachable: [],
    };
    this.#batch = batch;
    clock.schedule(batchMs, () => {
      this.#batch = undefined;
      const speeds = this.#speeds;
      this.#speeds = [];
      clock.schedule(networkMs, () => {
        for (const peer of peers()) peer.applyPeerUpdate({...emptyUpdate(self), ...batch, speeds});
      });
    });
    return batch;
  }
}
