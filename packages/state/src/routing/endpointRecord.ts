/** Records that endpoints publish for service discovery. */

/** One incarnation of an endpoint. */
export interface EndpointRecord {
  readonly id: string;
  readonly service: string;
  /** `host:port`. */
  readonly address: string;
  readonly failureDomain: string;
  /** Concurrent requests. */
  readonly slots: number;
  /** Whether the endpoint accepts no new requests because it is stopping. */
  readonly isLeaving: boolean;
  /** Start time in milliseconds since 1970; distinguishes restarts under the same id. */
  readonly startedAtMs: number;
}
