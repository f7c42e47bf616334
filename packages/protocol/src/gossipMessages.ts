/** Messages by which processes tell one another what is in force and which instances are listed. */
import {z} from 'zod';
import {instanceSchema} from './instance.js';
import {defineMethod} from './method.js';

/** Milliseconds since something was confirmed; null when it never was. */
const ageSchema = z.number().min(0).nullable();

/** Checks what a process tells about itself on every exchange. */
export const stateSummarySchema = z.object({
  /** Name of the instance that speaks. */
  sender: z.string(),
  /** Number of the ticket in force there. */
  number: z.number(),
  /** Milliseconds since that number was confirmed against the key-value service. */
  ageMs: ageSchema,
  /** Digest of its list of instances. */
  listDigest: z.string(),
  /** Milliseconds since that list was read from the platform. */
  listAgeMs: ageSchema,
});

/** What a process tells about itself on every exchange. */
export type StateSummary = Readonly<z.infer<typeof stateSummarySchema>>;

/** Announces a summary and answers with the receiver's own. */
export const gossipExchangeMethod = defineMethod(
  'spread.exchange',
  stateSummarySchema,
  stateSummarySchema,
);

/** Checks a list of instances, whole or as a difference. */
export const instanceListDeltaSchema = z.object({
  /** Digest of the list that the difference is from; null when the list is whole. */
  from: z.string().nullable(),
  digest: z.string(),
  ageMs: ageSchema,
  removed: z.array(z.string()),
  changed: z.array(instanceSchema),
});

/** A list of instances, whole or as a difference. */
export type InstanceListDelta = Readonly<z.infer<typeof instanceListDeltaSchema>>;

/** Asks for the list of instances, as a difference from one that the caller holds. */
export const instanceListMethod = defineMethod(
  'spread.instances',
  z.object({from: z.string()}),
  instanceListDeltaSchema,
);

/** Checks what a process says about the configuration in force there. */
export const configurationStatusSchema = z.object({
  number: z.number(),
  stateDigest: z.string(),
  ageMs: ageSchema,
  /** When the ticket that was asked for came into force there, in milliseconds since 1970; null when it has not or is forgotten. */
  inForceAtMs: z.number().nullable(),
});

/** What a process says about the configuration in force there. */
export type ConfigurationStatus = Readonly<z.infer<typeof configurationStatusSchema>>;

/** Asks what is in force, and since when a ticket is. */
export const configurationStatusMethod = defineMethod(
  'configuration.status',
  z.object({ticket: z.number()}),
  configurationStatusSchema,
);
