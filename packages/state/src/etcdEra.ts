/** Derives the era of an etcd cluster from the headers of its responses. */
import type {EtcdHeader} from './etcdMessages.js';
import type {StoreError} from './keyValue.js';
import {StoreEra} from './storeEra.js';

/**
 * Era of an etcd cluster, counted from 0 at the first response. It rises when the cluster id changes, or when a response
 * has a lower revision than one that had arrived before its call began, which linearizable responses cannot have.
 */
export class EtcdEra {
  readonly #era = new StoreEra();
  #clusterId: string | undefined;
  #newestRevision = 0;

  /** Revision of the newest response, to be passed to `observe` with the response of a call that begins now. */
  get newestRevision(): number {
    return this.#newestRevision;
  }

  /** Records the header of a response and returns its era. */
  observe({cluster_id: clusterId, revision}: EtcdHeader, newestAtStart: number): number {
    const isOtherCluster = this.#clusterId !== undefined && clusterId !== this.#clusterId;
    // Some responses state no revision.
    const isLower = revision > 0 && revision < newestAtStart;
    const current = this.#era.current ?? 0;
    const isRestored = isOtherCluster || isLower;
    this.#era.observe(isRestored ? current + 1 : current);
    this.#clusterId = clusterId;
    this.#newestRevision = isRestored ? revision : Math.max(this.#newestRevision, revision);
    return this.current;
  }

  /** Era of the newest response. */
  get current(): number {
    return this.#era.current ?? 0;
  }

  /** Error of a call that relies on another era than the current one; undefined if there is no such difference. */
  findError(era: number | undefined, mayHaveTakenEffect: boolean): StoreError | undefined {
    return this.#era.findError(era, mayHaveTakenEffect);
  }
}
