import {describe, expect, it} from 'vitest';
import {parseExperiment, runExperiment} from '../index.js';

const text = `
name = "small"
durationS = 20
policies = ["marigoldfold", "naive"]

[[endpoints]]
set = "models"
count = 2
slots = 4

[[classes]]
name = "question"
tier = 0
endpointSet = "models"
firstTokenMs = 1800
outputTokens = {kind = "uniform", min = 10, max = 50}
arrivals = {requestsPerSecond = 5, bursts = [{atS = 5, durationS = 5, factor = 2}]}

[[classes]]
name = "score"
tier = 5
endpointSet = "models"
outputTokens = {kind = "fixed", value = 400}
arrivals = {requestsPerSecond = 1}

[[faults]]
kind = "crash"
endpoints = ["models-1"]
atS = 8
durationS = 4

[[expect]]
policy = "marigoldfold"
class = "question"
measure = "attainment"
atLeast = 2
`;

const experiment = parseExperiment(text)._unsafeUnwrap();

describe('runExperiment', () => {
  it('gives the same figures for the same seed', () => {
    const first = runExperiment({experiment, seed: 3});
    const second = runExperiment({experiment, seed: 3});
    expect(second.result).toEqual(first.result);
    const other = runExperiment({experiment, seed: 4});
    expect(other.result.policies).not.toEqual(first.result.policies);
  });

  it('sends the same requests under each policy and counts the end of each of them', () => {
    const {policies} = runExperiment({experiment, seed: 3}).result;
    const {marigoldfold, naive} = policies;
    for (const name of ['question', 'score']) {
      expect(marigoldfold!.classes[name]!.offered).toBe(naive!.classes[name]!.offered);
    }
    for (const {classes} of Object.values(policies)) {
      for (const classResult of Object.values(classes)) {
        expect(
          classResult.attained + classResult.late + classResult.refused + classResult.failed,
        ).toBe(classResult.offered);
      }
    }
  });

  it('counts the work lost in a crash as wasted under every policy', () => {
    const {policies} = runExperiment({experiment, seed: 3}).result;
    for (const {wastedTokens} of Object.values(policies)) expect(wastedTokens).toBeGreaterThan(0);
  });

  it('violates no invariant and reports the expectation that is not met', () => {
    const {expectationResults, violations} = runExperiment({experiment, seed: 3});
    expect(violations).toEqual([]);
    expect(expectationResults.map(({holds}) => holds)).toEqual([false]);
  });
});

describe('parseExperiment', () => {
  it('reports all invalid keys at once', () => {
    const invalid = text
      .replace('durationS = 20', 'durationS = -1')
      .replace('endpointSet = "models"', 'endpointSet = "nodels"')
      .replace('endpoints = ["models-1"]', 'endpoints = ["models-9"]')
      .replace('tier = 5', 'tier = 9');
    const keys = parseExperiment(invalid)
      ._unsafeUnwrapErr()
      .map(({key}) => key);
    expect(keys).toContain('durationS');
    expect(keys).toContain('classes.1.tier');
    const names = parseExperiment(
      text
        .replace('endpointSet = "models"', 'endpointSet = "nodels"')
        .replace('endpoints = ["models-1"]', 'endpoints = ["models-9"]'),
    )
      ._unsafeUnwrapErr()
      .map(({key}) => key);
    expect(names).toEqual(['classes.0.endpointSet', 'faults.0.endpoints.0']);
  });
});
