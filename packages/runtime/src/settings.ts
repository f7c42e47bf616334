/** Reads TOML settings against a schema and reports every problem at once. */
import {err, ok, type Result} from 'neverthrow';
import {parse} from 'smol-toml';
import type {z} from 'zod';

/** One problem of a document. */
export interface SettingsProblem {
  /** The dotted path of the key; empty for the document as a whole. */
  readonly key: string;
  /** What was found there, as JSON. */
  readonly value: string;
  /** What is allowed. */
  readonly message: string;
}

/** Parses a TOML document and checks it. */
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

/** Checks an already parsed document. */
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

/** One line for a person: key, value and what is allowed. */
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

/** A key may hold a secret by mistake, such as a bearer key in the place of its digest. */
function mayHoldSecret(path: readonly PropertyKey[]): boolean {
  return path.some((part) => /(?:key|secret|password|token|sha256|digests?)$/i.test(String(part)));
}
