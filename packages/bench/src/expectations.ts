/** Evaluates the expectations of an experiment on its result. */
import type {Expectation, Quantity} from './experiment.js';
import type {DetailsByClass, PolicyResult} from './measures.js';

/** An expectation with what was measured. */
export interface ExpectationResult {
  readonly text: string;
  readonly measured: number;
  readonly holds: boolean;
}

/** The result of one policy or baseline with its further figures. */
export interface PolicyRun {
  readonly result: PolicyResult;
  readonly details: DetailsByClass;
}

/** Judges each expectation. */
export function evaluateExpectations(
  expectations: readonly Expectation[],
  runs: ReadonlyMap<string, PolicyRun>,
): readonly ExpectationResult[] {
  return expectations.map((expectation) => evaluateExpectation(expectation, runs));
}

function evaluateExpectation(
  expectation: Expectation,
  runs: ReadonlyMap<string, PolicyRun>,
): ExpectationResult {
  const {atLeast, atMost, of} = expectation;
  const unit = of === undefined ? 1 : measuredValue(of, runs);
  const measured = measuredValue(expectation, runs);
  const holds =
    measured >= (atLeast ?? Number.NEGATIVE_INFINITY) * unit &&
    measured <= (atMost ?? Number.POSITIVE_INFINITY) * unit;
  const reference = of === undefined ? '' : ` (${unit.toPrecision(5)})`;
  return {text: `${describeExpectation(expectation)}${reference}`, measured, holds};
}

/** What is expected, in words. */
export function describeExpectation(expectation: Expectation): string {
  const {atLeast, atMost, of} = expectation;
  const times = of === undefined ? '' : ` times ${describeQuantity(of)}`;
  const bounds: string[] = [];
  if (atLeast !== undefined) bounds.push(`at least ${atLeast}${times}`);
  if (atMost !== undefined) bounds.push(`at most ${atMost}${times}`);
  return `${describeQuantity(expectation)} ${bounds.join(' and ')}`;
}

function describeQuantity({policy, class: className, measure}: Quantity): string {
  return [policy, className, measure].filter((part) => part !== undefined).join(' ');
}

function measuredValue(
  {policy, class: className, measure}: Quantity,
  runs: ReadonlyMap<string, PolicyRun>,
) {
  const run = runs.get(policy);
  if (run === undefined) return Number.NaN;
  const {result, details} = run;
  if (measure === 'goodputTokensPerSecond') return result.goodputTokensPerSecond;
  if (measure === 'wastedShare')
    return result.wastedTokens / Math.max(1, sum(details, 'servedTokens'));
  const found = className === undefined ? undefined : result.classes[className];
  const detail = className === undefined ? undefined : details[className];
  if (found === undefined || detail === undefined) return Number.NaN;
  switch (measure) {
    case 'attainment':
      return found.attainment;
    case 'refusedShare':
      return found.refused / Math.max(1, found.offered);
    case 'failedShare':
      return found.failed / Math.max(1, found.offered);
    case 'firstTokenShare':
      return detail.firstTokenShare;
    case 'interTokenShare':
      return detail.interTokenShare;
    case 'serviceTimeShare':
      return detail.slotMs / Math.max(1, sum(details, 'slotMs'));
    case 'firstTokenMs.p50':
      return found.firstTokenMs.p50;
    case 'firstTokenMs.p95':
      return found.firstTokenMs.p95;
    case 'firstTokenMs.p99':
      return found.firstTokenMs.p99;
    case 'interTokenMs.p95':
      return found.interTokenMs.p95;
    case 'completionMs.p95':
      return found.completionMs.p95;
    case 'completionMs.p99':
      return found.completionMs.p99;
  }
}

function sum(details: DetailsByClass, key: 'servedTokens' | 'slotMs'): number {
  return Object.values(details).reduce((total, detail) => total + detail[key], 0);
}
