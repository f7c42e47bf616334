/** Metrics of the duties that one instance at a time carries out; registered only where there are duties. */
import type {ReportTotals} from '@marigoldfold/coordination';
import {Counter, Gauge, type Registry} from 'prom-client';

/** Values that are read on each scrape. */
export interface DutyMetricSources {
  /** Fencing token of this instance's hold; undefined while it holds nothing. */
  readonly token: () => number | undefined;
  /** Milliseconds for which the hold certainly lasts unless it is renewed. */
  readonly leaseLeftMs: () => number;
  readonly windows: () => ReportTotals;
}

const MS_PER_SECOND = 1000;

/** Registers the hold of the duties and the windows that this instance reported. */
export function registerDutyMetrics(
  registry: Registry,
  {token, leaseLeftMs, windows}: DutyMetricSources,
): void {
  const registers = [registry];
  new Gauge({
    name: 'marigoldfold_forward_duty_holder',
    help: 'Whether this instance holds the duties.',
    registers,
    collect() {
      this.set(token() === undefined ? 0 : 1);
    },
  });
  new Gauge({
    name: 'marigoldfold_forward_duty_token',
    help: 'Fencing token of this instance while it holds the duties, otherwise 0.',
    registers,
    collect() {
      this.set(token() ?? 0);
    },
  });
  new Gauge({
    name: 'marigoldfold_forward_duty_lease_seconds',
    help: 'Time for which this instance certainly holds the duties unless it renews the lease.',
    registers,
    collect() {
      this.set(leaseLeftMs() / MS_PER_SECOND);
    },
  });
  new Counter({
    name: 'marigoldfold_forward_usage_windows_total',
    help: 'Usage windows that this instance reported, recorded incompletely or gave up.',
    labelNames: ['outcome'],
    registers,
    collect() {
      const {reported, incomplete, givenUp} = windows();
      this.reset();
      this.inc({outcome: 'reported'}, reported);
      this.inc({outcome: 'incomplete'}, incomplete);
      this.inc({outcome: 'given_up'}, givenUp);
    },
  });
}
