/** Settings and secrets shared by entry and agent. */
import {createPublicKey} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {logLevels} from '@marigoldfold/runtime';
import {serverLimitsSchema} from '@marigoldfold/transport';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';

const MAX_PORT = 65_535;

/** Schema of a `host:port` address. */
export const addressSchema = z
  .string()
  .regex(/^[^:\s]+:\d{1,5}$/, 'an address such as 10.0.0.5:8080')
  .refine((address) => Number(address.slice(address.lastIndexOf(':') + 1)) <= MAX_PORT, {
    error: `a port of at most ${MAX_PORT}`,
  });

/** Schema of the settings that identify a process. */
export const processSchema = z.strictObject({
  name: z.string().min(1).describe('Name of the instance, unique among running instances.'),
  failureDomain: z.string().min(1).describe('Failure domain that the instance is in.'),
  region: z.string().min(1).describe('Region that the failure domain is in.'),
});

/** Schema of the addresses and timings of the platform's services. */
export const platformSchema = z.strictObject({
  keyValue: addressSchema.describe('Address of the key-value service.'),
  instances: addressSchema.describe(
    'Address of the service that lists live and leaving instances.',
  ),
  keyValueTimeoutMs: z
    .int()
    .min(10)
    .max(60_000)
    .default(2000)
    .describe('Timeout of a call to the key-value service, in milliseconds.'),
  instancesIntervalMs: z
    .int()
    .min(100)
    .max(600_000)
    .default(2000)
    .describe('Milliseconds between reads of the list of instances.'),
});

/** Schema of the secret files; a secret without a file is read from an environment variable. */
export const secretsSchema = z.strictObject({
  clusterKeyFile: z
    .string()
    .optional()
    .describe('File with the cluster key; without it, MARIGOLDFOLD_CLUSTER_KEY is read.'),
  monitorKeyFile: z
    .string()
    .optional()
    .describe("File with the monitor's public key; without it, MARIGOLDFOLD_MONITOR_KEY is read."),
});

/** Schema of the `log` section of a settings file. */
export const logSchema = z.strictObject({
  level: z.enum(logLevels).default('info').describe('Lowest severity that is logged.'),
});

/** Schema of the server limits for requests from other processes and operators. */
export const limitsSchema = serverLimitsSchema;

/** Secrets that entry and agent require. */
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

/** Reads the secrets; errors name the missing or invalid secret but never contain its value. */
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
  else if (!isEd25519(monitorKey.value)) {
    problems.push("the monitor's key is not an Ed25519 public key (SPKI in base64)");
  }
  if (problems.length > 0 || clusterKey.isErr() || monitorKey.isErr()) return err(problems);
  return ok({clusterKey: clusterKey.value, monitorKey: monitorKey.value});
}

function isEd25519(spkiBase64: string): boolean {
  try {
    const key = Buffer.from(spkiBase64, 'base64');
    const {asymmetricKeyType} = createPublicKey({key, format: 'der', type: 'spki'});
    return asymmetricKeyType === 'ed25519';
  } catch {
    return false;
  }
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
