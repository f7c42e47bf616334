/** Measures the spreading of configurations in fleets of several sizes. */
import {VirtualClock} from '@marigoldfold/runtime';
import {Fleet, type FleetNode, findOutdated, findViolation} from './fleet.js';
import {mean} from './slope.js';

/** What is measured. */
export interface FleetMeasurement {
  readonly instances: number;
  readonly domains: number;
  readonly tickets: number;
  readonly seed: number;
}

/** What one process costs, in a second or for a ticket. */
export interface Cost {
  /** Messages sent and received. */
  readonly messages: number;
  /** Serialized bytes sent and received, with an allowance for TCP/IP. */
  readonly bytes: number;
  /** Processor time in microseconds, both ends and the measuring itself included. */
  readonly cpuUs: number;
}

/** The figures of one fleet. */
export interface FleetFigures {
  readonly instances: number;
  readonly domains: number;
  /** Milliseconds from the approval to the last instance, on the virtual clock. */
  readonly inForceMs: {readonly median: number; readonly max: number};
  /** Mean of all processes in a second with no ticket. */
  readonly rest: Cost;
  /** The process with the most bytes in a second with no ticket. */
  readonly restMaxBytes: number;
  /** What a ticket adds, mean of all processes. */
  readonly ticket: Cost;
  /** Calls a second to the key-value service at rest, a waiting watch as one. */
  readonly serviceCallsPerSecond: number;
  /** Age of the confirmation at rest in milliseconds. */
  readonly confirmationAgeMs: {readonly median: number; readonly max: number};
}

/** Bytes of TCP/IP that one message carries besides its text. */
const PACKET_OVERHEAD_BYTES = 80;

const MS_PER_SECOND = 1000;
const WARM_UP_MS = 15_000;
const IDLE_MS = 30_000;
/** A ticket is given this long, so that each meets the regular work at another moment. */
const TICKET_INTERVAL_MS = 2137;
const STORE_LATENCY_MS = 3;
const LIST_LAG_MS = 1000;
const SAME_DOMAIN_DELAY_MS = 0.5;
const CROSS_DOMAIN_DELAY_MS = 10;

/** Runs a fleet at rest and under tickets. */
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
    listLagMs: LIST_LAG_MS,
  });
  for (const {store} of fleet.nodes) store.delayMs = STORE_LATENCY_MS;
  await clock.advance(LIST_LAG_MS);
  fleet.start();
  await clock.advance(WARM_UP_MS);

  const callsBefore = fleet.storeCalls;
  const bytesBefore = fleet.nodes.map(countBytes);
  const rest = await measureCost(fleet, clock, IDLE_MS, 1);
  const restBytes = fleet.nodes.map((node, index) => countBytes(node) - (bytesBefore[index] ?? 0));
  const restMaxBytes = Math.max(...restBytes) / (IDLE_MS / MS_PER_SECOND);
  const calls = fleet.storeCalls - callsBefore;
  const ages = fleet.nodes.map(({feed}) => feed.confirmationAgeMs ?? Number.POSITIVE_INFINITY);

  const times: number[] = [];
  const loadedCost = await measureCost(
    fleet,
    clock,
    tickets * TICKET_INTERVAL_MS,
    tickets,
    async () => {
      times.push(await measurePropagationMs(fleet, clock, times.length));
    },
  );
  checkConverged(fleet);
  const secondsPerTicket = TICKET_INTERVAL_MS / MS_PER_SECOND;
  return {
    instances,
    domains,
    inForceMs: {median: quantile(times, 0.5), max: Math.max(...times)},
    rest: perSecond(rest, IDLE_MS),
    restMaxBytes,
    ticket: subtract(perTicket(loadedCost, tickets), perSecond(rest, IDLE_MS), secondsPerTicket),
    serviceCallsPerSecond: calls / (IDLE_MS / MS_PER_SECOND),
    confirmationAgeMs: {median: quantile(ages, 0.5), max: Math.max(...ages)},
  };
}

/** Approves a ticket; milliseconds until the last process has it in force. */
async function measurePropagationMs(
  fleet: Fleet,
  clock: VirtualClock,
  index: number,
): Promise<number> {
  const startedAtMs = clock.now();
  const state = {type: 'engine', slots: index + 1};
  const {number} = await fleet.decide([{kind: 'endpointSet', name: 'engines', state}]);
  await clock.advance(TICKET_INTERVAL_MS);
  const arrivals = fleet.nodes.map(({appliedHeads}) => {
    const step = appliedHeads.find((each) => each.number >= number);
    return step === undefined ? Number.POSITIVE_INFINITY : step.atMs - startedAtMs;
  });
  return Math.max(...arrivals);
}

function checkConverged(fleet: Fleet): void {
  const violation = findViolation(fleet);
  if (violation !== undefined) throw new Error(violation);
  const outdated = findOutdated(fleet);
  if (outdated.length > 0) throw new Error(`${outdated.join(', ')} did not get the last ticket`);
}

async function measureCost(
  fleet: Fleet,
  clock: VirtualClock,
  durationMs: number,
  rounds: number,
  round?: () => Promise<void>,
): Promise<Cost> {
  const before = sumTraffic(fleet);
  const cpuBefore = process.cpuUsage();
  for (let index = 0; index < rounds; index += 1) {
    if (round === undefined) await clock.advance(durationMs / rounds);
    else await round();
  }
  const cpu = process.cpuUsage(cpuBefore);
  const after = sumTraffic(fleet);
  const count = fleet.nodes.length;
  const messages = (after.messages - before.messages) / count;
  const bytes = (after.bytes - before.bytes) / count + messages * PACKET_OVERHEAD_BYTES;
  return {messages, bytes, cpuUs: (cpu.user + cpu.system) / count};
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

function perSecond({messages, bytes, cpuUs}: Cost, durationMs: number): Cost {
  const seconds = durationMs / MS_PER_SECOND;
  return {messages: messages / seconds, bytes: bytes / seconds, cpuUs: cpuUs / seconds};
}

function perTicket({messages, bytes, cpuUs}: Cost, tickets: number): Cost {
  return {messages: messages / tickets, bytes: bytes / tickets, cpuUs: cpuUs / tickets};
}

function subtract(a: Cost, b: Cost, times: number): Cost {
  return {
    messages: a.messages - b.messages * times,
    bytes: a.bytes - b.bytes * times,
    cpuUs: a.cpuUs - b.cpuUs * times,
  };
}

function quantile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length * fraction)] ?? mean(values);
}
