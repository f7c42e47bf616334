/** Draws random token counts and durations from the distributions that an experiment file defines. */
import type {Random} from '@marigoldfold/runtime';
import {z} from 'zod';

const positive = z.number().positive();

/** Schema of the distribution of a token count or a duration in an experiment file. */
export const distributionSchema = z.discriminatedUnion('kind', [
  z.strictObject({kind: z.literal('fixed'), value: positive}),
  z
    .strictObject({kind: z.literal('uniform'), min: positive, max: positive})
    .refine(({min, max}) => min <= max, {error: 'min is above max', path: ['min']}),
  /** Log-normal: half of the values are below the median, 95% below `p95`; capped at `max`. */
  z
    .strictObject({kind: z.literal('lognormal'), median: positive, p95: positive, max: positive})
    .refine(({median, p95}) => median <= p95, {error: 'median is above p95', path: ['median']})
    .refine(({p95, max}) => p95 <= max, {error: 'p95 is above max', path: ['p95']}),
]);

/** A validated distribution of a token count or a duration. */
export type Distribution = Readonly<z.infer<typeof distributionSchema>>;

/** The 95th percentile of the standard normal distribution. */
const NORMAL_P95 = 1.6449;

/** Draws one value; values of a log-normal distribution are capped at `max`. */
export function sampleDistribution(distribution: Distribution, random: Random): number {
  switch (distribution.kind) {
    case 'fixed':
      return distribution.value;
    case 'uniform':
      return distribution.min + random() * (distribution.max - distribution.min);
    case 'lognormal': {
      const {median, p95, max} = distribution;
      const deviation = Math.log(p95 / median) / NORMAL_P95;
      return Math.min(max, median * Math.exp(deviation * sampleNormal(random)));
    }
  }
}

/** Draws an exponentially distributed value with the given mean. */
export function sampleExponential(mean: number, random: Random): number {
  return -Math.log(1 - random()) * mean;
}

/** Draws from the standard normal distribution with the Box-Muller transform. */
function sampleNormal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  return radius * Math.cos(2 * Math.PI * random());
}
