/** The requests of an experiment; they depend on the seed alone, so every policy gets the same. */
import {hash64} from '@marigoldfold/coordination';
import {type Random, seededRandom} from '@marigoldfold/runtime';
import {sample, sampleExponential} from './distribution.js';
import type {Experiment, ExperimentClass} from './experiment.js';

/** A request of an experiment. */
export interface Arrival {
  readonly id: string;
  readonly requestClass: ExperimentClass;
  readonly account: string;
  /** Index of the entry that the balancer sends it to. */
  readonly entry: number;
  readonly atMs: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly callMs: number;
}

const MS_PER_SECOND = 1000;
const SEED_MASK = 0x7fff_ffffn;

/** A reproducible source for one purpose; the sources of different purposes are independent. */
export function randomFor(seed: number, purpose: string): Random {
  return seededRandom(Number(hash64(`${seed}\n${purpose}`) & SEED_MASK));
}

/** All requests in the order of their arrival. */
export function createArrivals(experiment: Experiment, seed: number): readonly Arrival[] {
  const arrivals: Arrival[] = [];
  for (const requestClass of experiment.classes) {
    const random = randomFor(seed, `arrivals of ${requestClass.name}`);
    arrivals.push(...createClassArrivals(experiment, requestClass, random));
  }
  return arrivals.sort((a, b) => a.atMs - b.atMs || (a.id < b.id ? -1 : 1));
}

function createClassArrivals(
  {durationS, entries, accounts}: Experiment,
  requestClass: ExperimentClass,
  random: Random,
): readonly Arrival[] {
  const {arrivals: pattern, promptTokens, outputTokens, callMs} = requestClass;
  const arrivals: Arrival[] = [];
  for (const atS of arrivalTimesS(pattern, durationS, random)) {
    const isLargest = random() < pattern.largestAccountShare;
    const account = Math.floor(random() * (accounts - pattern.firstAccount + 1));
    arrivals.push({
      id: `${requestClass.name}-${arrivals.length + 1}`,
      requestClass,
      account: `account-${pattern.firstAccount + (isLargest ? 0 : account)}`,
      entry: Math.floor(random() * entries),
      atMs: atS * MS_PER_SECOND,
      promptTokens: Math.ceil(sample(promptTokens, random)),
      outputTokens: Math.ceil(sample(outputTokens, random)),
      callMs: sample(callMs, random),
    });
  }
  return arrivals;
}

/** The rate of arrivals over time. */
export type ArrivalPattern = ExperimentClass['arrivals'];

/**
 * Times of arrival in seconds: a Poisson process whose rate varies, by thinning one at the highest rate. The
 * source may be drawn from between two of them.
 */
export function* arrivalTimesS(
  pattern: ArrivalPattern,
  durationS: number,
  random: Random,
): Generator<number, void> {
  const highest = highestRate(pattern);
  let atS = 0;
  while (true) {
    atS += sampleExponential(1 / highest, random);
    if (atS >= durationS) return;
    if (random() * highest < rateAt(pattern, atS)) yield atS;
  }
}

function highestRate({requestsPerSecond, swing, bursts}: ArrivalPattern): number {
  const swingFactor = 1 + (swing?.amplitude ?? 0);
  const burstFactor = bursts.reduce((product, {factor}) => product * Math.max(1, factor), 1);
  return requestsPerSecond * swingFactor * burstFactor;
}

function rateAt({requestsPerSecond, swing, bursts}: ArrivalPattern, atS: number): number {
  let rate = requestsPerSecond;
  if (swing !== undefined) {
    rate *= 1 + swing.amplitude * Math.sin((2 * Math.PI * atS) / swing.periodS);
  }
  for (const burst of bursts) {
    if (atS >= burst.atS && atS < burst.atS + burst.durationS) rate *= burst.factor;
  }
  return rate;
}
