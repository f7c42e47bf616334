/** The description of an experiment, as its TOML file gives it. */
import {tierSchema} from '@marigoldfold/protocol';
import {parseSettings, type SettingsProblem} from '@marigoldfold/runtime';
import type {Result} from 'neverthrow';
import {z} from 'zod';
import {distributionSchema} from './distribution.js';
import {policyNames} from './policies.js';

const positive = z.number().positive();
const name = z.string().regex(/^[a-z0-9][a-z0-9-]*$/, 'lower-case letters, digits and hyphens');
const share = z.number().min(0).max(1);

const endpointGroupSchema = z.strictObject({
  /** Name of the endpoint set; the endpoints are called `SET-1`, `SET-2` and so on. */
  set: name,
  type: z.enum(['engine', 'service']).default('engine'),
  count: z.int().min(1).max(256),
  slots: z.int().min(1).max(1024),
  queueCapacity: z.int().min(1).default(200),
  /** Duration of an engine step without a batch, in milliseconds. */
  stepMs: positive.default(12),
  /** What each request of the batch adds to a step, in milliseconds. */
  stepPerRequestMs: z.number().min(0).default(1),
  prefillTokensPerSecond: positive.default(20_000),
});

const burstSchema = z.strictObject({
  atS: z.number().min(0),
  durationS: positive,
  /** The rate is multiplied by this. */
  factor: positive,
});

/** Checks a rate of arrivals. */
export const arrivalSchema = z.strictObject({
  requestsPerSecond: positive,
  /** A sine wave on the rate. */
  swing: z.strictObject({periodS: positive, amplitude: share}).optional(),
  bursts: z.array(burstSchema).default([]),
  /** Number of the first client account that sends requests of the class. */
  firstAccount: z.int().min(1).default(1),
  /** Part of all requests that come from that account; the others share the rest. */
  largestAccountShare: share.default(0.3),
});

const classSchema = z.strictObject({
  name,
  tier: tierSchema,
  endpointSet: name,
  firstTokenMs: positive.optional(),
  interTokenMs: positive.optional(),
  completionMs: positive.optional(),
  guaranteedShare: z.number().min(0).max(0.5).default(0),
  typicalOutputTokens: z.int().min(1).default(256),
  arrivals: arrivalSchema,
  promptTokens: distributionSchema.default({kind: 'fixed', value: 100}),
  outputTokens: distributionSchema.default({kind: 'fixed', value: 1}),
  /** Duration of a call to a plain service in milliseconds. */
  callMs: distributionSchema.default({kind: 'fixed', value: 20}),
});

const accountSchema = z.strictObject({
  requestsPerSecond: positive,
  burst: positive,
  concurrency: z.int().min(1),
});

const timeSpan = {atS: z.number().min(0), durationS: positive};

const faultSchema = z.discriminatedUnion('kind', [
  /** Steps and calls take longer by a factor. */
  z.strictObject({
    kind: z.literal('slow'),
    endpoints: z.array(name).min(1),
    ...timeSpan,
    factor: positive,
  }),
  /** The endpoint and its agent are gone for a while and lose everything. */
  z.strictObject({kind: z.literal('crash'), endpoints: z.array(name).min(1), ...timeSpan}),
  /** Loads reach the entries late. */
  z.strictObject({
    kind: z.literal('late-reports'),
    endpoints: z.array(name).min(1),
    ...timeSpan,
    lagMs: positive,
  }),
]);

const baselineSchema = z.strictObject({
  /** Name in the result. */
  name,
  policy: z.enum(policyNames),
  withoutFaults: z.boolean().default(false),
  /** Only these classes send requests. */
  onlyClasses: z.array(name).optional(),
});

const measureSchema = z.enum([
  'attainment',
  'refusedShare',
  'failedShare',
  'firstTokenShare',
  'interTokenShare',
  'firstTokenMs.p50',
  'firstTokenMs.p95',
  'firstTokenMs.p99',
  'interTokenMs.p95',
  'completionMs.p95',
  'completionMs.p99',
  'serviceTimeShare',
  'goodputTokensPerSecond',
  'wastedShare',
]);

const quantitySchema = z.strictObject({
  /** Name of a policy or a baseline. */
  policy: name,
  class: name.optional(),
  measure: measureSchema,
});

