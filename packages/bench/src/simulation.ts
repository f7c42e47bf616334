/** Runs the requests of an experiment through simulated entries and agents on a virtual clock. */
import {type TierShares, computeTierShares, WorkQueue} from '@marigoldfold/agent';
import {AccountHome, AccountLimits, EntryDirectory} from '@marigoldfold/coordination';
import type {Instance} from '@marigoldfold/protocol';
import {VirtualClock} from '@marigoldfold/runtime';
import {type Change, Configuration} from '@marigoldfold/state';
import {AgentModel} from './agentModel.js';
import {type RequestArrival, createRandomForPurpose} from './arrivals.js';
import {EngineModel} from './engineModel.js';
import {EntryModel} from './entryModel.js';
import {type EndpointGroup, listEndpointNames, type Experiment} from './experiment.js';
import {FirstComeQueue, type RequestQueue} from './firstComeQueue.js';
import {InvariantChecker, type InvariantViolation} from './invariants.js';
import {type MeasuresByClass, RunMeasurements, type PolicyResult} from './measures.js';
import type {Policy} from './policies.js';
import {ServiceModel} from './serviceModel.js';

/** An experiment, its requests and the policy to run them under. */
export interface SimulationOptions {
  readonly experiment: Experiment;
  readonly seed: number;
  readonly policy: Policy;
  readonly arrivals: readonly RequestArrival[];
  /** Called periodically with the elapsed fraction of the arrival period. */
  readonly onProgress?: (fraction: number) => void;
}

/** Measurements and invariant violations of the run of one policy. */
export interface SimulationOutcome {
  readonly result: PolicyResult;
  readonly details: MeasuresByClass;
  readonly violations: readonly InvariantViolation[];
}

const MS_PER_SECOND = 1000;
/** A request that has not ended this long after the arrival period counts as never ending. */
const COMPLETION_LIMIT_MS = 3_600_000;
const PROGRESS_STEPS = 50;
const REGION = 'region';

/** Runs the requests under one policy, then waits up to an hour (virtual time) for unfinished ones. */
export function simulate(options: SimulationOptions): SimulationOutcome {
  const {experiment, arrivals, onProgress} = options;
  const durationMs = experiment.durationS * MS_PER_SECOND;
  const clock = new VirtualClock();
  const checker = new InvariantChecker(clock);
  const measures = new RunMeasurements(durationMs);
  const agents = createAgents(options, {clock, checker, measures});
  const entries = createEntries(options, {clock, checker, measures, agents});
  scheduleFaults(experiment, clock, agents);
  for (const arrival of arrivals) {
    clock.schedule(arrival.atMs, () => entries[arrival.entry]?.accept(arrival));
  }
  for (let step = 1; step <= PROGRESS_STEPS; step += 1) {
    runUntil(clock, (durationMs * step) / PROGRESS_STEPS);
    onProgress?.(step / PROGRESS_STEPS);
  }
  runUntil(clock, durationMs + COMPLETION_LIMIT_MS);
  for (const agent of agents.values()) measures.recomputedTokens += agent.backend.recomputedTokens;
  checker.onEnd(arrivals);
  return {
    result: measures.result(),
    details: measures.details(),
    violations: checker.violations,
  };
}

function runUntil(clock: VirtualClock, limitMs: number): void {
  while (clock.step(limitMs));
}

function createAgents(
  {experiment, policy}: SimulationOptions,
  parts: Omit<SharedParts, 'agents'>,
): ReadonlyMap<string, AgentModel> {
  const {clock} = parts;
  const agents = new Map<string, AgentModel>();
  const configuration = createConfiguration(experiment);
  for (const group of experiment.endpoints) {
    const shares = computeTierShares(configuration, group.set);
    for (const name of listEndpointNames(group)) {
      const agent = new AgentModel({
        ...parts,
        name,
        backend:
          group.type === 'engine' ? new EngineModel({clock, ...group}) : new ServiceModel(clock),
        createQueue: () => createQueue(group, policy, clock, shares),
        setsPriority: policy.setsPriority,
        canPause: group.type === 'engine',
      });
      agents.set(name, agent);
    }
  }
  return agents;
}

function createQueue(
  {type, slots, queueCapacity}: EndpointGroup,
  {queue, tuning, guaranteesShares}: Policy,
  clock: VirtualClock,
  shares: TierShares,
): RequestQueue {
  if (queue === 'first-come') return new FirstComeQueue(slots);
  return new WorkQueue({
    clock,
    slots,
    capacity: queueCapacity,
    canPause: type === 'engine',
    guaranteedShares: () => (guaranteesShares ? shares : []),
    tuning,
  });
}

