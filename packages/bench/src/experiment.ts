/** Schema of experiment files (TOML). */
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
  /** Duration of an engine step in milliseconds before `stepPerRequestMs` is added for each sequence. */
  stepMs: positive.default(12),
  /** Milliseconds that each sequence of the batch adds to a step. */
  stepPerRequestMs: z.number().min(0).default(1),
  prefillTokensPerSecond: positive.default(20_000),
});

const burstSchema = z.strictObject({
  atS: z.number().min(0),
  durationS: positive,
  /** Multiplier on the arrival rate during the burst. */
  factor: positive,
});

/** Schema of the arrival rate of a class. */
export const arrivalSchema = z.strictObject({
  requestsPerSecond: positive,
  /** Sine wave on the rate; the amplitude is relative to `requestsPerSecond`. */
  swing: z.strictObject({periodS: positive, amplitude: share}).optional(),
  bursts: z.array(burstSchema).default([]),
  /** Number of the first client account that sends requests of this class. */
  firstAccount: z.int().min(1).default(1),
  /** Share of the requests that come from the first account; the other accounts share the rest. */
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
  /** Duration of a call to a plain service, in milliseconds. */
  callMs: distributionSchema.default({kind: 'fixed', value: 20}),
});

const accountSchema = z.strictObject({
  requestsPerSecond: positive,
  burst: positive,
  concurrency: z.int().min(1),
});

const timeSpan = {atS: z.number().min(0), durationS: positive};

const faultSchema = z.discriminatedUnion('kind', [
  /** Multiplies the duration of engine steps and service calls. */
  z.strictObject({
    kind: z.literal('slow'),
    endpoints: z.array(name).min(1),
    ...timeSpan,
    factor: positive,
  }),
  /** The endpoint and its agent are down for the duration and lose all requests. */
  z.strictObject({kind: z.literal('crash'), endpoints: z.array(name).min(1), ...timeSpan}),
  /** Load reports reach the entries late. */
  z.strictObject({
    kind: z.literal('late-reports'),
    endpoints: z.array(name).min(1),
    ...timeSpan,
    lagMs: positive,
  }),
]);

const baselineSchema = z.strictObject({
  /** Name of the baseline in the result. */
  name,
  policy: z.enum(policyNames),
  withoutFaults: z.boolean().default(false),
  /** Classes that send requests; all when absent. */
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
    /** If set, `atLeast` and `atMost` are multiples of this quantity instead of absolute values. */
    of: quantitySchema.optional(),
    reason: z.string().optional(),
  })
  .refine(({atLeast, atMost}) => atLeast !== undefined || atMost !== undefined, {
    error: 'atLeast or atMost is required',
  });

/** Schema of an experiment; also checks that the names it refers to exist. */
export const experimentSchema = z
  .strictObject({
    name,
    description: z.string().default(''),
    seed: z.int().default(1),
    /** Time during which requests arrive, in seconds. */
    durationS: positive.max(3600),
    entries: z.int().min(1).max(64).default(3),
    failureDomains: z.array(name).min(1).default(['domain-1', 'domain-2', 'domain-3']),
    /** One-way delay between entry and agent, in milliseconds. */
    networkMs: z.number().min(0).default(1),
    accounts: z.int().min(1).max(10_000).default(10),
    /** Limits of each account; unlimited when absent. */
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

/** A validated experiment. */
export type Experiment = Readonly<z.infer<typeof experimentSchema>>;
/** A class of requests with its targets and its load. */
export type ExperimentClass = Experiment['classes'][number];
/** The endpoints of one endpoint set, all alike. */
export type EndpointGroup = Experiment['endpoints'][number];
/** A fault at the listed endpoints between its start and its end. */
export type ExperimentFault = Experiment['faults'][number];
/** A bound on a measured quantity, absolute or relative to another quantity. */
export type ExperimentExpectation = Experiment['expect'][number];
/** A measure of a policy or baseline, overall or of one class. */
export type MeasureSelector = Readonly<z.infer<typeof quantitySchema>>;

/** Parses the TOML text of an experiment; each problem names the key it concerns. */
export function parseExperiment(text: string): Result<Experiment, readonly SettingsProblem[]> {
  return parseSettings(experimentSchema, text);
}

/** Names of the endpoints of a group: `SET-1`, `SET-2` and so on. */
export function listEndpointNames({set, count}: EndpointGroup): readonly string[] {
  return Array.from({length: count}, (_, index) => `${set}-${index + 1}`);
}

interface NameProblem {
  readonly path: (string | number)[];
  readonly message: string;
}

function findUnknownNames(experiment: Experiment): readonly NameProblem[] {
  const sets = new Set(experiment.endpoints.map(({set}) => set));
  const endpoints = new Set(experiment.endpoints.flatMap(listEndpointNames));
  const classes = new Set(experiment.classes.map((requestClass) => requestClass.name));
  const runNames = new Set<string>([
    ...experiment.policies,
    ...experiment.baselines.map((baseline) => baseline.name),
  ]);
  const problems: NameProblem[] = [];
  const requireKnown = (known: ReadonlySet<string>, value: string, path: (string | number)[]) => {
    if (known.has(value)) return;
    problems.push({path, message: `must be one of ${[...known].join(', ')}`});
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
    for (const [position, className] of onlyClasses.entries()) {
      requireKnown(classes, className, ['baselines', index, 'onlyClasses', position]);
    }
  }
  for (const [index, expectation] of experiment.expect.entries()) {
    const quantities = [{quantity: expectation as MeasureSelector, path: ['expect', index]}];
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
