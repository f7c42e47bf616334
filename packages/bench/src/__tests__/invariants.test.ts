import {refusal} from '@marigoldfold/protocol';
import {VirtualClock} from '@marigoldfold/runtime';
import {describe, expect, it} from 'vitest';
import type {AgentModel, Attempt} from '../agentModel.js';
import {type Arrival, createArrivals, experimentSchema} from '../index.js';
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

function firstOf(tier: number): Arrival {
  return arrivals.find((one) => one.requestClass.tier === tier)!;
}

const urgent = firstOf(0);
const bulk = firstOf(6);

function attempt(arrival: Arrival, state: Attempt['state']): Attempt {
  return {arrival, tier: arrival.requestClass.tier, state, generated: 0};
}

function agentWith(...attempts: readonly Attempt[]): AgentModel {
  return {name: 'models-1', canPause: true, attempts} as unknown as AgentModel;
}

function rules(check: (checker: InvariantChecker) => void): readonly string[] {
  const checker = new InvariantChecker(new VirtualClock());
  check(checker);
  return checker.violations.map(({rule}) => rule);
}

describe('InvariantChecker', () => {
  it('finds urgent work that is refused while a lower tier runs, or waits in a full queue', () => {
    const late = refusal('target_unreachable', 'too late');
    const full = refusal('overloaded', 'full');
    const running = agentWith(attempt(bulk, 'running'));
    const queued = agentWith(attempt(bulk, 'queued'));
    const refuse = (agent: AgentModel, arrival: Arrival, failure = late) =>
      rules((checker) => {
        checker.onShed(agent, arrival, failure);
      });
    expect(refuse(running, urgent)).toEqual(['urgent-first']);
    expect(refuse(queued, urgent, full)).toEqual(['urgent-first']);
    expect(refuse(queued, urgent)).toEqual([]);
    expect(refuse(agentWith(attempt(urgent, 'running')), bulk)).toEqual([]);
  });

  it('finds work that is preempted for a lower tier', () => {
    const preempt = (victim: Arrival, beneficiary: Arrival) =>
      rules((checker) => {
        checker.onPreempted(
          agentWith(),
          attempt(victim, 'running'),
          attempt(beneficiary, 'queued'),
        );
      });
    expect(preempt(urgent, bulk)).toEqual(['urgent-first']);
    expect(preempt(bulk, urgent)).toEqual([]);
  });

  it('finds tokens that are missing, doubled or too many', () => {
    const receive = (...numbers: readonly number[]) =>
      rules((checker) => {
        for (const number of numbers) checker.onToken(urgent, number);
        checker.onFinished(urgent);
      });
    expect(receive(1, 2, 3)).toEqual([]);
    expect(receive(1, 2)).toEqual(['answers-whole']);
    expect(receive(1, 1, 2, 3)).toContain('answers-whole');
    expect(receive(1, 3)).toContain('answers-whole');
    expect(receive(1, 2, 3, 4)).toContain('answers-whole');
  });

  it('finds a refusal that did work, and a request that never ends, with what happened to it', () => {
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
