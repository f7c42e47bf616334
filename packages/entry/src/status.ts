/** Gathers the status of the instances that an entry knows. */
import type {ConfigurationFeed, InstanceFeed} from '@marigoldfold/coordination';
import type {Instance} from '@marigoldfold/protocol';
import type {AgentLink} from './agentLink.js';
import type {InstanceStatus, Status} from './operatorMessages.js';

/** What a status needs. */
export interface StatusOptions {
  readonly instance: string;
  readonly feed: ConfigurationFeed;
  readonly instances: InstanceFeed;
  readonly linkTo: (instance: Instance) => AgentLink;
}

/** Asks every listed agent and describes what is in force where. */
export async function gatherStatus(options: StatusOptions): Promise<Status> {
  const {instance, feed, instances, linkTo} = options;
  const lines = await Promise.all(
    instances.list.instances.map((listed) => describe(listed, options, linkTo)),
  );
  const {number, configuration} = feed.head;
  const age = feed.confirmationAgeMs;
  return {
    instance,
    number,
    stateDigest: configuration.digest,
    ...(age === undefined ? {} : {confirmationAgeMs: age}),
    instances: lines,
  };
}

async function describe(
  listed: Instance,
  {instance, feed}: StatusOptions,
  linkTo: (instance: Instance) => AgentLink,
): Promise<InstanceStatus> {
  const {name, role, endpoint, failureDomain, state} = listed;
  const line = {name, role, failureDomain, state, ...(endpoint === undefined ? {} : {endpoint})};
  if (name === instance) return {...line, number: feed.head.number};
  if (role === 'entry') return line;
  const load = await linkTo(listed).probe();
  if (load.isErr()) return {...line, state: 'unreachable'};
  const {configuration, running, queued, isLeaving} = load.value;
  return {
    ...line,
    state: isLeaving ? 'leaving' : state,
    number: configuration,
    running: sum(running),
    queued: sum(queued),
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
