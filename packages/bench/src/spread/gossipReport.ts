/** Extrapolates measurements of the gossip of configurations to the design size. */
import type {ConfigurationFigures} from './measureConfiguration.js';
import type {FleetFigures} from './measureFleet.js';
import {fitLine, type Line, evaluateLine} from './slope.js';

/** Fleet, configuration and rate of tickets that the system is designed for. */
export const gossipDesignSize = {
  instances: 9700,
  domains: 10,
  accounts: 18_000,
  ticketsPerDay: 11_000,
} as const;

/** Limits at the design size; bytes and processor time are per process. */
export const gossipDesignLimits = {
  inForceMs: 4000,
  bytesPerSecond: 7000,
  /** Microseconds of processor time per second; equals 3.3% of a core. */
  cpuUsPerSecond: 33_000,
  serviceCallsPerSecond: 2000,
} as const;

/** A figure extrapolated to the design size, and its limit in the same unit. */
export interface ExtrapolatedFigure {
  readonly name: string;
  readonly value: number;
  readonly limit: number;
  readonly unit: string;
}

/** Measurements, lines fitted through them, and figures extrapolated to the design size (`carried`). */
export interface GossipReport {
  readonly fleets: readonly FleetFigures[];
  readonly configurations: readonly ConfigurationFigures[];
  readonly slopes: Readonly<Record<string, Line>>;
  readonly carried: readonly ExtrapolatedFigure[];
}

const SECONDS_PER_DAY = 86_400;
/** Minimum number of processes per failure domain; figures of smaller domains are not extrapolated. */
const MIN_DOMAIN_SIZE = 20;

/** Fits lines through the measurements and extrapolates them to the design size. */
export function createGossipReport(
  fleets: readonly FleetFigures[],
  configurations: readonly ConfigurationFigures[],
): GossipReport {
  const slopes = fitSlopes(fleets, configurations);
  return {fleets, configurations, slopes, carried: extrapolate(fleets, slopes)};
}

function fitSlopes(
  fleets: readonly FleetFigures[],
  configurations: readonly ConfigurationFigures[],
): Readonly<Record<SlopeName, Line>> {
  // The number of hops grows with the logarithm of the domain size, so it is the x axis of the fit.
  const byLogSize = (value: (figures: FleetFigures) => number) =>
    fitLine(fleets.map((figures) => ({x: logDomainSize(figures), y: value(figures)})));
  const byAccounts = (value: (figures: ConfigurationFigures) => number) =>
    fitLine(configurations.map((figures) => ({x: figures.accounts, y: value(figures)})));
  return {
    inForceMsByLogDomainSize: byLogSize(({inForceMs}) => inForceMs.max),
    restBytesByLogDomainSize: byLogSize(({rest}) => rest.bytes),
    restCpuUsByLogDomainSize: byLogSize(({rest}) => rest.cpuUs),
    ticketBytesByLogDomainSize: byLogSize(({ticket}) => ticket.bytes),
    ticketCpuUsByLogDomainSize: byLogSize(({ticket}) => ticket.cpuUs),
    confirmationAgeMsByLogDomainSize: byLogSize(({confirmationAgeMs}) => confirmationAgeMs.max),
    serviceCallsPerDomainByLogDomainSize: byLogSize(
      ({serviceCallsPerSecond, domains}) => serviceCallsPerSecond / domains,
    ),
    stepUsByAccounts: byAccounts(({stepUs}) => stepUs),
    snapshotMsByAccounts: byAccounts(({snapshotMs}) => snapshotMs),
    snapshotBytesByAccounts: byAccounts(({snapshotBytes}) => snapshotBytes),
  };
}

type SlopeName =
  | 'inForceMsByLogDomainSize'
  | 'restBytesByLogDomainSize'
  | 'restCpuUsByLogDomainSize'
  | 'ticketBytesByLogDomainSize'
  | 'ticketCpuUsByLogDomainSize'
  | 'confirmationAgeMsByLogDomainSize'
  | 'serviceCallsPerDomainByLogDomainSize'
  | 'stepUsByAccounts'
  | 'snapshotMsByAccounts'
  | 'snapshotBytesByAccounts';

function logDomainSize({instances, domains}: {instances: number; domains: number}): number {
  return Math.log2(instances / domains);
}

function extrapolate(
  fleets: readonly FleetFigures[],
  slopes: Readonly<Record<SlopeName, Line>>,
): readonly ExtrapolatedFigure[] {
  const designLogSize = logDomainSize(gossipDesignSize);
  const ticketsPerSecond = gossipDesignSize.ticketsPerDay / SECONDS_PER_DAY;
  // The cost per process falls as a failure domain grows, because more processes share the cost of the watchers. So no
  // line is fitted: the largest cost is used, leaving out small domains, which consist mostly of watchers.
  const largeDomainFleets = fleets.filter(
    ({instances, domains}) => instances / domains >= MIN_DOMAIN_SIZE,
  );
  const largest = (value: (figures: FleetFigures) => number) =>
    Math.max(0, ...largeDomainFleets.map(value));
  const ticketBytes = largest(({ticket}) => ticket.bytes);
  const ticketCpuUs =
    largest(({ticket}) => ticket.cpuUs) + slopes.stepUsByAccounts.slope * gossipDesignSize.accounts;
  return [
    {
      name: 'approval to the last instance',
      value: evaluateLine(slopes.inForceMsByLogDomainSize, designLogSize),
      limit: gossipDesignLimits.inForceMs,
      unit: 'ms',
    },
    {
      name: 'bytes of a process',
      value: largest(({rest}) => rest.bytes) + ticketBytes * ticketsPerSecond,
      limit: gossipDesignLimits.bytesPerSecond,
      unit: 'B/s',
    },
    {
      name: 'bytes of the busiest process measured',
      value: largest(({restMaxBytes}) => restMaxBytes) + ticketBytes * ticketsPerSecond,
      limit: gossipDesignLimits.bytesPerSecond,
      unit: 'B/s',
    },
    {
      name: 'processor time of a process',
      value: largest(({rest}) => rest.cpuUs) + ticketCpuUs * ticketsPerSecond,
      limit: gossipDesignLimits.cpuUsPerSecond,
      unit: 'µs/s',
    },
    {
      name: 'calls to the key-value service',
      value:
        evaluateLine(slopes.serviceCallsPerDomainByLogDomainSize, designLogSize) *
        gossipDesignSize.domains,
      limit: gossipDesignLimits.serviceCallsPerSecond,
      unit: '1/s',
    },
  ];
}
