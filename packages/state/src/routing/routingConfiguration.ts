/** What an operator may configure of forwarding: routes, services, client accounts and limits. */

/** What may be repeated: `stream` is idempotent only where the route is resumable. */
export type RequestKind = 'idempotent' | 'nonIdempotent' | 'stream';

/** A service and its part of a route's requests. */
export interface ServiceShare {
  readonly service: string;
  /** Relative to the other shares of the route. */
  readonly weight: number;
}

/** Where requests of a host and path prefix go, and within which bounds. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RequestKind;
  /** Longest time that a caller is kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective up to the answer, or up to the first event of a stream, in milliseconds. */
  readonly targetMs: number;
  /** Longest pause between events of a stream within the objective, in milliseconds. */
  readonly pauseTargetMs: number | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly shares: readonly ServiceShare[];
  /** Endpoints that may run one request. */
  readonly maxAttempts: number;
  readonly allowsAnonymous: boolean;
  /** Whether requests name the parts of their prompt, which endpoints cache. */
  readonly hasPromptParts: boolean;
  readonly isResumable: boolean;
}

/** The model engine of a service's endpoints. */
export interface Engine {
  /** Requests that run at one time. */
  readonly slots: number;
  /** Tokens that running requests and cached prompt parts share. */
  readonly cacheTokens: number;
  /** Tokens in one event of a stream. */
  readonly tokensPerEvent: number;
}

/** A service that requests are forwarded to. */
export interface Service {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that an endpoint accepts from all callers together. */
  readonly connectionLimit: number;
  readonly engine: Engine | undefined;
}

/** A client account. */
export interface RoutedAccount {
  readonly name: string;
  readonly keys: readonly string[];
  /** Goes before the route's priority. */
  readonly priority: number | undefined;
}

/** What a client may send, and how long it may take. */
export interface ClientLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the whole configuration. */
export interface RoutingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  /** Absent when requests need no key. */
  readonly accounts: readonly RoutedAccount[] | undefined;
  readonly limits: ClientLimits;
}
