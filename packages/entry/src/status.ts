/** Queries the status of the listed instances. */
import type {ConfigurationFeed, InstanceFeed, PeerConnections} from '@marigoldfold/coordination';
import {
  type ConfigurationStatus,
  configurationStatusMethod,
  type Instance,
} from '@marigoldfold/protocol';
import type {AgentClient} from './agentClient.js';
import type {InstanceStatus, Staleness, Status} from './operatorMessages.js';

/** Feeds and peer connections for a status query, and the ticket that it is about. */
export interface StatusOptions {
  readonly instance: string;
  readonly feed: ConfigurationFeed;
  readonly instances: InstanceFeed;
  readonly peers: Pick<PeerConnections, 'connection'>;
  readonly agentClientFor: (instance: Instance) => AgentClient;
  /** Ticket whose time of taking effect is queried; the newest when undefined. */
  readonly ticket: number | undefined;
}

/** Instances whose configuration was confirmed longer ago are reported as unconfirmed; they may lack tickets. */
const MAX_CONFIRMATION_AGE_MS = 4000;

/** Queries the applied configuration of every listed instance and compares it with the newest one. */
export async function gatherStatus(options: StatusOptions): Promise<Status> {
  const {instance, feed, instances} = options;
  const ticket = options.ticket ?? feed.head.number;
  const ownStatus = feed.status(ticket);
  const reports = await Promise.all(
    instances.list.instances.map((listed) => queryInstance(listed, ticket, options)),
  );
  const newest = findNewest([ownStatus, ...reports]);
  return {
    instance,
    ...describeConfiguration(ownStatus),
    instances: reports.map((report) => ({...report, staleness: classifyStaleness(report, newest)})),
  };
}

/** Status of an instance before the comparison with the others. */
type InstanceReport = Omit<InstanceStatus, 'staleness'>;

interface AppliedConfiguration {
  readonly number?: number | undefined;
  readonly stateDigest?: string | undefined;
}

function findNewest(known: readonly AppliedConfiguration[]): AppliedConfiguration {
  let newest: AppliedConfiguration = {};
  for (const each of known) {
    if ((each.number ?? -1) > (newest.number ?? -1)) newest = each;
  }
  return newest;
}

/** Digests are compared only at equal numbers, where a difference is caused by a defect and not by a delay. */
function classifyStaleness(report: InstanceReport, newest: AppliedConfiguration): Staleness {
  if (report.number === undefined) return 'unknown';
  if (report.number !== newest.number) return 'behind';
  if (report.stateDigest !== newest.stateDigest) return 'differs';
  if ((report.confirmationAgeMs ?? Number.POSITIVE_INFINITY) > MAX_CONFIRMATION_AGE_MS) {
    return 'unconfirmed';
  }
  return 'current';
}

async function queryInstance(
  listed: Instance,
  ticket: number,
  {instance, feed, agentClientFor, peers}: StatusOptions,
): Promise<InstanceReport> {
  const {name, role, endpoint, failureDomain, state} = listed;
  const report = {name, role, failureDomain, state, ...(endpoint === undefined ? {} : {endpoint})};
  if (name === instance) return {...report, ...describeConfiguration(feed.status(ticket))};
  const [inForce, load] = await Promise.all([
    peers.connection(listed).call(configurationStatusMethod, {ticket}),
    role === 'agent' ? agentClientFor(listed).probe() : undefined,
  ]);
  if (inForce.isErr()) return {...report, state: 'unreachable'};
  const configured = {...report, ...describeConfiguration(inForce.value)};
  if (load === undefined || load.isErr()) return configured;
  const {running, queued, isLeaving} = load.value;
  return {
    ...configured,
    state: isLeaving ? 'leaving' : state,
    running: sum(running),
    queued: sum(queued),
  };
}

function describeConfiguration({number, stateDigest, ageMs, inForceAtMs}: ConfigurationStatus) {
  return {
    number,
    stateDigest,
    ...(ageMs === null ? {} : {confirmationAgeMs: ageMs}),
    ...(inForceAtMs === null ? {} : {inForceAtMs}),
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
