/** Applies the records of endpoints, instances and quarantined prompt parts in the store. */
import type {
  ChangeOrigin,
  EndpointRegistry,
  PeerChannel,
  PromptQuarantine,
} from '@marigoldfold/coordination';
import type {Logger} from '@marigoldfold/runtime';
import {endpointAddressSchema, type KeyValueEntry} from '@marigoldfold/state';
import type {ForwardSource} from './forwardSource.js';

/** What the records describe, and how they are decoded. */
export interface FleetRecordsOptions {
  readonly logger: Logger;
  readonly source: ForwardSource;
  /** Name of this instance. */
  readonly self: string;
  readonly registry: EndpointRegistry;
  readonly peers: PeerChannel;
  readonly quarantine: PromptQuarantine;
  /** Called with the name of another instance that has registered. */
  readonly onPeer: (peer: string) => void;
  /** Called with the digest of a quarantined prompt part whose record a restore of the store has lost. */
  readonly onRecordLost: (digest: string) => void;
}

/** Endpoints, instances and quarantined prompt parts as the store has them. */
export class FleetRecords {
  readonly #options: FleetRecordsOptions;
  /** Digests of quarantined prompt parts that are in the store. */
  readonly #recordedDigests = new Set<string>();

  #isSelfRecorded = false;

  constructor(options: FleetRecordsOptions) {
    this.#options = options;
  }

  /** Whether the store has the record of a quarantined prompt part. */
  isRecorded(digest: string): boolean {
    return this.#recordedDigests.has(digest);
  }

  /** Whether the store has the record of this instance. */
  get isSelfRecorded(): boolean {
    return this.#isSelfRecorded;
  }

  /** Applies a changed record; one that was removed has an empty value. */
  apply(change: KeyValueEntry, origin: ChangeOrigin): void {
    const {endpointsPrefix, peersPrefix, quarantinePrefix} = this.#options.source;
    if (change.key.startsWith(endpointsPrefix)) this.#applyEndpoint(change, origin);
    else if (change.key.startsWith(peersPrefix)) this.#applyPeer(change);
    else if (change.key.startsWith(quarantinePrefix)) this.#applyQuarantine(change, origin);
  }

  #applyEndpoint({key, value, revision}: KeyValueEntry, origin: ChangeOrigin): void {
    const {logger, source, registry} = this.#options;
    const id = source.endpointIdOf(key);
    if (value === '') {
      registry.remove(id);
      return;
    }
    const decoded = source.decodeEndpoint(key, value);
    if (decoded.isOk()) {
      if (origin === 'restore') registry.putCopy(decoded.value);
      else registry.put(decoded.value);
      return;
    }
    logger.warn('endpoint record cannot be read', {
      key,
      revision: revision.number,
      reason: decoded.error,
    });
    registry.remove(id);
  }

  #applyPeer({key, value}: KeyValueEntry): void {
    const {logger, source, self, peers, onPeer} = this.#options;
    const peer = key.slice(source.peersPrefix.length);
    if (peer === self) this.#isSelfRecorded = value !== '';
    if (endpointAddressSchema.safeParse(value).success) {
      peers.add(peer, value);
      if (peer !== self) onPeer(peer);
      return;
    }
    if (value !== '') logger.warn('peer record cannot be read', {key});
    peers.remove(peer);
  }

  #applyQuarantine({key, value}: KeyValueEntry, origin: ChangeOrigin): void {
    const {source, quarantine, onRecordLost} = this.#options;
    const digest = key.slice(source.quarantinePrefix.length);
    if (value === '') {
      this.#recordedDigests.delete(digest);
      if (origin === 'restore') onRecordLost(digest);
      else quarantine.remove(digest);
    } else {
      this.#recordedDigests.add(digest);
      quarantine.add(digest);
    }
  }
}
