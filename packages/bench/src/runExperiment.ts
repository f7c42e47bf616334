/** Runs all policies and baselines of an experiment with the same requests. */
import {createArrivals} from './arrivals.js';
import {evaluateExpectations, type ExpectationResult, type PolicyRun} from './expectations.js';
import type {Experiment} from './experiment.js';
import type {InvariantViolation} from './invariants.js';
import type {PolicyResult} from './measures.js';
import {findPolicy, type PolicyName} from './policies.js';
import {simulate} from './simulation.js';

/** The result that `--json` writes. */
export interface ExperimentResult {
  readonly experiment: string;
  readonly seed: number;
  readonly policies: Readonly<Record<string, PolicyResult>>;
}

/** A violation with the name of its policy or baseline. */
export interface PolicyViolation extends InvariantViolation {
  readonly policy: string;
}

/** Result, evaluated expectations and violations of an experiment. */
export interface ExperimentOutcome {
  readonly result: ExperimentResult;
  readonly expectationResults: readonly ExpectationResult[];
  readonly violations: readonly PolicyViolation[];
}

/** An experiment, its seed and an optional progress callback. */
export interface ExperimentOptions {
  readonly experiment: Experiment;
  readonly seed: number;
  /** Called with the completed fraction and the name of the current policy or baseline. */
  readonly onProgress?: (fraction: number, policy: string) => void;
}

interface PlannedRun {
  readonly name: string;
  readonly policy: PolicyName;
  readonly experiment: Experiment;
}

/** Policies without preemption by tier: delayed urgent requests are measured, not reported as violations. */
const policiesIgnoringTiers: ReadonlySet<PolicyName> = new Set(['naive', 'without-preemption']);

/** Simulates each policy and baseline of an experiment in turn, then evaluates the expectations. */
export function runExperiment(options: ExperimentOptions): ExperimentOutcome {
  const {experiment, seed, onProgress} = options;
  const plans = createPlans(experiment);
  const runs = new Map<string, PolicyRun>();
  const violations: PolicyViolation[] = [];
  const policies: Record<string, PolicyResult> = {};
  for (const [index, plan] of plans.entries()) {
    const {
      result,
      details,
      violations: found,
    } = simulate({
      experiment: plan.experiment,
      seed,
      policy: findPolicy(plan.policy),
      arrivals: createArrivals(plan.experiment, seed),
      onProgress: (fraction) => onProgress?.((index + fraction) / plans.length, plan.name),
    });
    runs.set(plan.name, {result, details});
    policies[plan.name] = result;
    for (const violation of found) {
      if (violation.rule === 'urgent-first' && policiesIgnoringTiers.has(plan.policy)) continue;
      violations.push({...violation, policy: plan.name});
    }
  }
  return {
    result: {experiment: experiment.name, seed, policies},
    expectationResults: evaluateExpectations(experiment.expect, runs),
    violations,
  };
}

function createPlans(experiment: Experiment): readonly PlannedRun[] {
  const plans: PlannedRun[] = experiment.policies.map((name) => ({name, policy: name, experiment}));
  for (const {name, policy, withoutFaults, onlyClasses} of experiment.baselines) {
    const classes = experiment.classes.filter(
      (requestClass) => onlyClasses?.includes(requestClass.name) ?? true,
    );
    const faults = withoutFaults ? [] : experiment.faults;
    plans.push({name, policy, experiment: {...experiment, classes, faults}});
  }
  return plans;
}
