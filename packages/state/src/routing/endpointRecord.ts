/** Records that endpoints publish for service discovery. */

/** What one incarnation of an endpoint publishes; a restart creates a new incarnation. */
export interface EndpointRecord {
  readonly id: string;
  readonly service: string;
  /** `host:port` that the endpoint listens on. */
  readonly address: string;
  readonly failureDomain: string;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /** Whether the endpoint accepts no new requests because it is stopping. */
  readonly isLeaving: boolean;
  /** Start time in milliseconds since 1970; distinguishes restarts under the same id. */
  readonly startedAtMs: number;
}
