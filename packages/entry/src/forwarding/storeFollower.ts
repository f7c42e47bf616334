/** Follows the records in the store, and writes those of this instance. */
import {
  type ChangeOrigin,
  type EndpointRegistry,
  PEER_LEASE_MS,
  type PeerChannel,
  PeerRegistration,
  QuarantineRecords,
  RangeMirror,
} from '@marigoldfold/coordination';
import {contain, type DefectReporter, DisposableStore} from '@marigoldfold/runtime';
import type {KeyValueEntry} from '@marigoldfold/state';
import type {Registry} from 'prom-client';
import type {ConfigurationHolder} from './configurationHolder.js';
import type {FleetRecords} from './fleetRecords.js';
import {ForwardDuties} from './forwardDuties.js';
import type {ForwardMetrics} from './forwardMetrics.js';
import type {ForwardProcessOptions} from './forwardProcessOptions.js';
import type {ForwardBounds} from './forwardSource.js';
import {instrumentKeyValue} from './instrumentedKeyValue.js';
import {watchTimings} from './storeTimings.js';

/** Dependencies of a follower, and what the records are applied to. */
export interface StoreFollowerOptions extends Pick<
  ForwardProcessOptions,
  'clock' | 'wallTimeMs' | 'random' | 'logger' | 'source' | 'name' | 'peerAddress' | 'duties'
> {
  readonly reportDefect: DefectReporter;
  readonly metrics: ForwardMetrics;
  readonly metricsRegistry: Registry;
  /** Bounds at the start, which determine the timings of the watch. */
  readonly bounds: ForwardBounds;
  readonly registry: EndpointRegistry;
  readonly peers: PeerChannel;
  readonly configuration: ConfigurationHolder;
  readonly records: FleetRecords;
  /** Called after changes have been applied. */
  readonly onApplied: () => void;
}

/** The copy of the store and the records of this instance, from their creation on. */
export class StoreFollower implements Disposable {
  readonly #options: StoreFollowerOptions;
  readonly #disposables = new DisposableStore();
  readonly #mirror: RangeMirror;
  readonly #registration: PeerRegistration;
  readonly quarantineRecords: QuarantineRecords;
  /** Undefined where there are no duties. */
  readonly duties: ForwardDuties | undefined;

  constructor(options: StoreFollowerOptions) {
    this.#options = options;
    const {clock, random, logger, source, reportDefect, registry, duties} = options;
    const store = instrumentKeyValue(source.store, options.metrics.storeCalls, reportDefect);
    const context = {...options, store, self: options.name};
    if (duties !== undefined) {
      this.duties = this.#disposables.add(
        new ForwardDuties(duties, context, options.metricsRegistry),
      );
    }
    this.#mirror = this.#disposables.add(
      new RangeMirror({
        clock,
        wallTimeMs: options.wallTimeMs,
        random,
        logger,
        store,
        prefix: source.prefix,
        ...watchTimings(options.bounds),
        onChange: (changes, origin) => {
          this.#applyChanges(changes, origin);
        },
        onConfirmed: () => {
          registry.completeListing();
          this.duties?.confirmCopy();
        },
        onReconnected: () => {
          registry.startGracePeriod();
        },
      }),
    );
    const key = source.peersPrefix + options.name;
    this.#registration = this.#disposables.add(
      new PeerRegistration({clock, random, logger, store, key, value: options.peerAddress}),
    );
    this.quarantineRecords = this.#disposables.add(
      new QuarantineRecords({
        clock,
        random,
        logger,
        store,
        prefix: source.quarantinePrefix,
        isRecorded: (digest) => options.records.isRecorded(digest),
      }),
    );
  }

  /** Milliseconds since the copy was last confirmed as current; infinite before the first read. */
  get ageMs(): number {
    return this.#mirror.ageMs;
  }

  /** Whether the other instances certainly know this one, also after a suspension of the machine. */
  get isRegistered(): boolean {
    return (
      this.#registration.isHeld &&
      this.#options.records.isSelfRecorded &&
      this.ageMs < PEER_LEASE_MS
    );
  }

  [Symbol.dispose](): void {
    this.#disposables[Symbol.dispose]();
  }

  /** Applies changes; an exception in one of them leaves the others in force. */
  #applyChanges(changes: readonly KeyValueEntry[], origin: ChangeOrigin): void {
    if (origin === 'restore') this.#prepareForCopy();
    for (const change of changes) {
      contain(
        () => {
          this.#applyChange(change, origin);
        },
        (error) => {
          this.#options.reportDefect('record', error, {key: change.key});
        },
      );
    }
    this.#options.onApplied();
  }

  #applyChange(change: KeyValueEntry, origin: ChangeOrigin): void {
    const {source, configuration, records} = this.#options;
    if (change.key === source.configurationKey) configuration.apply(change);
    else records.apply(change, origin);
    this.duties?.observe(change);
  }

  /** What was written since a copy that the store was restored from is lost, and its writers write it again. */
  #prepareForCopy(): void {
    const {logger, registry} = this.#options;
    logger.warn('key-value service restored from a copy', {ageMs: Math.round(this.ageMs)});
    registry.startGracePeriod();
    this.#registration.renew();
  }
}
