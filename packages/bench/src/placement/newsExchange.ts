/** Carries news between simulated forwarding instances, gathered as the product does it. */
import type {PeerUpdate, PeerPublisher, Placement} from '@marigoldfold/coordination';
import type {Clock} from '@marigoldfold/runtime';

/** What an exchange needs. */
export interface NewsExchangeOptions {
  readonly clock: Clock;
  readonly self: string;
  readonly gatherMs: number;
  readonly networkMs: number;
  readonly peers: () => readonly Placement[];
}

interface Gathering {
  readonly sent: PeerUpdate['sent'][number][];
  readonly begun: string[];
  readonly ended: string[];
  readonly slowness: [string, number][];
}

/** Gathers the news of one instance. */
export class NewsExchange implements PeerPublisher {
  readonly #options: NewsExchangeOptions;
  #gathering: Gathering | undefined;

  constructor(options: NewsExchangeOptions) {
    this.#options = options;
  }

  publishSent(sent: PeerUpdate['sent'][number]): void {
    this.#gather().sent.push(sent);
  }

  publishFirstEvent(requestId: string): void {
    this.#gather().begun.push(requestId);
  }

  publishEnded(requestId: string): void {
    this.#gather().ended.push(requestId);
  }

  publishSlowness(endpointId: string, slowness: number): void {
    this.#gather().slowness.push([endpointId, slowness]);
  }

  #gather(): Gathering {
    const {clock, gatherMs, networkMs, peers, self} = this.#options;
    if (this.#gathering !== undefined) return this.#gathering;
    const gathering: Gathering = {sent: [], begun: [], ended: [], slowness: []};
    this.#gathering = gathering;
    clock.schedule(gatherMs, () => {
      this.#gathering = undefined;
      clock.schedule(networkMs, () => {
        for (const peer of peers()) peer.applyPeerUpdate({from: self, ...gathering});
      });
    });
    return gathering;
  }
}
