/** Burn rates of classes over several windows: how fast each uses up what its objective lets it miss. */
import type {Sample} from './samples.js';

/** Requests of one class that ended in a span of time. */
export interface Tally {
  /** Answered within all targets of the class. */
  readonly attained: number;
  /** Late, refused by the system or failed. */
  readonly missed: number;
  /** Refused because the account was over its own limit; these count neither way. */
  readonly limited: number;
}

/** What a class did in one window. */
export interface WindowBurn extends Tally {
  readonly window: string;
  readonly lengthMs: number;
  /** Milliseconds of the window for which there is data. */
  readonly coveredMs: number;
  /** Part of the requests that attained their targets; undefined without requests. */
  readonly attainment: number | undefined;
  /** 1 uses up the budget just in the window's length; undefined without requests. */
  readonly burnRate: number | undefined;
}

/** How urgent a class's burn is. */
export type Urgency = 'now' | 'today' | 'watch' | 'none';

/** What a class did. */
export interface ClassBurn {
  readonly class: string;
  readonly objective: number;
  readonly urgency: Urgency;
  /** Part of the budget left over the longest window; negative when overspent, undefined without requests. */
  readonly budgetLeft: number | undefined;
  /** Shortest first, as far as the data reaches. */
  readonly windows: readonly WindowBurn[];
}

/** Requests that ended between two samples of one entry. */
export interface Increase extends Tally {
  readonly atMs: number;
  readonly class: string;
}

/** The objective of a class: the part of its requests that are to attain their targets. */
export type Objective = (className: string) => number;

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const windows = [
  {window: '5m', lengthMs: 5 * MINUTE_MS},
  {window: '30m', lengthMs: 30 * MINUTE_MS},
  {window: '1h', lengthMs: HOUR_MS},
  {window: '6h', lengthMs: 6 * HOUR_MS},
  {window: '3d', lengthMs: 72 * HOUR_MS},
] as const;

/** A short window shows that a burn goes on, a long one that it matters. */
const alarms = [
  {urgency: 'now', short: '5m', long: '1h', burnRate: 14.4},
  {urgency: 'today', short: '30m', long: '6h', burnRate: 6},
  {urgency: 'watch', short: '6h', long: '3d', burnRate: 1},
] as const;
const urgencies: readonly Urgency[] = ['now', 'today', 'watch', 'none'];

/** Burn of each class, worst first. */
export function burnOfClasses(
  samples: readonly Sample[],
  objectiveOf: Objective,
): readonly ClassBurn[] {
  const first = samples[0];
  const last = samples.at(-1);
  if (first === undefined || last === undefined) return [];
  const increases = increasesOf(samples);
  const names = new Set(samples.flatMap(({classes}) => Object.keys(classes)));
  const burns: ClassBurn[] = [];
  for (const name of names) {
    const own = increases.filter((increase) => increase.class === name);
    burns.push(burnOf(name, own, {fromMs: first.atMs, toMs: last.atMs}, objectiveOf(name)));
  }
  return burns.sort(byUrgency);
}

/** What ended between samples that follow each other; a counter that fell was reset by a restart. */
export function increasesOf(samples: readonly Sample[]): readonly Increase[] {
  const before = new Map<string, Sample>();
  const increases: Increase[] = [];
  for (const sample of samples) {
    const earlier = before.get(sample.entry);
    before.set(sample.entry, sample);
    if (earlier === undefined) continue;
    for (const [name, counts] of Object.entries(sample.classes)) {
      const old = earlier.classes[name] ?? {};
      const isReset = Object.entries(old).some(
        ([outcome, value]) => (counts[outcome as keyof typeof counts] ?? 0) < value,
      );
      const grown = (outcome: keyof typeof counts) =>
        (counts[outcome] ?? 0) - (isReset ? 0 : (old[outcome] ?? 0));
      increases.push({
        atMs: sample.atMs,
        class: name,
        attained: grown('attained'),
        missed: grown('late') + grown('refused') + grown('failed'),
        limited: grown('limited'),
      });
    }
  }
  return increases;
}

/** The sum over increases. */
export function sumOf(increases: readonly Tally[]): Tally {
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

/** How fast the budget is used: the part missed in proportion to the part that may be missed. */
export function burnRateOf({attained, missed}: Tally, objective: number): number | undefined {
  const total = attained + missed;
  return total === 0 ? undefined : missed / total / (1 - objective);
}

interface Span {
  readonly fromMs: number;
  readonly toMs: number;
}

function burnOf(
  name: string,
  increases: readonly Increase[],
  {fromMs, toMs}: Span,
  objective: number,
): ClassBurn {
  const reachMs = toMs - fromMs;
  const burns: WindowBurn[] = [];
  for (const {window, lengthMs} of windows) {
    const recent = increases.filter(({atMs}) => atMs > toMs - lengthMs);
    const tally = sumOf(recent);
    const total = tally.attained + tally.missed;
    burns.push({
      window,
      lengthMs,
      coveredMs: Math.min(lengthMs, reachMs),
      ...tally,
      attainment: total === 0 ? undefined : tally.attained / total,
      burnRate: burnRateOf(tally, objective),
    });
    if (lengthMs >= reachMs) break;
  }
  const longest = burns.at(-1)?.burnRate;
  return {
    class: name,
    objective,
    urgency: urgencyOf(burns),
    budgetLeft: longest === undefined ? undefined : 1 - longest,
    windows: burns,
  };
}

/** Where the data does not reach an alarm's long window, the longest that there is takes its place. */
function urgencyOf(burns: readonly WindowBurn[]): Urgency {
  const rateIn = (window: string) =>
    (burns.find((burn) => burn.window === window) ?? burns.at(-1))?.burnRate ?? 0;
  for (const {urgency, short, long, burnRate} of alarms) {
    if (rateIn(short) >= burnRate && rateIn(long) >= burnRate) return urgency;
  }
  return 'none';
}

function byUrgency(a: ClassBurn, b: ClassBurn): number {
  const difference = urgencies.indexOf(a.urgency) - urgencies.indexOf(b.urgency);
  if (difference !== 0) return difference;
  const left = (a.budgetLeft ?? 1) - (b.budgetLeft ?? 1);
  return left !== 0 ? left : a.class.localeCompare(b.class);
}
