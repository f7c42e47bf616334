/** What an endpoint says of itself where endpoints are discovered. */

/** One start of an endpoint. */
export interface EndpointRecord {
  readonly id: string;
  readonly service: string;
  /** `host:port`. */
  readonly address: string;
  readonly failureDomain: string;
  /** Requests that it runs at one time. */
  readonly slots: number;
  /** Whether it takes no new work because it is about to stop. */
  readonly isLeaving: boolean;
  /** Time of its start, in milliseconds since 1970; tells a restart under the same id. */
  readonly startedAtMs: number;
}
