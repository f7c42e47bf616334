/** Load report that an endpoint attaches to a response. */

/** Running and waiting requests of an endpoint when it sent the response. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Current duration of work divided by its usual duration; undefined if not reported. */
  readonly slowness: number | undefined;
}
