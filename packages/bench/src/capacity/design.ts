/** The design size and the limits of a node's control-plane overhead. */

/** The deployment size to design for, and rates that follow from it. */
export const design = {
  entries: 1900,
  agents: 7800,
  accounts: 18_000,
  models: 10,
  tiers: 7,
  regions: 5,
  domains: 10,
  requestsPerSecond: 20_000,
  tokensPerSecond: 9_800_000,
  ticketsPerDay: 11_000,
  failuresPerDay: 81,
  replacementsPerDay: 1400,
  /** Number of endpoints per model that an entry uses. */
  subset: 16,
  interTokenMs: 26,
} as const;

/** Limits of a node's control-plane overhead and of the platform's key-value service. */
export const limits = {
  /** Processor time per second: 3.3% of a core. */
  cpuMsPerSecond: 33,
  bytesPerSecond: 7000,
  residentBytes: 256 * 1024 * 1024,
  ticketSeconds: 4,
  writesPerSecond: 500,
  readsPerSecond: 2000,
  valueBytes: 1024 * 1024,
} as const;

const SECONDS_PER_DAY = 86_400;
const MS_PER_SECOND = 1000;

const openStreams = (design.tokensPerSecond * design.interTokenMs) / MS_PER_SECOND;
const peersOfEntry = design.subset * design.models;

/** Quantities per node, derived from the design size. */
export const perNode = {
  instances: design.entries + design.agents,
  ticketsPerSecond: design.ticketsPerDay / SECONDS_PER_DAY,
  entry: {
    requests: design.requestsPerSecond / design.entries,
    chunks: design.tokensPerSecond / design.entries,
    streams: openStreams / design.entries,
    peers: peersOfEntry,
  },
  agent: {
    requests: design.requestsPerSecond / design.agents,
    chunks: design.tokensPerSecond / design.agents,
    streams: openStreams / design.agents,
    peers: (peersOfEntry * design.entries) / design.agents,
  },
} as const;
