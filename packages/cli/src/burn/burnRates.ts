/** Error-budget burn rates of classes over several windows. */
import type {HistorySample} from './samples.js';

/** Number of requests of one class that ended in a period, by outcome. */
export interface OutcomeTally {
  /** Answered within all targets of the class. */
  readonly attained: number;
  /** Answered after a target time, refused by the system, or failed. */
  readonly missed: number;
  /** Refused because the account exceeded its own limit; not counted in the burn rate. */
  readonly limited: number;
}

/** Outcomes and burn rate of a class in one window. */
export interface WindowBurn extends OutcomeTally {
  readonly window: string;
  readonly lengthMs: number;
  /** Part of the window that has data, in milliseconds. */
  readonly coveredMs: number;
  /** Share of the requests that attained their targets; undefined without requests. */
  readonly attainment: number | undefined;
  /**
   * Rate at which the error budget is used; at 1 it is used up exactly at the end of the window. Undefined without
   * requests.
   */
  readonly burnRate: number | undefined;
}

/** How soon an operator should react to the burn rate of a class. */
export type Urgency = 'now' | 'today' | 'watch' | 'none';

/** Burn rates, remaining error budget and urgency of one class. */
export interface ClassBurn {
  readonly class: string;
  readonly objective: number;
  readonly urgency: Urgency;
  /** Remaining share of the budget in the longest window; negative if overspent, undefined without requests. */
  readonly budgetLeft: number | undefined;
  /** Windows from the shortest on, up to and including the first one that the data covers only partly. */
  readonly windows: readonly WindowBurn[];
}

/** Requests that ended between two samples of one entry. */
export interface CountIncrease extends OutcomeTally {
  readonly atMs: number;
  readonly class: string;
}

/** Returns the objective of a class: the share of its requests that should attain their targets, from 0 to 1. */
export type ObjectiveLookup = (className: string) => number;

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const windows = [
  {window: '5m', lengthMs: 5 * MINUTE_MS},
  {window: '30m', lengthMs: 30 * MINUTE_MS},
  {window: '1h', lengthMs: HOUR_MS},
  {window: '6h', lengthMs: 6 * HOUR_MS},
  {window: '3d', lengthMs: 72 * HOUR_MS},
] as const;

/**
 * An alert requires a high burn rate in both of its windows: the short one shows that the errors continue, the long
 * one that they are significant.
 */
const burnAlerts = [
  {urgency: 'now', short: '5m', long: '1h', burnRate: 14.4},
  {urgency: 'today', short: '30m', long: '6h', burnRate: 6},
  {urgency: 'watch', short: '6h', long: '3d', burnRate: 1},
] as const;
const urgencies: readonly Urgency[] = ['now', 'today', 'watch', 'none'];

/** Computes the burn rates of each class, most urgent first; samples must be in order of time. */
export function computeClassBurns(
  samples: readonly HistorySample[],
  objectiveFor: ObjectiveLookup,
): readonly ClassBurn[] {
  const first = samples[0];
  const last = samples.at(-1);
  if (first === undefined || last === undefined) return [];
  const increases = computeIncreases(samples);
  const names = new Set(samples.flatMap(({classes}) => Object.keys(classes)));
  const burns: ClassBurn[] = [];
  for (const name of names) {
    const classIncreases = increases.filter((increase) => increase.class === name);
    burns.push(
      computeClassBurn(
        name,
        classIncreases,
        {fromMs: first.atMs, toMs: last.atMs},
        objectiveFor(name),
      ),
    );
  }
  return burns.sort(compareByUrgency);
}

/** Computes counter increases between successive samples of each entry; a lower counter means a restart. */
export function computeIncreases(samples: readonly HistorySample[]): readonly CountIncrease[] {
  const latestSamples = new Map<string, HistorySample>();
  const increases: CountIncrease[] = [];
  for (const sample of samples) {
    const previous = latestSamples.get(sample.entry);
    latestSamples.set(sample.entry, sample);
    if (previous === undefined) continue;
    for (const [name, counts] of Object.entries(sample.classes)) {
      const previousCounts = previous.classes[name] ?? {};
      const isReset = Object.entries(previousCounts).some(
        ([outcome, value]) => (counts[outcome as keyof typeof counts] ?? 0) < value,
      );
      const increaseIn = (outcome: keyof typeof counts) =>
        (counts[outcome] ?? 0) - (isReset ? 0 : (previousCounts[outcome] ?? 0));
      increases.push({
        atMs: sample.atMs,
        class: name,
        attained: increaseIn('attained'),
        missed: increaseIn('late') + increaseIn('refused') + increaseIn('failed'),
        limited: increaseIn('limited'),
      });
    }
  }
  return increases;
}

/** Adds up tallies by outcome. */
export function sumTallies(increases: readonly OutcomeTally[]): OutcomeTally {
  let attained = 0;
  let missed = 0;
  let limited = 0;
  for (const increase of increases) {
    attained += increase.attained;
    missed += increase.missed;
    limited += increase.limited;
  }
  return {attained, missed, limited};
}

/** Share of requests that missed a target, divided by the share that the objective allows. */
export function computeBurnRate(
  {attained, missed}: OutcomeTally,
  objective: number,
): number | undefined {
  const total = attained + missed;
  return total === 0 ? undefined : missed / total / (1 - objective);
}

interface Span {
  readonly fromMs: number;
  readonly toMs: number;
}

function computeClassBurn(
  name: string,
  increases: readonly CountIncrease[],
  {fromMs, toMs}: Span,
  objective: number,
): ClassBurn {
  const dataSpanMs = toMs - fromMs;
  const burns: WindowBurn[] = [];
  for (const {window, lengthMs} of windows) {
    const recent = increases.filter(({atMs}) => atMs > toMs - lengthMs);
    const tally = sumTallies(recent);
    const total = tally.attained + tally.missed;
    burns.push({
      window,
      lengthMs,
      coveredMs: Math.min(lengthMs, dataSpanMs),
      ...tally,
      attainment: total === 0 ? undefined : tally.attained / total,
      burnRate: computeBurnRate(tally, objective),
    });
    if (lengthMs >= dataSpanMs) break;
  }
  const longest = burns.at(-1)?.burnRate;
  return {
    class: name,
    objective,
    urgency: computeUrgency(burns),
    budgetLeft: longest === undefined ? undefined : 1 - longest,
    windows: burns,
  };
}

/** If there is no data for an alert's window, the longest available window is used. */
function computeUrgency(burns: readonly WindowBurn[]): Urgency {
  const rateIn = (window: string) =>
    (burns.find((burn) => burn.window === window) ?? burns.at(-1))?.burnRate ?? 0;
  for (const {urgency, short, long, burnRate} of burnAlerts) {
    if (rateIn(short) >= burnRate && rateIn(long) >= burnRate) return urgency;
  }
  return 'none';
}

function compareByUrgency(a: ClassBurn, b: ClassBurn): number {
  const difference = urgencies.indexOf(a.urgency) - urgencies.indexOf(b.urgency);
  if (difference !== 0) return difference;
  const left = (a.budgetLeft ?? 1) - (b.budgetLeft ?? 1);
  return left !== 0 ? left : a.class.localeCompare(b.class);
}
