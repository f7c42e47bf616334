/** Runs all policies and baselines of an experiment on the same requests. */
import {createArrivals} from './arrivals.js';
import {evaluateExpectations, type ExpectationResult, type PolicyRun} from './expectations.js';
import type {Experiment} from './experiment.js';
import type {Violation} from './invariants.js';
import type {PolicyResult} from './measures.js';
import {findPolicy, type PolicyName} from './policies.js';
import {simulate} from './simulation.js';

/** The result as `--json` writes it. */
export interface ExperimentResult {
  readonly experiment: string;
  readonly seed: number;
  readonly policies: Readonly<Record<string, PolicyResult>>;
}

/** A violation with the policy that it happened under. */
export interface PolicyViolation extends Violation {
  readonly policy: string;
}

/** Everything that a run of an experiment gives. */
export interface ExperimentOutcome {
  readonly result: ExperimentResult;
  readonly expectationResults: readonly ExpectationResult[];
  readonly violations: readonly PolicyViolation[];
}

/** What a run needs. */
export interface ExperimentOptions {
  readonly experiment: Experiment;
  readonly seed: number;
  /** Called with the part of the work that is done. */
  readonly onProgress?: (part: number, policy: string) => void;
}

interface PlannedRun {
  readonly name: string;
  readonly policy: PolicyName;
  readonly experiment: Experiment;
}

/** Policies without the mechanism that keeps urgent work first; what they do to it is measured only. */
const policiesIgnoringTiers: ReadonlySet<PolicyName> = new Set(['naive', 'without-preemption']);

/** Runs an experiment. */
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
      onProgress: (part) => onProgress?.((index + part) / plans.length, plan.name),
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
    const classes = experiment.classes.filter((one) => onlyClasses?.includes(one.name) ?? true);
    const faults = withoutFaults ? [] : experiment.faults;
    plans.push({name, policy, experiment: {...experiment, classes, faults}});
  }
  return plans;
}
