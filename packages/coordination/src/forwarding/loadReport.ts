/** The load that an endpoint reports with a response. */

/** Load of an endpoint at the time of the response that carries the report. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Current duration of work relative to the usual one, which is 1; undefined if not reported. */
  readonly slowness: number | undefined;
}
