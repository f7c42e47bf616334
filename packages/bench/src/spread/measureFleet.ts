/** Measures the gossip of configurations in a simulated fleet: propagation time, traffic and processor time. */
import {VirtualClock} from '@marigoldfold/runtime';
import {Fleet, type FleetNode, findOutdatedNodes, findFleetViolation} from './fleet.js';
import {mean} from './slope.js';

/** Size of the fleet, number of tickets and random seed of a measurement. */
export interface FleetMeasurement {
  readonly instances: number;
  readonly domains: number;
  readonly tickets: number;
  readonly seed: number;
}

/** Resource use of one process, per second or per ticket. */
export interface GossipCost {
  /** Messages sent and received. */
  readonly messages: number;
  /** Serialized bytes sent and received, including estimated TCP/IP overhead. */
  readonly bytes: number;
  /** Processor time in microseconds, including sending, receiving and the measurement itself. */
  readonly cpuUs: number;
}

/** Propagation time of tickets in one fleet, and the cost of gossip with and without tickets. */
export interface FleetFigures {
  readonly instances: number;
  readonly domains: number;
  /** Milliseconds from the approval of a ticket until it is in force at all instances, on the virtual clock. */
  readonly inForceMs: {readonly median: number; readonly max: number};
  /** Cost per second without tickets, mean of all processes. */
  readonly rest: GossipCost;
  /** Bytes per second without tickets, maximum of all processes. */
  readonly restMaxBytes: number;
  /** Additional cost of a ticket, mean of all processes. */
  readonly ticket: GossipCost;
  /** Calls per second to the key-value service without tickets; a waiting watch counts as one call. */
  readonly serviceCallsPerSecond: number;
  /** Age in milliseconds of the last confirmation of the configuration, without tickets. */
  readonly confirmationAgeMs: {readonly median: number; readonly max: number};
}

/** Estimated TCP/IP overhead of one message. */
const PACKET_OVERHEAD_BYTES = 80;

const MS_PER_SECOND = 1000;
const WARM_UP_MS = 15_000;
const IDLE_MS = 30_000;
/** Not a multiple of the periods of timers in the fleet, so tickets arrive at different times within those periods. */
const TICKET_INTERVAL_MS = 2137;
const STORE_LATENCY_MS = 3;
const LIST_DELAY_MS = 1000;
const SAME_DOMAIN_DELAY_MS = 0.5;
const CROSS_DOMAIN_DELAY_MS = 10;

/** Runs a fleet without tickets, then with them; throws if it violates an invariant or does not converge. */
export async function measureFleet(options: FleetMeasurement): Promise<FleetFigures> {
  const {instances, domains, tickets, seed} = options;
  const clock = new VirtualClock();
  using fleet = new Fleet({
    clock,
    seed,
    domains,
    regions: domains,
    instances,
    delayMs: (from, to) =>
      from.failureDomain === to.failureDomain ? SAME_DOMAIN_DELAY_MS : CROSS_DOMAIN_DELAY_MS,
    listLagMs: LIST_DELAY_MS,
  });
  for (const {store} of fleet.nodes) store.delayMs = STORE_LATENCY_MS;
  await clock.advance(LIST_DELAY_MS);
  fleet.start();
  await clock.advance(WARM_UP_MS);

  const callsBefore = fleet.storeCalls;
  const bytesBefore = fleet.nodes.map(countBytes);
  const idleCost = await measureCost(fleet, clock, IDLE_MS, 1);
  const idleBytes = fleet.nodes.map((node, index) => countBytes(node) - (bytesBefore[index] ?? 0));
  const restMaxBytes = Math.max(...idleBytes) / (IDLE_MS / MS_PER_SECOND);
  const storeCalls = fleet.storeCalls - callsBefore;
  const confirmationAgesMs = fleet.nodes.map(
    ({feed}) => feed.confirmationAgeMs ?? Number.POSITIVE_INFINITY,
  );

  const propagationTimesMs: number[] = [];
  const loadedCost = await measureCost(
    fleet,
    clock,
    tickets * TICKET_INTERVAL_MS,
    tickets,
    async () => {
      propagationTimesMs.push(await measurePropagationMs(fleet, clock, propagationTimesMs.length));
    },
  );
  checkConverged(fleet);
  const secondsPerTicket = TICKET_INTERVAL_MS / MS_PER_SECOND;
  return {
    instances,
    domains,
    inForceMs: {median: quantile(propagationTimesMs, 0.5), max: Math.max(...propagationTimesMs)},
    rest: perSecond(idleCost, IDLE_MS),
    restMaxBytes,
    ticket: subtract(
      perTicket(loadedCost, tickets),
      perSecond(idleCost, IDLE_MS),
      secondsPerTicket,
    ),
    serviceCallsPerSecond: storeCalls / (IDLE_MS / MS_PER_SECOND),
    confirmationAgeMs: {
      median: quantile(confirmationAgesMs, 0.5),
      max: Math.max(...confirmationAgesMs),
    },
  };
}

