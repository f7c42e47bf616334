/** Service tiers: 0 is the most urgent, 6 the least. */
import {z} from 'zod';

/** Number of service tiers; the least urgent one is `tierCount - 1`. */
export const tierCount = 7;

/** Schema of a service tier. */
export const tierSchema = z
  .int()
  .min(0)
  .max(tierCount - 1);

/** A service tier, from 0 to `tierCount - 1`. */
export type Tier = z.infer<typeof tierSchema>;
