/** The deployment size that the system is designed for, and limits on the control-plane overhead of one process. */

/** Numbers of processes, accounts and requests in the deployment that the system is designed for. */
export const capacityDesign = {
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

/** Maximum control-plane overhead of one process, and maximum load on the platform's key-value service. */
export const limits = {
  /** Milliseconds of processor time per second; equals 3.3% of a core. */
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

const openStreams = (capacityDesign.tokensPerSecond * capacityDesign.interTokenMs) / MS_PER_SECOND;
const peersOfEntry = capacityDesign.subset * capacityDesign.models;

/** Numbers of connections and rates of one process, derived from `capacityDesign`. */
export const designLoadPerNode = {
  instances: capacityDesign.entries + capacityDesign.agents,
  ticketsPerSecond: capacityDesign.ticketsPerDay / SECONDS_PER_DAY,
  entry: {
    requests: capacityDesign.requestsPerSecond / capacityDesign.entries,
    chunks: capacityDesign.tokensPerSecond / capacityDesign.entries,
    streams: openStreams / capacityDesign.entries,
    peers: peersOfEntry,
  },
  agent: {
    requests: capacityDesign.requestsPerSecond / capacityDesign.agents,
    chunks: capacityDesign.tokensPerSecond / capacityDesign.agents,
    streams: openStreams / capacityDesign.agents,
    peers: (peersOfEntry * capacityDesign.entries) / capacityDesign.agents,
  },
} as const;
