/** Holds the configuration in force, and what is known of newer ones. */
import type {PeerUpdate} from '@marigoldfold/coordination';
import type {Clock, Logger} from '@marigoldfold/runtime';
import {type KeyValueEntry, type RoutingConfiguration, RoutingTable} from '@marigoldfold/state';
import type {ConfigurationState} from './admission.js';
import {ConfigurationVersions} from './configurationVersions.js';
import type {ForwardSource} from './forwardSource.js';

/** Decoder of the configuration, age of the store's copy, and what follows a change. */
export interface ConfigurationHolderOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly source: Pick<ForwardSource, 'decodeConfiguration'>;
  /** Milliseconds since the copy of the store was last confirmed; infinite before the first read. */
  readonly copyAgeMs: () => number;
  /** Called with each configuration that comes in force. */
  readonly onInForce: (configuration: RoutingConfiguration) => void;
}

/** The configuration in force; it is never replaced by an older one. */
export class ConfigurationHolder {
  readonly #options: ConfigurationHolderOptions;
  readonly #versions: ConfigurationVersions;
  #table: RoutingTable | undefined;

  constructor(options: ConfigurationHolderOptions) {
    this.#options = options;
    this.#versions = new ConfigurationVersions(options.clock);
  }

  /** The configuration in force and its age, which rises while the store has an older one. */
  get state(): ConfigurationState {
    const ageMs = Math.max(this.#options.copyAgeMs(), this.#versions.lackingForMs);
    return {table: this.#table, ageMs};
  }

  /** The highest known version, for other instances; undefined before the first one. */
  get highestVersion(): PeerUpdate['configuration'] {
    return this.#versions.highest;
  }

  /** Applies the store's entry; the configuration comes in force if it is newer. */
  apply({value, revision: {number: revision}}: KeyValueEntry): void {
    const {clock, logger, source, copyAgeMs, onInForce} = this.#options;
    const startedAtMs = clock.now();
    const decoded = source.decodeConfiguration(value);
    if (decoded.isErr()) {
      logger.error('configuration cannot be read', {revision, reason: decoded.error});
      return;
    }
    const {version, routes} = decoded.value;
    this.#versions.recordStored(version, copyAgeMs());
    const isNewer = this.#table === undefined || version > this.#table.version;
    if (isNewer) {
      this.#table = new RoutingTable(decoded.value);
      onInForce(decoded.value);
    }
    logger.info('configuration', {
      belief: 'configuration',
      version,
      revision,
      routes: routes.length,
      inForce: isNewer,
      length: value.length,
      appliedInMs: Math.round(clock.now() - startedAtMs),
    });
  }

  /** Records the highest version that another instance knows; returns whether this one knows a higher one. */
  recordReported(
    from: string,
    {version, ageMs}: NonNullable<PeerUpdate['configuration']>,
  ): boolean {
    const known = this.#versions.highest?.version ?? 0;
    if (version > known) {
      const {logger} = this.#options;
      logger.info('newer configuration reported', {belief: 'configuration', version, from, ageMs});
    }
    this.#versions.recordReported(version, ageMs);
    return known > version;
  }
}
