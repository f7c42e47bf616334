/** Load reports: the state of an endpoint as measured by its agent. */
import {z} from 'zod';
import {tierCount} from './tier.js';

/**
 * Schema of a load report as an object. Arrays have one item per tier, most urgent first. Omitted
 * trailing counts are 0; omitted trailing waits equal the last one given.
 */
const loadObjectSchema = z.object({
  /** Incarnation of the reporting agent. */
  incarnation: z.string(),
  /** Number of the configuration in force at the agent. */
  configuration: z.number(),
  running: z.array(z.number()).max(tierCount),
  queued: z.array(z.number()).max(tierCount),
  /** Estimated queueing time of a new request in each tier, in milliseconds. */
  waitMs: z.array(z.number()).max(tierCount),
  /** Current limit of concurrent requests at the endpoint. */
  window: z.number(),
  /** Recent median inter-token latency in milliseconds; 0 without measurements. */
  interTokenMs: z.number(),
  /** Recent median time to first token in milliseconds; 0 without measurements. */
  firstTokenMs: z.number(),
  isLeaving: z.boolean(),
});

/** State of an endpoint as measured by its agent; entries use it to choose an agent. */
export type Load = Readonly<z.infer<typeof loadObjectSchema>>;

/** Field order of a report encoded as an array. */
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

/** Schema of a load report, as an object or as an array in wire order. */
export const loadSchema: z.ZodType<Load> = z.preprocess(fieldsFromList, loadObjectSchema);

/** Encodes a report as an array in wire order, without field names. */
export function encodeLoad(load: Load): readonly unknown[] {
  const compact = compactLoad(load);
  return wireFieldOrder.map((name) => compact[name]);
}

function fieldsFromList(value: unknown): unknown {
  if (!Array.isArray(value)) return value;
  return Object.fromEntries(wireFieldOrder.map((name, index) => [name, value[index] as unknown]));
}

/** Shortens a report: omits trailing array items that the schema restores, and rounds waits to whole milliseconds. */
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
