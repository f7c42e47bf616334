/** Checks requests against the routing configuration in force. */
import type {IncomingMessage} from 'node:http';
import type {Route, RoutedAccount, RoutingTable} from '@marigoldfold/state';
import {err, ok, type Result} from 'neverthrow';
import type {RequestMetadata} from './metadataCodec.js';

/** The configuration in force and the time since its last confirmation. */
export interface ConfigurationState {
  readonly table: RoutingTable | undefined;
  /** Milliseconds since the configuration was last confirmed to be the newest one. */
  readonly ageMs: number;
}

/** Age limits of the configuration, counted from its last confirmation. */
export interface ConfigurationAgeLimits {
  /** Beyond this age, in milliseconds, requests with a key get 503, since the key may have been revoked. */
  readonly keyedRequestMaxAgeMs: number;
  /**
   * Beyond this age an unknown route or key may have been added since, and gets 503 instead of 404 or 401;
   * in milliseconds.
   */
  readonly notFoundMaxAgeMs: number;
}

/** Error response of the router to a request that it does not forward. */
export interface Refusal {
  readonly status: number;
  readonly reason: string;
  /** Value of `retry-after`, in milliseconds. */
  readonly retryAfterMs?: number;
  /** Whether the client has to open another connection. */
  readonly closesConnection?: boolean;
}

/** Route and account of an admitted request; without an account if it has no key. */
export interface Admission {
  readonly table: RoutingTable;
  readonly route: Route;
  readonly account: RoutedAccount | undefined;
}

const CONFIGURATION_RETRY_AFTER_MS = 500;

/** Finds the route and the account of a request, or the reason to refuse it. */
export function resolveAdmission(
  request: IncomingMessage,
  metadata: RequestMetadata,
  {table, ageMs}: ConfigurationState,
  limits: ConfigurationAgeLimits,
): Result<Admission, Refusal> {
  if (table === undefined) return err(unavailable('no_configuration'));
  const mayBeOutdated = ageMs > limits.notFoundMaxAgeMs;
  const route = table.findRoute(request.headers.host ?? '', request.url ?? '');
  if (route === undefined) {
    return err(
      mayBeOutdated ? unavailable('stale_configuration') : {status: 404, reason: 'no_route'},
    );
  }
  const owner = findKeyOwner(metadata.key, table, ageMs, limits);
  switch (owner.kind) {
    case 'account':
      return ok({table, route, account: owner.account});
    case 'undetermined':
      return err(unavailable('stale_configuration'));
    case 'unknown':
      return err({status: 401, reason: 'no_key'});
    case 'none':
      if (!table.needsKeys || route.allowsAnonymous) return ok({table, route, account: undefined});
      return err(
        mayBeOutdated ? unavailable('stale_configuration') : {status: 401, reason: 'no_key'},
      );
  }
}

/** Whose key a request has. */
type KeyOwner =
  /** The request has no key, or the configuration has none. */
  | {readonly kind: 'none'}
  | {readonly kind: 'account'; readonly account: RoutedAccount}
  | {readonly kind: 'unknown'}
  /** The key may have been added or revoked since the configuration was confirmed. */
  | {readonly kind: 'undetermined'};

/** The route has no part in this: a request with a key runs on behalf of its owner or not at all. */
function findKeyOwner(
  key: string | undefined,
  table: RoutingTable,
  ageMs: number,
  {keyedRequestMaxAgeMs, notFoundMaxAgeMs}: ConfigurationAgeLimits,
): KeyOwner {
  if (key === undefined || !table.needsKeys) return {kind: 'none'};
  if (ageMs > keyedRequestMaxAgeMs) return {kind: 'undetermined'};
  const account = table.findAccount(key);
  if (account !== undefined) return {kind: 'account', account};
  return {kind: ageMs > notFoundMaxAgeMs ? 'undetermined' : 'unknown'};
}

function unavailable(reason: string): Refusal {
  return {status: 503, reason, retryAfterMs: CONFIGURATION_RETRY_AFTER_MS};
}