const expectationSchema = quantitySchema
  .extend({
    atLeast: z.number().optional(),
    atMost: z.number().optional(),
    /** The bounds are multiples of this quantity. */
    of: quantitySchema.optional(),
    reason: z.string().optional(),
  })
  .refine(({atLeast, atMost}) => atLeast !== undefined || atMost !== undefined, {
    error: 'atLeast or atMost is needed',
  });

/** Checks an experiment. */
export const experimentSchema = z
  .strictObject({
    name,
    description: z.string().default(''),
    seed: z.int().default(1),
    /** Requests arrive for this long. */
    durationS: positive.max(3600),
    entries: z.int().min(1).max(64).default(3),
    failureDomains: z.array(name).min(1).default(['domain-1', 'domain-2', 'domain-3']),
    /** One-way delay between entry and agent in milliseconds. */
    networkMs: z.number().min(0).default(1),
    accounts: z.int().min(1).max(10_000).default(10),
    /** Limits of each account; none when absent. */
    accountLimits: accountSchema.optional(),
    endpoints: z.array(endpointGroupSchema).min(1),
    classes: z.array(classSchema).min(1),
    faults: z.array(faultSchema).default([]),
    policies: z.array(z.enum(policyNames)).min(1).default(['marigoldfold', 'naive']),
    baselines: z.array(baselineSchema).default([]),
    expect: z.array(expectationSchema).default([]),
  })
  .check((context) => {
    for (const problem of findUnknownNames(context.value)) {
      context.issues.push({code: 'custom', input: context.value, ...problem});
    }
  });

/** An experiment. */
export type Experiment = Readonly<z.infer<typeof experimentSchema>>;
/** A class of an experiment. */
export type ExperimentClass = Experiment['classes'][number];
/** A group of endpoints of an experiment. */
export type EndpointGroup = Experiment['endpoints'][number];
/** A fault of an experiment. */
export type Fault = Experiment['faults'][number];
/** A check on the result of an experiment. */
export type Expectation = Experiment['expect'][number];
/** A measured quantity. */
export type Quantity = Readonly<z.infer<typeof quantitySchema>>;

/** Parses an experiment; every problem names its key. */
export function parseExperiment(text: string): Result<Experiment, readonly SettingsProblem[]> {
  return parseSettings(experimentSchema, text);
}

/** Names of the endpoints of a group. */
export function endpointNames({set, count}: EndpointGroup): readonly string[] {
  return Array.from({length: count}, (_, index) => `${set}-${index + 1}`);
}

interface NameProblem {
  readonly path: (string | number)[];
  readonly message: string;
}

function findUnknownNames(experiment: Experiment): readonly NameProblem[] {
  const sets = new Set(experiment.endpoints.map(({set}) => set));
  const endpoints = new Set(experiment.endpoints.flatMap(endpointNames));
  const classes = new Set(experiment.classes.map((one) => one.name));
  const runNames = new Set<string>([
    ...experiment.policies,
    ...experiment.baselines.map((one) => one.name),
  ]);
  const problems: NameProblem[] = [];
  const requireKnown = (known: ReadonlySet<string>, value: string, path: (string | number)[]) => {
    if (known.has(value)) return;
    problems.push({path, message: `one of ${[...known].join(', ')}`});
  };
  for (const [index, {endpointSet}] of experiment.classes.entries()) {
    requireKnown(sets, endpointSet, ['classes', index, 'endpointSet']);
  }
  for (const [index, fault] of experiment.faults.entries()) {
    for (const [position, endpoint] of fault.endpoints.entries()) {
      requireKnown(endpoints, endpoint, ['faults', index, 'endpoints', position]);
    }
  }
  for (const [index, {onlyClasses = []}] of experiment.baselines.entries()) {
    for (const [position, one] of onlyClasses.entries()) {
      requireKnown(classes, one, ['baselines', index, 'onlyClasses', position]);
    }
  }
  for (const [index, expectation] of experiment.expect.entries()) {
    const quantities = [{quantity: expectation as Quantity, path: ['expect', index]}];
    if (expectation.of !== undefined) {
      quantities.push({quantity: expectation.of, path: ['expect', index, 'of']});
    }
    for (const {quantity, path} of quantities) {
      requireKnown(runNames, quantity.policy, [...path, 'policy']);
      if (quantity.class !== undefined) requireKnown(classes, quantity.class, [...path, 'class']);
    }
  }
  return problems;
}