interface SharedParts {
  readonly clock: VirtualClock;
  readonly checker: InvariantChecker;
  readonly measures: RunMeasurements;
  readonly agents: ReadonlyMap<string, AgentModel>;
}

function createEntries(
  {experiment, policy, seed}: SimulationOptions,
  parts: SharedParts,
): readonly EntryModel[] {
  const configuration = createConfiguration(experiment);
  const instances = createInstances(experiment);
  const limits = createAccountLimits(configuration, parts.clock);
  return Array.from({length: experiment.entries}, (_, index) => {
    const name = `entry-${index + 1}`;
    return new EntryModel({
      ...parts,
      name,
      random: createRandomForPurpose(seed, `choices of ${name}`),
      policy,
      configuration,
      instances,
      limits,
      networkMs: experiment.networkMs,
      reportLagMs: (agent) => reportLagMs(experiment, agent, parts.clock.now()),
    });
  });
}

/** Account limits shared by all simulated entries, held by a directory with a single entry. */
function createAccountLimits(configuration: Configuration, clock: VirtualClock): AccountLimits {
  const directory = new EntryDirectory(clock, 'entry-1', REGION);
  const accountOf = (name: string) => configuration.get('account', name);
  const home = new AccountHome({clock, directory, accountOf});
  const call = () => Promise.resolve(undefined);
  return new AccountLimits({clock, directory, home, call, accountOf});
}

function createInstances({endpoints, failureDomains}: Experiment): readonly Instance[] {
  return endpoints.flatMap(listEndpointNames).map((endpoint, index) => ({
    name: endpoint,
    role: 'agent',
    address: `${endpoint}:1`,
    failureDomain: failureDomains[index % failureDomains.length] ?? '',
    region: REGION,
    endpoint,
    state: 'live',
  }));
}

function createConfiguration(experiment: Experiment): Configuration {
  const changes: Change[] = [];
  for (const group of experiment.endpoints) {
    changes.push({kind: 'endpointSet', name: group.set, state: createEndpointSet(group)});
    for (const name of listEndpointNames(group)) {
      changes.push({kind: 'endpoint', name, state: {set: group.set}});
    }
  }
  for (const requestClass of experiment.classes) {
    const {name, tier, firstTokenMs, interTokenMs, completionMs} = requestClass;
    const {guaranteedShare, typicalOutputTokens, endpointSet: set} = requestClass;
    const state = {
      tier,
      firstTokenMs,
      interTokenMs,
      completionMs,
      guaranteedShare,
      typicalOutputTokens,
      endpointSets: [set],
    };
    changes.push({kind: 'class', name, state: JSON.parse(JSON.stringify(state))});
  }
  if (experiment.accountLimits !== undefined) {
    for (let index = 1; index <= experiment.accounts; index += 1) {
      const state = {
        keyDigests: ['0'.repeat(64)],
        classes: experiment.classes.map(({name}) => name),
        defaultClass: experiment.classes[0]?.name,
        ...experiment.accountLimits,
      };
      changes.push({kind: 'account', name: `account-${index}`, state});
    }
  }
  return Configuration.empty.apply(changes, 1);
}

function createEndpointSet({set, type, slots}: EndpointGroup) {
  if (type === 'service') return {type, service: set, slots};
  return {type, models: ['model'], slots};
}

function scheduleFaults(
  {faults}: Experiment,
  clock: VirtualClock,
  agents: ReadonlyMap<string, AgentModel>,
): void {
  for (const fault of faults) {
    const startMs = fault.atS * MS_PER_SECOND;
    const endMs = startMs + fault.durationS * MS_PER_SECOND;
    for (const name of fault.endpoints) {
      const agent = agents.get(name);
      if (agent === undefined || fault.kind === 'late-reports') continue;
      if (fault.kind === 'crash') {
        clock.schedule(startMs, () => {
          agent.crash();
        });
        clock.schedule(endMs, () => {
          agent.restart();
        });
        continue;
      }
      clock.schedule(startMs, () => {
        agent.backend.setSlowdown(fault.factor);
      });
      clock.schedule(endMs, () => {
        agent.backend.setSlowdown(1);
      });
    }
  }
}

function reportLagMs({faults}: Experiment, agent: string, nowMs: number): number {
  let lagMs = 0;
  for (const fault of faults) {
    if (fault.kind !== 'late-reports' || !fault.endpoints.includes(agent)) continue;
    const startMs = fault.atS * MS_PER_SECOND;
    if (nowMs < startMs || nowMs >= startMs + fault.durationS * MS_PER_SECOND) continue;
    lagMs = Math.max(lagMs, fault.lagMs);
  }
  return lagMs;
}
