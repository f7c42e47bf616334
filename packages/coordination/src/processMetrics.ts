/** Prometheus metrics that both entry and agent export. */
import {collectDefaultMetrics, Gauge, Registry} from 'prom-client';
import type {ConfigurationFeed} from './configurationFeed.js';

/** Configuration feed to report on, and whether to add Node.js metrics. */
export interface ProcessMetricsOptions {
  readonly feed: ConfigurationFeed;
  /** Whether to add Node.js metrics; only for processes with a single registry. */
  readonly includesNode: boolean;
}

const MS_PER_SECOND = 1000;

/** Creates a registry with configuration metrics and, if requested, Node.js metrics. */
export function createProcessRegistry({feed, includesNode}: ProcessMetricsOptions): Registry {
  const registry = new Registry();
  const registers = [registry];
  if (includesNode) collectDefaultMetrics({register: registry});
  new Gauge({
    name: 'marigoldfold_configuration_number',
    help: 'Number of the ticket in force.',
    registers,
    collect() {
      this.set(feed.head.number);
    },
  });
  new Gauge({
    name: 'marigoldfold_configuration_confirmation_age_seconds',
    help: 'Time since the configuration was last confirmed against the service; -1 before the first.',
    registers,
    collect() {
      const ageMs = feed.confirmationAgeMs;
      this.set(ageMs === undefined ? -1 : ageMs / MS_PER_SECOND);
    },
  });
  return registry;
}

/** Adds a gauge of open connections, labelled by server. */
export function addConnectionMetrics(
  registry: Registry,
  countByServer: Readonly<Record<string, () => number>>,
): void {
  new Gauge({
    name: 'marigoldfold_connections',
    help: 'Open connections by server.',
    labelNames: ['server'],
    registers: [registry],
    collect() {
      for (const [server, count] of Object.entries(countByServer)) this.set({server}, count());
    },
  });
}
