/** Evaluates the expectations of an experiment on its result. */
import type {Expectation, Quantity} from './experiment.js';
import type {Details, PolicyResult} from './measures.js';

/** An expectation with what was measured. */
export interface Judgement {
  readonly text: string;
  readonly measured: number;
  readonly holds: boolean;
}

/** The result of one policy or baseline with its further figures. */
export interface Run {
  readonly result: PolicyResult;
  readonly details: Details;
}

/** Judges each expectation. */
export function judge(
  expectations: readonly Expectation[],
  runs: ReadonlyMap<string, Run>,
): readonly Judgement[] {
  return expectations.map((expectation) => judgeOne(expectation, runs));
}

function judgeOne(expectation: Expectation, runs: ReadonlyMap<string, Run>): Judgement {
  const {atLeast, atMost, of} = expectation;
  const unit = of === undefined ? 1 : quantity(of, runs);
  const measured = quantity(expectation, runs);
  const holds =
    measured >= (atLeast ?? Number.NEGATIVE_INFINITY) * unit &&
    measured <= (atMost ?? Number.POSITIVE_INFINITY) * unit;
  const times = of === undefined ? '' : ` times ${describe(of)} (${unit.toPrecision(5)})`;
  const bounds: string[] = [];
  if (atLeast !== undefined) bounds.push(`at least ${atLeast}${times}`);
  if (atMost !== undefined) bounds.push(`at most ${atMost}${times}`);
  return {text: `${describe(expectation)} ${bounds.join(' and ')}`, measured, holds};
}

function describe({policy, class: className, measure}: Quantity): string {
  return [policy, className, measure].filter((part) => part !== undefined).join(' ');
}

function quantity({policy, class: className, measure}: Quantity, runs: ReadonlyMap<string, Run>) {
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

function sum(details: Details, key: 'servedTokens' | 'slotMs'): number {
  return Object.values(details).reduce((total, detail) => total + detail[key], 0);
}
