/** What an endpoint tells of its load beside an answer. */

/** A report; it is as old as the answer that carried it. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes at the moment; 1 is the usual time. Absent when the endpoint does not say. */
  readonly slowness: number | undefined;
}
