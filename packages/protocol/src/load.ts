/** The state of an endpoint, as its agent measures it. */
import {z} from 'zod';
import {tierCount} from './tier.js';

/**
 * Checks a load report. Lists have one item for each tier, most urgent first. Counts that are left out at
 * the end are 0, and waits that are left out are as long as the last one.
 */
const loadObjectSchema = z.object({
  /** Incarnation of the agent that reports. */
  incarnation: z.string(),
  /** Number of the configuration in force at the agent. */
  configuration: z.number(),
  running: z.array(z.number()).max(tierCount),
  queued: z.array(z.number()).max(tierCount),
  /** Estimated wait of a new request in each tier, in milliseconds. */
  waitMs: z.array(z.number()).max(tierCount),
  /** Number of requests that the endpoint may run at once now. */
  window: z.number(),
  /** Recent median time between tokens in milliseconds; 0 when nothing was measured. */
  interTokenMs: z.number(),
  /** Recent median time to the first token in milliseconds; 0 when nothing was measured. */
  firstTokenMs: z.number(),
  isLeaving: z.boolean(),
});

/** The state of an endpoint. */
export type Load = Readonly<z.infer<typeof loadObjectSchema>>;

/** The items of a report on the wire, in this order. */
const wireFieldOrder = [
  'incarnation',
  'configuration',
  'running',
  'queued',
  'waitMs',
  'window',
  'interTokenMs',
  'firstTokenMs',
  'isLeaving',
] as const satisfies readonly (keyof Load)[];

/** Checks a report, named or as a list. */
export const loadSchema: z.ZodType<Load> = z.preprocess(fieldsFromList, loadObjectSchema);

/** A report as it travels: a list without names. */
export function encodeLoad(load: Load): readonly unknown[] {
  const compact = compactLoad(load);
  return wireFieldOrder.map((name) => compact[name]);
}

function fieldsFromList(value: unknown): unknown {
  if (!Array.isArray(value)) return value;
  return Object.fromEntries(wireFieldOrder.map((name, index) => [name, value[index] as unknown]));
}

/** The same report without what a reader adds itself, and with waits in whole milliseconds. */
export function compactLoad(load: Load): Load {
  const waitMs = load.waitMs.map((ms) => Math.round(ms));
  while (waitMs.length > 1 && waitMs.at(-1) === waitMs.at(-2)) waitMs.pop();
  if (waitMs.length === 1 && waitMs[0] === 0) waitMs.pop();
  return {
    ...load,
    running: withoutTrailingZeros(load.running),
    queued: withoutTrailingZeros(load.queued),
    waitMs,
    window: Math.floor(load.window),
    interTokenMs: roundToTenth(load.interTokenMs),
    firstTokenMs: Math.round(load.firstTokenMs),
  };
}

function withoutTrailingZeros(counts: readonly number[]): number[] {
  let length = counts.length;
  while (length > 0 && counts[length - 1] === 0) length -= 1;
  return counts.slice(0, length);
}

function roundToTenth(value: number): number {
  return Math.round(value * 10) / 10;
}
