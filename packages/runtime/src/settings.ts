/** Validates TOML settings against a schema and reports all problems at once. */
import {err, ok, type Result} from 'neverthrow';
import {parse} from 'smol-toml';
import type {z} from 'zod';

/** One problem in a settings document. */
export interface SettingsProblem {
  /** Dotted path of the key; empty for a problem of the whole document. */
  readonly key: string;
  /** The value found, as JSON of at most 200 characters; redacted for secrets. */
  readonly value: string;
  /** Requirement of the schema that the value does not meet. */
  readonly message: string;
}

/** Parses and validates a TOML document. */
export function parseSettings<T>(
  schema: z.ZodType<T>,
  text: string,
): Result<T, readonly SettingsProblem[]> {
  let document: unknown;
  try {
    document = parse(text);
  } catch (error) {
    const message = error instanceof Error ? error.message : 'not a TOML document';
    return err([{key: '', value: '', message}]);
  }
  return checkDocument(schema, document);
}

/** Validates a parsed document. */
export function checkDocument<T>(
  schema: z.ZodType<T>,
  document: unknown,
): Result<T, readonly SettingsProblem[]> {
  const outcome = schema.safeParse(document);
  if (outcome.success) return ok(outcome.data);
  const problems: SettingsProblem[] = [];
  for (const issue of outcome.error.issues) {
    const unknownKeys = issue.code === 'unrecognized_keys' ? issue.keys : [undefined];
    for (const unknownKey of unknownKeys) {
      const path = unknownKey === undefined ? issue.path : [...issue.path, unknownKey];
      problems.push({
        key: path.join('.'),
        value: mayHoldSecret(path)
          ? 'a value that is not shown'
          : describeValue(valueAt(document, path)),
        message: unknownKey === undefined ? issue.message : 'unknown key',
      });
    }
  }
  return err(problems);
}

/** Formats a problem as one readable line: key, message and value found. */
export function formatProblem(problem: SettingsProblem): string {
  if (problem.key === '') return problem.message;
  return `${problem.key}: ${problem.message} (found ${problem.value})`;
}

function valueAt(document: unknown, path: readonly PropertyKey[]): unknown {
  let value: unknown = document;
  for (const key of path) {
    if (typeof value !== 'object' || value === null) return undefined;
    value = (value as Record<PropertyKey, unknown>)[key];
  }
  return value;
}

const MAX_VALUE_LENGTH = 200;

function describeValue(value: unknown): string {
  if (value === undefined) return 'nothing';
  const text = JSON.stringify(value);
  return text.length > MAX_VALUE_LENGTH ? `${text.slice(0, MAX_VALUE_LENGTH)}…` : text;
}

/** Whether the value may be a secret, also by mistake: for example, a bearer key in place of its digest. */
function mayHoldSecret(path: readonly PropertyKey[]): boolean {
  return path.some((part) => /(?:key|secret|password|token|sha256|digests?)$/i.test(String(part)));
}
