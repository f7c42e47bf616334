/** Configuration of forwarding: routes, services, client accounts and limits. */

/** Whether requests may be retried; a `stream` is idempotent only on a resumable route. */
export type RequestKind = 'idempotent' | 'nonIdempotent' | 'stream';

/** A service and its share of a route's requests. */
export interface ServiceShare {
  readonly service: string;
  /** The service receives this weight divided by the sum of the route's weights. */
  readonly weight: number;
}

/** Destination and limits of the requests to a host and path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Path prefix; starts and ends with a slash. */
  readonly prefix: string;
  readonly kind: RequestKind;
  /** Longest time that a caller waits, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective until the response, or the first event of a stream, in milliseconds. */
  readonly targetMs: number;
  /** Objective for the longest pause between events of a stream, in milliseconds. */
  readonly pauseTargetMs: number | undefined;
  /** Priority of the route's requests; 0 is the most urgent. */
  readonly priority: number;
  readonly shares: readonly ServiceShare[];
  /** Maximum number of endpoints that one request is sent to. */
  readonly maxAttempts: number;
  readonly allowsAnonymous: boolean;
  /** Whether requests list their prompt parts, which endpoints cache. */
  readonly hasPromptParts: boolean;
  readonly isResumable: boolean;
}

/** Capacity of the model engine at each endpoint of a service. */
export interface Engine {
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /** Cache capacity in tokens, shared by running requests and cached prompt parts. */
  readonly cacheTokens: number;
  /** Tokens per event of a stream. */
  readonly tokensPerEvent: number;
}

/** A service that requests are forwarded to. */
export interface Service {
  readonly name: string;
  readonly healthPath: string;
  /** Connection limit of an endpoint, over all callers. */
  readonly connectionLimit: number;
  readonly engine: Engine | undefined;
}

/** A client account with its bearer keys and priority. */
export interface RoutedAccount {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the route's priority. */
  readonly priority: number | undefined;
}

/** Size and time limits of client requests. */
export interface ClientLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The complete configuration of forwarding; each change creates a new version. */
export interface RoutingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  /** Undefined when requests need no key. */
  readonly accounts: readonly RoutedAccount[] | undefined;
  readonly limits: ClientLimits;
}
