/** Computes the figures of the capacity page from measured slopes and the design size. */
import type {SlopeReport} from '../slopes/slope.js';
import {capacityDesign, limits, designLoadPerNode} from './design.js';

/** A computed quantity of the capacity page, shown as one row of a table. */
export interface CapacityFigure {
  readonly item: string;
  /** Text of the formula that gives the value, with the ids of the slopes that it uses. */
  readonly formula: string;
  readonly value: number;
  readonly unit: string;
}

/** A cost of an entry or agent, such as processor time, with its components and the maximum for their sum. */
export interface CapacityBudget {
  readonly title: string;
  readonly parts: readonly CapacityFigure[];
  readonly sum: number;
  readonly unit: string;
  readonly limit: number;
  readonly isWithinLimit: boolean;
}

const PROBES_PER_SECOND = 8;
const MEBIBYTE = 1024 * 1024;

/** Evaluates slopes by id; throws for an id that was not measured. */
export class CostSlopeTable {
  constructor(private readonly report: SlopeReport) {}

  /** Cost that the fitted line of a slope gives for a size. */
  at(id: string, size: number): number {
    const {intercept, slope} = this.#find(id);
    return intercept + slope * size;
  }

  /** Cost for a size minus the cost for size zero. */
  growth(id: string, size: number): number {
    return this.#find(id).slope * size;
  }

  /** Resident memory in bytes of a process with an idle entry. */
  get idleResidentBytes(): number {
    return this.report.idleResidentBytes;
  }

  #find(id: string) {
    const found = this.report.slopes.find((slope) => slope.id === id);
    if (found === undefined) throw new Error(`slope ${id} was not measured`);
    return found;
  }
}

function createBudget(
  title: string,
  unit: string,
  limit: number,
  parts: readonly CapacityFigure[],
): CapacityBudget {
  const sum = parts.reduce((total, {value}) => total + value, 0);
  return {title, parts, sum, unit, limit, isWithinLimit: sum <= limit};
}

function createFigure(item: string, formula: string, value: number, unit: string): CapacityFigure {
  return {item, formula, value, unit};
}

/** Control-plane budgets of one entry: processor time, bytes and memory. */
export function computeEntryBudgets(table: CostSlopeTable): readonly CapacityBudget[] {
  const {peers, streams, requests} = designLoadPerNode.entry;
  const {ticketsPerSecond, instances} = designLoadPerNode;
  const ms = (item: string, formula: string, value: number) =>
    createFigure(item, formula, value, 'ms/s');
  const bytes = (item: string, formula: string, value: number) =>
    createFigure(item, formula, value, 'B/s');
  const envelopeBytes =
    table.at('entry.request.linkBytes/tiers', capacityDesign.tiers) -
    table.at('entry.request.callerBytes/tiers', capacityDesign.tiers);
  return [
    createBudget('processor time', 'ms/s', limits.cpuMsPerSecond, [
      ms(
        'at rest',
        `entry.rest.cpuMsPerSecond/peers at ${peers}`,
        table.at('entry.rest.cpuMsPerSecond/peers', peers),
      ),
      ms(
        'probes',
        `${PROBES_PER_SECOND}/s × entry.probe.cpuMs/peers at ${peers}`,
        PROBES_PER_SECOND * table.at('entry.probe.cpuMs/peers', peers),
      ),
      ms(
        'tickets',
        `${ticketsPerSecond.toFixed(3)}/s × entry.ticket.cpuMs/accounts at ${capacityDesign.accounts}`,
        ticketsPerSecond * table.at('entry.ticket.cpuMs/accounts', capacityDesign.accounts),
      ),
    ]),
    createBudget('bytes', 'B/s', limits.bytesPerSecond, [
      bytes(
        'at rest, to agents',
        `entry.rest.agentBytesPerSecond/peers at ${peers}`,
        table.at('entry.rest.agentBytesPerSecond/peers', peers),
      ),
      bytes(
        'at rest, list of instances and watch',
        `entry.rest.platformBytesPerSecond/instances at ${instances}`,
        table.at('entry.rest.platformBytesPerSecond/instances', instances),
      ),
      bytes(
        'probes',
        `${PROBES_PER_SECOND}/s × entry.probe.bytes/peers at ${peers}`,
        PROBES_PER_SECOND * table.at('entry.probe.bytes/peers', peers),
      ),
      bytes(
        'tickets',
        `${ticketsPerSecond.toFixed(3)}/s × entry.ticket.bytes/accounts at ${capacityDesign.accounts}`,
        ticketsPerSecond * table.at('entry.ticket.bytes/accounts', capacityDesign.accounts),
      ),
      bytes(
        'envelopes and load reports of requests',
        `${requests.toFixed(1)}/s × (entry.request.linkBytes/tiers − entry.request.callerBytes/tiers) at ${capacityDesign.tiers}`,
        requests * envelopeBytes,
      ),
    ]),
    memoryBudget(table, 'entry', {peers, streams}),
  ];
}

