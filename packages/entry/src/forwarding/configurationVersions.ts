/** Tells whether the store's copy of the configuration can be the newest one. */
import type {Clock} from '@marigoldfold/runtime';

/** A version that is known from elsewhere, and the time since when, in milliseconds. */
interface KnownVersion {
  readonly version: number;
  readonly sinceMs: number;
}

/**
 * Versions of the configuration: that in the store and the highest that is known. A store that was restored from an older
 * copy has a lower one until the operator has written again what was lost; until then it confirms nothing.
 */
export class ConfigurationVersions {
  readonly #clock: Clock;
  #stored: number | undefined;
  #highest: KnownVersion | undefined;
  /** Time at which the store was last known to have the highest version, in milliseconds; undefined while it has it. */
  #lackingSinceMs: number | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** The highest known version and its age in milliseconds; undefined before the first one. */
  get highest(): {readonly version: number; readonly ageMs: number} | undefined {
    if (this.#highest === undefined) return undefined;
    const {version, sinceMs} = this.#highest;
    return {version, ageMs: Math.max(0, Math.round(this.#clock.now() - sinceMs))};
  }

  /** Records the version that the store has, whose previous one was confirmed `confirmedAgeMs` ago. */
  recordStored(version: number, confirmedAgeMs: number): void {
    this.#stored = version;
    if (this.#highest === undefined || version > this.#highest.version)
      this.#highest = {version, sinceMs: this.#clock.now()};
    if (version === this.#highest.version) {
      this.#lackingSinceMs = undefined;
    } else if (this.#lackingSinceMs === undefined) {
      const confirmedAtMs = this.#clock.now() - confirmedAgeMs;
      this.#lackingSinceMs = Math.max(confirmedAtMs, this.#highest.sinceMs);
    }
  }

  /** Records that another instance has known a version for a time, in milliseconds. */
  recordReported(version: number, ageMs: number): void {
    if (this.#highest !== undefined && version <= this.#highest.version) return;
    const sinceMs = this.#clock.now() - ageMs;
    this.#highest = {version, sinceMs};
    if (this.#stored === undefined || this.#stored >= version) return;
    this.#lackingSinceMs = Math.min(this.#lackingSinceMs ?? sinceMs, sinceMs);
  }

  /** Milliseconds for which the store has lacked the highest known version; 0 if it has it. */
  get lackingForMs(): number {
    return this.#lackingSinceMs === undefined ? 0 : this.#clock.now() - this.#lackingSinceMs;
  }
}
