/** Carries measured figures of the spreading to the size that the design is for. */
import type {ConfigurationFigures} from './measureConfiguration.js';
import type {FleetFigures} from './measureFleet.js';
import {fitLine, type Line, valueAt} from './slope.js';

/** What the design is for. */
export const designSize = {
  instances: 9700,
  domains: 10,
  accounts: 18_000,
  ticketsPerDay: 11_000,
} as const;

/** What a process may cost. */
export const designLimits = {
  inForceMs: 4000,
  bytesPerSecond: 7000,
  /** 3.3% of a core. */
  cpuUsPerSecond: 33_000,
  serviceCallsPerSecond: 2000,
} as const;

/** A carried figure beside its limit. */
export interface ExtrapolatedFigure {
  readonly name: string;
  readonly value: number;
  readonly limit: number;
  readonly unit: string;
}

/** Measured figures, their slopes, and what follows at the design size. */
export interface GossipReport {
  readonly fleets: readonly FleetFigures[];
  readonly configurations: readonly ConfigurationFigures[];
  readonly slopes: Readonly<Record<string, Line>>;
  readonly carried: readonly ExtrapolatedFigure[];
}

const SECONDS_PER_DAY = 86_400;
/** Processes of a failure domain from which its figures are carried. */
const MIN_DOMAIN_SIZE = 20;

/** Fits the slopes and carries them. */
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
  // Hops grow with the logarithm of a domain's size, so times are fitted against it.
  const byLogSize = (value: (figures: FleetFigures) => number) =>
    fitLine(fleets.map((each) => ({x: logDomainSize(each), y: value(each)})));
  const byAccounts = (value: (figures: ConfigurationFigures) => number) =>
    fitLine(configurations.map((each) => ({x: each.accounts, y: value(each)})));
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
  const at = logDomainSize(designSize);
  const ticketsPerSecond = designSize.ticketsPerDay / SECONDS_PER_DAY;
  // What a process costs falls as its domain grows, because its share of the watchers' work does;
  // the largest figure of the domains that are not mostly watchers is carried as it stands.
  const large = fleets.filter(({instances, domains}) => instances / domains >= MIN_DOMAIN_SIZE);
  const largest = (value: (figures: FleetFigures) => number) => Math.max(0, ...large.map(value));
  const ticketBytes = largest(({ticket}) => ticket.bytes);
  const ticketCpuUs =
    largest(({ticket}) => ticket.cpuUs) + slopes.stepUsByAccounts.slope * designSize.accounts;
  return [
    {
      name: 'approval to the last instance',
      value: valueAt(slopes.inForceMsByLogDomainSize, at),
      limit: designLimits.inForceMs,
      unit: 'ms',
    },
    {
      name: 'bytes of a process',
      value: largest(({rest}) => rest.bytes) + ticketBytes * ticketsPerSecond,
      limit: designLimits.bytesPerSecond,
      unit: 'B/s',
    },
    {
      name: 'bytes of the busiest process measured',
      value: largest(({restMaxBytes}) => restMaxBytes) + ticketBytes * ticketsPerSecond,
      limit: designLimits.bytesPerSecond,
      unit: 'B/s',
    },
    {
      name: 'processor time of a process',
      value: largest(({rest}) => rest.cpuUs) + ticketCpuUs * ticketsPerSecond,
      limit: designLimits.cpuUsPerSecond,
      unit: 'µs/s',
    },
    {
      name: 'calls to the key-value service',
      value: valueAt(slopes.serviceCallsPerDomainByLogDomainSize, at) * designSize.domains,
      limit: designLimits.serviceCallsPerSecond,
      unit: '1/s',
    },
  ];
}