/** Control-plane budgets of one agent: processor time, bytes and memory. */
export function computeAgentBudgets(table: CostSlopeTable): readonly CapacityBudget[] {
  const {peers, streams, requests} = designLoadPerNode.agent;
  const {ticketsPerSecond} = designLoadPerNode;
  const probes = (PROBES_PER_SECOND * capacityDesign.entries) / capacityDesign.agents;
  const ms = (item: string, formula: string, value: number) =>
    createFigure(item, formula, value, 'ms/s');
  const bytes = (item: string, formula: string, value: number) =>
    createFigure(item, formula, value, 'B/s');
  const envelopeBytes =
    table.at('agent.request.linkBytes/tiers', capacityDesign.tiers) -
    table.at('entry.request.callerBytes/tiers', capacityDesign.tiers);
  const at = (id: string, size: number) => `${id} at ${size.toFixed(0)}`;
  const rate = ticketsPerSecond.toFixed(3);
  return [
    createBudget('processor time', 'ms/s', limits.cpuMsPerSecond, [
      ms(
        'at rest',
        at('agent.rest.cpuMsPerSecond/peers', peers),
        table.at('agent.rest.cpuMsPerSecond/peers', peers),
      ),
      ms(
        'probes',
        `${probes.toFixed(2)}/s × ${at('agent.probe.cpuMs/peers', peers)}`,
        probes * table.at('agent.probe.cpuMs/peers', peers),
      ),
      ms(
        'tickets',
        `${rate}/s × ${at('agent.ticket.cpuMs/accounts', capacityDesign.accounts)}`,
        ticketsPerSecond * table.at('agent.ticket.cpuMs/accounts', capacityDesign.accounts),
      ),
    ]),
    createBudget('bytes', 'B/s', limits.bytesPerSecond, [
      bytes(
        'at rest, to entries',
        at('agent.rest.entryBytesPerSecond/peers', peers),
        table.at('agent.rest.entryBytesPerSecond/peers', peers),
      ),
      bytes(
        'at rest, platform',
        at('agent.rest.platformBytesPerSecond/peers', peers),
        table.at('agent.rest.platformBytesPerSecond/peers', peers),
      ),
      bytes(
        'probes',
        `${probes.toFixed(2)}/s × ${at('agent.probe.bytes/peers', peers)}`,
        probes * table.at('agent.probe.bytes/peers', peers),
      ),
      bytes(
        'tickets',
        `${rate}/s × ${at('agent.ticket.bytes/accounts', capacityDesign.accounts)}`,
        ticketsPerSecond * table.at('agent.ticket.bytes/accounts', capacityDesign.accounts),
      ),
      bytes(
        'envelopes and load reports of requests',
        `${requests.toFixed(2)}/s × (agent.request.linkBytes/tiers − entry.request.callerBytes/tiers) at ${capacityDesign.tiers}`,
        requests * envelopeBytes,
      ),
    ]),
    memoryBudget(table, 'agent', {peers, streams}),
  ];
}

interface NodeSize {
  readonly peers: number;
  readonly streams: number;
}

function memoryBudget(
  table: CostSlopeTable,
  role: 'entry' | 'agent',
  {peers, streams}: NodeSize,
): CapacityBudget {
  const part = (item: string, size: string, count: number) => {
    const id = `${role}.heapBytes/${size}`;
    const value = table.growth(id, count) / MEBIBYTE;
    return createFigure(item, `slope of ${id} × ${count.toFixed(0)}`, value, 'MiB');
  };
  return createBudget('memory', 'MiB', limits.residentBytes / MEBIBYTE, [
    createFigure('process at rest', 'idleResidentBytes', table.idleResidentBytes / MEBIBYTE, 'MiB'),
    part('client accounts', 'accounts', capacityDesign.accounts),
    part('connections of peers', 'peers', peers),
    part('open streams', 'streams', streams),
  ]);
}

/** Processor time of forwarding requests and chunks, which is not control-plane overhead. */
export function computeTrafficFigures(table: CostSlopeTable): readonly CapacityFigure[] {
  const figures: CapacityFigure[] = [];
  for (const role of ['entry', 'agent'] as const) {
    const {requests, chunks, streams} = designLoadPerNode[role];
    const requestId = `${role}.request.cpuMs/tiers`;
    const chunkId = `${role}.chunk.cpuMs/streams`;
    figures.push(
      createFigure(
        `${role}: requests`,
        `${requests.toFixed(2)}/s × ${requestId} at ${capacityDesign.tiers}`,
        requests * table.at(requestId, capacityDesign.tiers),
        'ms/s',
      ),
      createFigure(
        `${role}: chunks`,
        `${chunks.toFixed(0)}/s × ${chunkId} at ${streams.toFixed(0)}`,
        chunks * table.at(chunkId, streams),
        'ms/s',
      ),
    );
  }
  return figures;
}

/** Rates of calls that the platform's key-value service would receive if every process watched it. */
export function computeServiceFigures(): readonly CapacityFigure[] {
  const {instances, ticketsPerSecond} = designLoadPerNode;
  const callsPerWake = 3;
  return [
    createFigure('waiting watches', 'entries + agents', instances, 'calls'),
    createFigure(
      'calls in the seconds after a ticket',
      `${callsPerWake} × (entries + agents) ÷ ${limits.ticketSeconds} s`,
      (callsPerWake * instances) / limits.ticketSeconds,
      'calls/s',
    ),
    createFigure('writes of tickets', '2 × tickets a second', 2 * ticketsPerSecond, 'writes/s'),
  ];
}
