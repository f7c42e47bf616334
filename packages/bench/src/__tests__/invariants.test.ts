import {refusal} from '@marigoldfold/protocol';
import {VirtualClock} from '@marigoldfold/runtime';
import {describe, expect, it} from 'vitest';
import type {AgentModel, Attempt} from '../agentModel.js';
import {type RequestArrival, createArrivals, experimentSchema} from '../index.js';
import {InvariantChecker} from '../invariants.js';

const experiment = experimentSchema.parse({
  name: 'two-tiers',
  durationS: 5,
  endpoints: [{set: 'models', count: 1, slots: 1}],
  classes: [0, 6].map((tier) => ({
    name: `tier-${tier}`,
    tier,
    endpointSet: 'models',
    arrivals: {requestsPerSecond: 2},
    outputTokens: {kind: 'fixed', value: 3},
  })),
});
const arrivals = createArrivals(experiment, 1);

function firstArrival(tier: number): RequestArrival {
  return arrivals.find((arrival) => arrival.requestClass.tier === tier)!;
}

const urgent = firstArrival(0);
const bulk = firstArrival(6);

function createAttempt(arrival: RequestArrival, state: Attempt['state']): Attempt {
  return {arrival, tier: arrival.requestClass.tier, state, generated: 0};
}

function createAgent(...attempts: readonly Attempt[]): AgentModel {
  return {name: 'models-1', canPause: true, attempts} as unknown as AgentModel;
}

function violatedRules(check: (checker: InvariantChecker) => void): readonly string[] {
  const checker = new InvariantChecker(new VirtualClock());
  check(checker);
  return checker.violations.map(({rule}) => rule);
}

describe('InvariantChecker', () => {
  it('reports an urgent request that is refused while a lower tier runs or fills the queue', () => {
    const late = refusal('target_unreachable', 'too late');
    const full = refusal('overloaded', 'full');
    const running = createAgent(createAttempt(bulk, 'running'));
    const queued = createAgent(createAttempt(bulk, 'queued'));
    const refuse = (agent: AgentModel, arrival: RequestArrival, failure = late) =>
      violatedRules((checker) => {
        checker.onShed(agent, arrival, failure);
      });
    expect(refuse(running, urgent)).toEqual(['urgent-first']);
    expect(refuse(queued, urgent, full)).toEqual(['urgent-first']);
    expect(refuse(queued, urgent)).toEqual([]);
    expect(refuse(createAgent(createAttempt(urgent, 'running')), bulk)).toEqual([]);
  });

  it('reports a request that is preempted for a lower tier', () => {
    const preempt = (victim: RequestArrival, beneficiary: RequestArrival) =>
      violatedRules((checker) => {
        checker.onPreempted(
          createAgent(),
          createAttempt(victim, 'running'),
          createAttempt(beneficiary, 'queued'),
        );
      });
    expect(preempt(urgent, bulk)).toEqual(['urgent-first']);
    expect(preempt(bulk, urgent)).toEqual([]);
  });

  it('reports missing, duplicate and surplus tokens', () => {
    const receive = (...numbers: readonly number[]) =>
      violatedRules((checker) => {
        for (const number of numbers) checker.onToken(urgent, number);
        checker.onFinished(urgent);
      });
    expect(receive(1, 2, 3)).toEqual([]);
    expect(receive(1, 2)).toEqual(['answers-whole']);
    expect(receive(1, 1, 2, 3)).toContain('answers-whole');
    expect(receive(1, 3)).toContain('answers-whole');
    expect(receive(1, 2, 3, 4)).toContain('answers-whole');
  });

  it('reports a refusal after a start and a request that never ends, with their traces', () => {
    const checker = new InvariantChecker(new VirtualClock());
    checker.recordEvent(urgent.id, 'models-1: started');
    checker.onStarted(urgent);
    checker.onFailed(urgent, refusal('overloaded', 'full'));
    checker.onEnd([urgent, bulk]);
    expect(checker.violations.map(({rule, request}) => `${rule} ${request}`)).toEqual([
      `not-run-did-no-work ${urgent.id}`,
      `admitted-finishes ${bulk.id}`,
    ]);
    expect(checker.violations[0]?.trace[0]).toBe('0.0 ms models-1: started');
  });
});
