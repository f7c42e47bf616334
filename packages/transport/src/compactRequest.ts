/** Requests whose heads occupy the memory of their bytes while they are handled. */
import {IncomingMessage, type IncomingHttpHeaders} from 'node:http';
import {HeaderLines, readFields} from './headerLines.js';

/** Fields that `http.Server` and the readers of bodies use. */
const serverFields: readonly string[] = [
  'connection',
  'content-length',
  'expect',
  'host',
  'te',
  'transfer-encoding',
  'upgrade',
];

/** A request that counts the bytes of its body as they arrive. */
export class CountedRequest extends IncomingMessage {
  bodyBytes = 0;

  override push(chunk: Buffer | string | null, encoding?: BufferEncoding): boolean {
    this.bodyBytes += chunk?.length ?? 0;
    return super.push(chunk, encoding);
  }
}

const noTrailers: readonly string[] = [];

/**
 * A request that keeps its header lines as one string: `rawHeaders` makes a new array for each access, `headers` has only the
 * fields that the server reads. Trailers are discarded.
 */
export class CompactRequest extends CountedRequest {
  /** Names in lower case of the fields in `headers`. */
  static readonly fieldNames: ReadonlySet<string> = new Set(serverFields);

  // Set by the constructor of the base class, through the accessors below.
  declare headerLines: HeaderLines;
  declare fields: IncomingHttpHeaders;

  /** Memory that the head occupies, in bytes. */
  get headBytes(): number {
    return this.headerLines.bytes + (this.url?.length ?? 0);
  }
}

// TypeScript declares these as properties, which a class cannot override with accessors.
Object.defineProperties(CompactRequest.prototype, {
  rawHeaders: {
    get(this: CompactRequest) {
      return this.headerLines.toArray();
    },
    set(this: CompactRequest, lines: readonly string[]) {
      this.headerLines = new HeaderLines(lines);
      this.fields = readFields(lines, (this.constructor as typeof CompactRequest).fieldNames);
    },
  },
  headers: {
    get(this: CompactRequest) {
      return this.fields;
    },
  },
  rawTrailers: {get: () => noTrailers, set: () => undefined},
  trailers: {get: () => ({})},
});

/** A class of requests for a server that reads these fields besides those of HTTP itself; the names are in lower case. */
export function compactRequestClass(fieldNames: Iterable<string>): typeof CompactRequest {
  const names = new Set([...serverFields, ...fieldNames]);
  return class extends CompactRequest {
    static override readonly fieldNames = names;
  };
}
