/** Parts of the settings that entry and agent share, and the secrets that both need. */
import {readFileSync} from 'node:fs';
import {logLevels} from '@marigoldfold/runtime';
import {serverLimitsSchema} from '@marigoldfold/transport';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';

const MAX_PORT = 65_535;

/** Checks a `host:port` address. */
export const addressSchema = z
  .string()
  .regex(/^[^:\s]+:\d{1,5}$/, 'an address such as 10.0.0.5:8080')
  .refine((address) => Number(address.slice(address.lastIndexOf(':') + 1)) <= MAX_PORT, {
    error: `a port of at most ${MAX_PORT}`,
  });

/** Checks the identity of a process. */
export const processSchema = z.strictObject({
  /** Name of the instance, unique while it lives. */
  name: z.string().min(1),
  failureDomain: z.string().min(1),
  region: z.string().min(1),
});

/** Checks where the platform's services are. */
export const platformSchema = z.strictObject({
  keyValue: addressSchema,
  instances: addressSchema,
  /** Milliseconds until a call of the key-value service is given up. */
  keyValueTimeoutMs: z.int().min(10).default(2000),
  /** Milliseconds between reads of the list of instances. */
  instancesIntervalMs: z.int().min(100).default(2000),
});

/** Checks where the secrets are; each has a file or an environment variable. */
export const secretsSchema = z.strictObject({
  clusterKeyFile: z.string().optional(),
  monitorKeyFile: z.string().optional(),
});

/** Checks the settings of the log. */
export const logSchema = z.strictObject({level: z.enum(logLevels).default('info')});

/** Checks the limits on other processes' and operators' requests. */
export const limitsSchema = serverLimitsSchema;

/** Secrets of a process. */
export interface Secrets {
  readonly clusterKey: string;
  /** The monitor's public key, SPKI in base64. */
  readonly monitorKey: string;
}

const MIN_CLUSTER_KEY_LENGTH = 16;
const environmentNames = {
  clusterKey: 'MARIGOLDFOLD_CLUSTER_KEY',
  monitorKey: 'MARIGOLDFOLD_MONITOR_KEY',
} as const;

/** Reads the secrets; each error names what is missing, never a value. */
export function readSecrets(
  files: z.infer<typeof secretsSchema>,
  environment: Readonly<Record<string, string | undefined>>,
): Result<Secrets, readonly string[]> {
  const clusterKey = readSecret(files.clusterKeyFile, 'clusterKey', environment);
  const monitorKey = readSecret(files.monitorKeyFile, 'monitorKey', environment);
  const problems: string[] = [];
  if (clusterKey.isErr()) problems.push(clusterKey.error);
  else if (clusterKey.value.length < MIN_CLUSTER_KEY_LENGTH) {
    problems.push(`the cluster key has fewer than ${MIN_CLUSTER_KEY_LENGTH} characters`);
  }
  if (monitorKey.isErr()) problems.push(monitorKey.error);
  if (problems.length > 0 || clusterKey.isErr() || monitorKey.isErr()) return err(problems);
  return ok({clusterKey: clusterKey.value, monitorKey: monitorKey.value});
}

function readSecret(
  file: string | undefined,
  name: keyof typeof environmentNames,
  environment: Readonly<Record<string, string | undefined>>,
): Result<string, string> {
  const variable = environmentNames[name];
  if (file === undefined) {
    const value = environment[variable]?.trim();
    if (value !== undefined && value !== '') return ok(value);
    return err(`secrets.${name}File is not set and neither is ${variable}`);
  }
  try {
    return ok(readFileSync(file, 'utf8').trim());
  } catch {
    return err(`secrets.${name}File: ${file} cannot be read`);
  }
}
