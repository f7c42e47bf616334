/** Tracks the era of a key-value service, which rises when the service is restored from an older copy. */
import {err, ok, type Result} from 'neverthrow';
import type {StoreError} from './keyValue.js';

const LEASE_SEPARATOR = '/';

/** Era of a service by its newest response; guards calls whose revisions or leases belong to another one. */
export class StoreEra {
  #current: number | undefined;

  /** Era of the newest response; undefined before the first one. */
  get current(): number | undefined {
    return this.#current;
  }

  /** Records the era of a response; fails if the response is older than another one that has arrived before. */
  observe(era: number): Result<number, StoreError> {
    if (this.#current !== undefined && era < this.#current)
      return err(createRestoredError(this.#current, era, false));
    this.#current = era;
    return ok(era);
  }

  /** Error of a call that relies on another era than the current one; undefined if there is no such difference. */
  findError(era: number | undefined, mayHaveTakenEffect: boolean): StoreError | undefined {
    if (era === undefined || this.#current === undefined || era === this.#current) return undefined;
    return createRestoredError(this.#current, era, mayHaveTakenEffect);
  }
}

function createRestoredError(
  current: number,
  era: number,
  mayHaveTakenEffect: boolean,
): StoreError {
  const message = `key-value service: restored, era ${current} instead of ${era}`;
  return {code: 'restored', message, mayHaveTakenEffect};
}

/** Identifies a lease together with the era in which it was granted. */
export function encodeLease(era: number, lease: string): string {
  return `${era}${LEASE_SEPARATOR}${lease}`;
}

/** The era of a lease and its number within it. */
export function decodeLease(id: string): {readonly era: number; readonly lease: string} {
  const [era = '', lease = ''] = id.split(LEASE_SEPARATOR);
  return {era: Number(era), lease};
}
