/** Header lines in the memory of their bytes; as separate strings they occupy many times as much. */
import type {IncomingHttpHeaders} from 'node:http';

const SEPARATOR = '\n';

/** Header fields of which Node.js keeps the first line only; all others are joined. Source: `message.headers` of node:http. */
const singleFields: ReadonlySet<string> = new Set([
  'age',
  'authorization',
  'content-length',
  'content-type',
  'etag',
  'expires',
  'from',
  'host',
  'if-modified-since',
  'if-unmodified-since',
  'last-modified',
  'location',
  'max-forwards',
  'proxy-authorization',
  'referer',
  'retry-after',
  'server',
  'user-agent',
]);

/** The header lines of one message, as one string. */
export class HeaderLines {
  /** No line contains a line break. */
  readonly #text: string;

  /** Takes alternating names and values; the array is not kept. */
  constructor(lines: readonly string[]) {
    this.#text = lines.join(SEPARATOR);
  }

  /** Memory that the lines occupy, in bytes. */
  get bytes(): number {
    return this.#text.length;
  }

  /** Alternating names and values, in the order and case in which they arrived; a new array for each call. */
  toArray(): string[] {
    return this.#text === '' ? [] : this.#text.split(SEPARATOR);
  }
}

/** The values of some fields, merged like `message.headers` of node:http; the names are in lower case. */
export function readFields(
  lines: readonly string[],
  names: ReadonlySet<string>,
): IncomingHttpHeaders {
  const fields: Record<string, string> = {};
  for (let index = 0; index + 1 < lines.length; index += 2) {
    const name = (lines[index] ?? '').toLowerCase();
    if (!names.has(name)) continue;
    const value = lines[index + 1] ?? '';
    const former = fields[name];
    if (former === undefined) fields[name] = value;
    else if (!singleFields.has(name)) fields[name] = `${former}, ${value}`;
  }
  return fields;
}
