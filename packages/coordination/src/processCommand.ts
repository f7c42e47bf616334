/** Loads the settings file and drains on signals; shared by the commands of entry and agent. */
import {readFileSync} from 'node:fs';
import {formatProblem, type Logger, parseSettings} from '@marigoldfold/runtime';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {readSecrets, type Secrets, secretsSchema} from './processSettings.js';

/** Settings of a process with the secrets that they refer to. */
export interface LoadedSettings<T> {
  readonly settings: T;
  readonly secrets: Secrets;
}

/** Loads a settings file and its secrets; the error has one line for each problem. */
export function loadProcessSettings<T extends {readonly secrets: z.infer<typeof secretsSchema>}>(
  schema: z.ZodType<T>,
  file: string,
  environment: Readonly<Record<string, string | undefined>>,
): Result<LoadedSettings<T>, string> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch {
    return err(`${file} cannot be read`);
  }
  const settings = parseSettings(schema, text);
  const secrets = parseSettings(secretsPartSchema, text)
    .map((part) => part.secrets)
    .unwrapOr({});
  const read = readSecrets(secrets, environment);
  if (settings.isOk() && read.isOk()) return ok({settings: settings.value, secrets: read.value});
  const settingsProblems = settings.isErr() ? settings.error.map(formatProblem) : [];
  const secretsProblems = read.isErr() ? read.error : [];
  return err(formatProblems(file, [...settingsProblems, ...secretsProblems]));
}

/**
 * Parses the secrets on their own, so that their problems are
 * reported along with those of other settings.
 */
const secretsPartSchema = z.looseObject({secrets: secretsSchema.default({})});

function formatProblems(file: string, problems: readonly string[]): string {
  return [
    `${file} has ${problems.length} problem(s):`,
    ...problems.map((line) => `  ${line}`),
  ].join('\n');
}

/** Emitter of signals: `process`, or a substitute in tests. */
export interface SignalSource {
  on(signal: 'SIGINT' | 'SIGTERM', handle: (signal: string) => void): unknown;
  off(signal: 'SIGINT' | 'SIGTERM', handle: (signal: string) => void): unknown;
}

/** Drains a process on SIGINT or SIGTERM; further signals are logged and do not interrupt requests. */
export function drainOnSignal(
  drain: () => Promise<void>,
  logger: Logger,
  countActive: () => number,
  signals: SignalSource = process,
): Promise<void> {
  return new Promise((resolve) => {
    let isDraining = false;
    const handle = (signal: string) => {
      if (isDraining) {
        logger.warn('still draining', {signal, wouldBeCut: countActive()});
        return;
      }
      isDraining = true;
      logger.info('draining', {signal});
      void drain().then(() => {
        signals.off('SIGINT', handle);
        signals.off('SIGTERM', handle);
        resolve();
      });
    };
    signals.on('SIGINT', handle);
    signals.on('SIGTERM', handle);
  });
}
