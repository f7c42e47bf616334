/** Gossip messages about the configuration in force and the list of instances. */
import {z} from 'zod';
import {instanceSchema} from './instance.js';
import {defineMethod} from './method.js';

/** Milliseconds since a value was last confirmed; null when it never was. */
const ageSchema = z.number().min(0).nullable();

/** Schema of the summary that each process sends in a gossip exchange. */
export const stateSummarySchema = z.object({
  /** Name of the sending instance. */
  sender: z.string(),
  /** Number of the ticket in force at the sender. */
  number: z.number(),
  /** Milliseconds since that number was confirmed against the key-value service. */
  ageMs: ageSchema,
  /** Digest of the sender's list of instances. */
  listDigest: z.string(),
  /** Milliseconds since that list was read from the platform. */
  listAgeMs: ageSchema,
});

/** Number of a process's configuration and digest of its list of instances, each with its age. */
export type StateSummary = Readonly<z.infer<typeof stateSummarySchema>>;

/** Sends the caller's summary and returns the receiver's. */
export const gossipExchangeMethod = defineMethod(
  'spread.exchange',
  stateSummarySchema,
  stateSummarySchema,
);

/** Schema of a list of instances, complete or as a delta. */
export const instanceListDeltaSchema = z.object({
  /** Digest of the list that the delta applies to; null when the message contains the complete list. */
  from: z.string().nullable(),
  digest: z.string(),
  ageMs: ageSchema,
  removed: z.array(z.string()),
  changed: z.array(instanceSchema),
});

/** A list of instances, complete or as a delta. */
export type InstanceListDelta = Readonly<z.infer<typeof instanceListDeltaSchema>>;

/** Requests the list of instances, as a delta to the list whose digest is `from`. */
export const instanceListMethod = defineMethod(
  'spread.instances',
  z.object({from: z.string()}),
  instanceListDeltaSchema,
);

/** Schema of a process's configuration status. */
export const configurationStatusSchema = z.object({
  number: z.number(),
  stateDigest: z.string(),
  ageMs: ageSchema,
  /**
   * When the requested ticket came into force, in milliseconds since 1970; null when it is not in force or its time
   * is not kept.
   */
  inForceAtMs: z.number().nullable(),
});

/** Number of the configuration in force at a process, and when a requested ticket came into force. */
export type ConfigurationStatus = Readonly<z.infer<typeof configurationStatusSchema>>;

/** Requests the configuration in force and when a given ticket came into force. */
export const configurationStatusMethod = defineMethod(
  'configuration.status',
  z.object({ticket: z.number()}),
  configurationStatusSchema,
);
