/** Decides whether a request may be forwarded by the configuration in force. */
import type {IncomingMessage} from 'node:http';
import type {Route, RoutedAccount, RoutingTable} from '@marigoldfold/state';
import {err, ok, type Result} from 'neverthrow';
import type {RequestMetadata} from './metadataCodec.js';

/** The configuration in force and how sure it is. */
export interface ConfigurationState {
  readonly table: RoutingTable | undefined;
  /** Milliseconds since the configuration was known to be the newest. */
  readonly ageMs: number;
}

/** How old a belief may be. */
export interface ConfigurationAgeLimits {
  /** Requests with a key are refused beyond this age, in milliseconds. */
  readonly keyedRequestMaxAgeMs: number;
  /** Beyond this age an unknown route or key may be a new one, in milliseconds. */
  readonly notFoundMaxAgeMs: number;
}

/** A request that is not forwarded. */
export interface Refusal {
  readonly status: number;
  readonly reason: string;
  /** When to come back, in milliseconds. */
  readonly retryAfterMs?: number;
}

/** A request that may be forwarded. */
export interface Admission {
  readonly table: RoutingTable;
  readonly route: Route;
  readonly account: RoutedAccount | undefined;
}

const CONFIGURATION_RETRY_AFTER_MS = 500;

/** Finds the route and the account of a request. */
export function admit(
  request: IncomingMessage,
  facts: RequestMetadata,
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
  const account = facts.key === undefined ? undefined : table.findAccount(facts.key);
  if (table.needsKeys && !route.allowsAnonymous) {
    if (ageMs > limits.keyedRequestMaxAgeMs) return err(unavailable('stale_configuration'));
    if (account === undefined) {
      return err(
        mayBeOutdated ? unavailable('stale_configuration') : {status: 401, reason: 'no_key'},
      );
    }
  }
  return ok({table, route, account: ageMs > limits.keyedRequestMaxAgeMs ? undefined : account});
}

function unavailable(reason: string): Refusal {
  return {status: 503, reason, retryAfterMs: CONFIGURATION_RETRY_AFTER_MS};
}
