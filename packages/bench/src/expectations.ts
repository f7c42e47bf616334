/** Evaluates the expectations of an experiment against its result. */
import type {ExperimentExpectation, MeasureSelector} from './experiment.js';
import type {MeasuresByClass, PolicyResult} from './measures.js';

/** An expectation as text, its measured value and whether it is met. */
export interface ExpectationResult {
  readonly text: string;
  readonly measured: number;
  readonly holds: boolean;
}

/** The result of one policy or baseline, with the figures that only expectations use. */
export interface PolicyRun {
  readonly result: PolicyResult;
  readonly details: MeasuresByClass;
}

/** Evaluates each expectation; one on a missing run or class has the value NaN and is not met. */
export function evaluateExpectations(
  expectations: readonly ExperimentExpectation[],
  runs: ReadonlyMap<string, PolicyRun>,
): readonly ExpectationResult[] {
  return expectations.map((expectation) => evaluateExpectation(expectation, runs));
}

function evaluateExpectation(
  expectation: ExperimentExpectation,
  runs: ReadonlyMap<string, PolicyRun>,
): ExpectationResult {
  const {atLeast, atMost, of} = expectation;
  const referenceValue = of === undefined ? 1 : measuredValue(of, runs);
  const measured = measuredValue(expectation, runs);
  const holds =
    measured >= (atLeast ?? Number.NEGATIVE_INFINITY) * referenceValue &&
    measured <= (atMost ?? Number.POSITIVE_INFINITY) * referenceValue;
  const reference = of === undefined ? '' : ` (${referenceValue.toPrecision(5)})`;
  return {text: `${describeExpectation(expectation)}${reference}`, measured, holds};
}

/** Describes an expectation, such as `marigoldfold question attainment at least 0.9`. */
export function describeExpectation(expectation: ExperimentExpectation): string {
  const {atLeast, atMost, of} = expectation;
  const times = of === undefined ? '' : ` times ${describeQuantity(of)}`;
  const bounds: string[] = [];
  if (atLeast !== undefined) bounds.push(`at least ${atLeast}${times}`);
  if (atMost !== undefined) bounds.push(`at most ${atMost}${times}`);
  return `${describeQuantity(expectation)} ${bounds.join(' and ')}`;
}

function describeQuantity({policy, class: className, measure}: MeasureSelector): string {
  return [policy, className, measure].filter((word) => word !== undefined).join(' ');
}

function measuredValue(
  {policy, class: className, measure}: MeasureSelector,
  runs: ReadonlyMap<string, PolicyRun>,
) {
  const run = runs.get(policy);
  if (run === undefined) return Number.NaN;
  const {result, details} = run;
  if (measure === 'goodputTokensPerSecond') return result.goodputTokensPerSecond;
  if (measure === 'wastedShare')
    return result.wastedTokens / Math.max(1, sum(details, 'servedTokens'));
  const classResult = className === undefined ? undefined : result.classes[className];
  const detail = className === undefined ? undefined : details[className];
  if (classResult === undefined || detail === undefined) return Number.NaN;
  switch (measure) {
    case 'attainment':
      return classResult.attainment;
    case 'refusedShare':
      return classResult.refused / Math.max(1, classResult.offered);
    case 'failedShare':
      return classResult.failed / Math.max(1, classResult.offered);
    case 'firstTokenShare':
      return detail.firstTokenShare;
    case 'interTokenShare':
      return detail.interTokenShare;
    case 'serviceTimeShare':
      return detail.slotMs / Math.max(1, sum(details, 'slotMs'));
    case 'firstTokenMs.p50':
      return classResult.firstTokenMs.p50;
    case 'firstTokenMs.p95':
      return classResult.firstTokenMs.p95;
    case 'firstTokenMs.p99':
      return classResult.firstTokenMs.p99;
    case 'interTokenMs.p95':
      return classResult.interTokenMs.p95;
    case 'completionMs.p95':
      return classResult.completionMs.p95;
    case 'completionMs.p99':
      return classResult.completionMs.p99;
  }
}

function sum(details: MeasuresByClass, key: 'servedTokens' | 'slotMs'): number {
  return Object.values(details).reduce((total, detail) => total + detail[key], 0);
}
