/** Looks up routes by host and path, services by name, and accounts by key. */
import type {RoutedAccount, Route, RoutingConfiguration, Service} from './routingConfiguration.js';

/** Lookup table for one version of the routing configuration. */
export class RoutingTable {
  readonly configuration: RoutingConfiguration;
  /** Routes of each host, longest prefix first. */
  readonly #routesByHost = new Map<string, Route[]>();
  readonly #services = new Map<string, Service>();
  /** Longest latency objective of the routes to each service, in milliseconds. */
  readonly #longestTargetsMs = new Map<string, number>();
  readonly #accountsByKey = new Map<string, RoutedAccount>();

  constructor(configuration: RoutingConfiguration) {
    this.configuration = configuration;
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      const routes = this.#routesByHost.get(host);
      if (routes === undefined) this.#routesByHost.set(host, [route]);
      else routes.push(route);
      for (const {service} of route.shares) {
        const longestMs = this.#longestTargetsMs.get(service) ?? 0;
        this.#longestTargetsMs.set(service, Math.max(longestMs, route.targetMs));
      }
    }
    for (const routes of this.#routesByHost.values()) {
      routes.sort((a, b) => b.prefix.length - a.prefix.length);
    }
    for (const service of configuration.services) this.#services.set(service.name, service);
    for (const account of configuration.accounts ?? []) {
      for (const key of account.keys) this.#accountsByKey.set(key, account);
    }
  }

  /** Version of the routing configuration that the table was built from. */
  get version(): number {
    return this.configuration.version;
  }

  /** Whether requests need a key. */
  get needsKeys(): boolean {
    return this.configuration.accounts !== undefined;
  }

  /** Finds the route with the longest matching path prefix; the query is ignored. */
  findRoute(host: string, target: string): Route | undefined {
    const [path = ''] = target.split('?', 1);
    const routes = this.#routesByHost.get(hostName(host)) ?? [];
    for (const route of routes) {
      if (path.startsWith(route.prefix)) return route;
    }
    return undefined;
  }

  /** Longest latency objective of all routes to a service, in milliseconds; 0 without a route. */
  longestTargetMs(service: string): number {
    return this.#longestTargetsMs.get(service) ?? 0;
  }

  findService(name: string): Service | undefined {
    return this.#services.get(name);
  }

  /** Finds the account that owns a key. */
  findAccount(key: string): RoutedAccount | undefined {
    return this.#accountsByKey.get(key);
  }
}

/** Returns the host of a `Host` header without its port, in lower case. */
function hostName(host: string): string {
  return host.replace(/:\d*$/, '').toLowerCase();
}
