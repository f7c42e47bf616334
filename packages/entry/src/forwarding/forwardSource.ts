/** What an installation provides to a router process: its store with the documents in it, and its bounds. */
import type {WindowedRetryBudgetBounds} from '@marigoldfold/coordination';
import type {EndpointRecord, KeyValue, RoutingConfiguration} from '@marigoldfold/state';
import type {Result} from 'neverthrow';

/** Key-value service with the configuration, endpoints and peers, and how their documents are decoded. */
export interface ForwardSource {
  readonly store: KeyValue;
  /** Prefix of the configuration key and of the keys of endpoints and peers. */
  readonly prefix: string;
  readonly configurationKey: string;
  readonly endpointsPrefix: string;
  /** Prefix under which the instances of the router register. */
  readonly peersPrefix: string;
  /** Prefix under which instances record the prompt parts that crash endpoints. */
  readonly quarantinePrefix: string;
  readonly decodeConfiguration: (text: string) => Result<RoutingConfiguration, string>;
  readonly decodeEndpoint: (key: string, text: string) => Result<EndpointRecord, string>;
  readonly endpointIdOf: (key: string) => string;
}

/** Time bounds, in milliseconds, and retry budget that the installation sets. */
export interface ForwardBounds {
  /** Maximum time from the acceptance of a configuration until its revoked keys no longer work. */
  readonly revocationMs: number;
  /** Maximum time from the acceptance of a configuration until it is in force. */
  readonly configurationMs: number;
  /** Time from the stop signal until the process is killed. */
  readonly stopMs: number;
  readonly retryBudget: WindowedRetryBudgetBounds;
}
