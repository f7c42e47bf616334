/** The description of a placement experiment: engines, the streams that they get, and who forwards them. */
import {parseSettings, type SettingsProblem} from '@marigoldfold/runtime';
import type {Result} from 'neverthrow';
import {z} from 'zod';
import {distributionSchema} from '../distribution.js';
import {arrivalSchema} from '../experiment.js';

const positive = z.number().positive();
const share = z.number().min(0).max(1);
const name = z.string().regex(/^[a-z0-9][a-z0-9-]*$/, 'lower-case letters, digits and hyphens');

const enginesSchema = z.strictObject({
  count: z.int().min(1).max(256),
  slots: z.int().min(1),
  /** Tokens of cached prompt parts that an engine keeps. */
  cacheTokens: z.int().min(1),
  stepMs: positive,
  stepMsPerRequest: z.number().min(0).default(0),
  stepMsPerThousandTokens: z.number().min(0).default(0),
  readTokensPerMs: positive,
  stepReadTokens: z.int().min(1).default(1024),
  firstEventMs: z.number().min(0).default(0),
  tokensPerEvent: z.int().min(1),
  /** Time that work takes against the fastest, by turns over the engines. */
  speeds: z.array(positive).min(1).default([1]),
  /** In some periods neighbours slow an engine down. */
  noise: z.strictObject({share, factor: positive, periodMs: positive}).optional(),
});

const partSchema = z.strictObject({
  tokens: distributionSchema,
  /** How many different parts there are. */
  count: z.int().min(1),
});

const kindSchema = z.strictObject({
  name,
  /** Objective for the first event, in milliseconds. */
  targetMs: positive,
  /** Longest pause between events within the objective, in milliseconds. */
  pauseTargetMs: positive,
  /** Callers leave after this long without an event, in milliseconds. */
  patienceMs: positive,
  /** 0 is the most urgent. */
  priority: z.int().min(0),
  /** What a stream in time is worth, and a late one. */
  value: positive,
  lateValue: z.number().min(0),
  arrivals: arrivalSchema,
  /** Shared parts of the prompt, first one first. */
  shared: z.array(partSchema).min(1),
  ownTokens: distributionSchema,
  events: distributionSchema,
});

/** Checks a placement experiment. */
export const workloadSchema = z.strictObject({
  name,
  description: z.string().default(''),
  durationS: positive.max(3600),
  /** Part of the requests that each forwarding instance gets. */
  instanceShares: z.array(share).min(1),
  /** One way between an instance and an engine or another instance, in milliseconds. */
  networkMs: z.number().min(0).default(1),
  /** One way between callers and instances, in milliseconds. */
  callerMs: z.number().min(0).default(3),
  /** What reading a thousand tokens of shared parts again costs, in values of streams. */
  rereadCost: z.number().min(0).default(0),
  /** Time after its last use within which a part that is read again costs something, in milliseconds. */
  reuseWindowMs: positive.default(10_000),
  engines: enginesSchema,
  kinds: z.array(kindSchema).min(1),
});

/** A placement experiment. */
export type Workload = Readonly<z.infer<typeof workloadSchema>>;

/** A kind of stream. */
export type StreamKind = Workload['kinds'][number];

/** Reads an experiment from TOML. */
export function parseWorkload(text: string): Result<Workload, readonly SettingsProblem[]> {
  return parseSettings(workloadSchema, text);
}