/** Approves a ticket and returns the milliseconds until it is in force at all processes. */
async function measurePropagationMs(
  fleet: Fleet,
  clock: VirtualClock,
  index: number,
): Promise<number> {
  const startedAtMs = clock.now();
  const state = {type: 'engine', slots: index + 1};
  const {number} = await fleet.decide([{kind: 'endpointSet', name: 'engines', state}]);
  await clock.advance(TICKET_INTERVAL_MS);
  const propagationMs = fleet.nodes.map(({appliedHeads}) => {
    const applied = appliedHeads.find((head) => head.number >= number);
    return applied === undefined ? Number.POSITIVE_INFINITY : applied.atMs - startedAtMs;
  });
  return Math.max(...propagationMs);
}

function checkConverged(fleet: Fleet): void {
  const violation = findFleetViolation(fleet);
  if (violation !== undefined) throw new Error(violation);
  const outdated = findOutdatedNodes(fleet);
  if (outdated.length > 0) throw new Error(`${outdated.join(', ')} did not apply the last ticket`);
}

async function measureCost(
  fleet: Fleet,
  clock: VirtualClock,
  durationMs: number,
  rounds: number,
  runRound?: () => Promise<void>,
): Promise<GossipCost> {
  const before = sumTraffic(fleet);
  const cpuBefore = process.cpuUsage();
  for (let index = 0; index < rounds; index += 1) {
    if (runRound === undefined) await clock.advance(durationMs / rounds);
    else await runRound();
  }
  const cpu = process.cpuUsage(cpuBefore);
  const after = sumTraffic(fleet);
  const nodeCount = fleet.nodes.length;
  const messages = (after.messages - before.messages) / nodeCount;
  const bytes = (after.bytes - before.bytes) / nodeCount + messages * PACKET_OVERHEAD_BYTES;
  return {messages, bytes, cpuUs: (cpu.user + cpu.system) / nodeCount};
}

function countBytes({traffic}: FleetNode): number {
  return traffic.bytes + traffic.messages * PACKET_OVERHEAD_BYTES;
}

function sumTraffic({nodes}: Fleet): {readonly messages: number; readonly bytes: number} {
  let [messages, bytes] = [0, 0];
  for (const {traffic} of nodes) {
    messages += traffic.messages;
    bytes += traffic.bytes;
  }
  return {messages, bytes};
}

function perSecond({messages, bytes, cpuUs}: GossipCost, durationMs: number): GossipCost {
  const seconds = durationMs / MS_PER_SECOND;
  return {messages: messages / seconds, bytes: bytes / seconds, cpuUs: cpuUs / seconds};
}

function perTicket({messages, bytes, cpuUs}: GossipCost, tickets: number): GossipCost {
  return {messages: messages / tickets, bytes: bytes / tickets, cpuUs: cpuUs / tickets};
}

function subtract(a: GossipCost, b: GossipCost, factor: number): GossipCost {
  return {
    messages: a.messages - b.messages * factor,
    bytes: a.bytes - b.bytes * factor,
    cpuUs: a.cpuUs - b.cpuUs * factor,
  };
}

function quantile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length * fraction)] ?? mean(values);
}
