/** Explains the outcome of one request from the log lines of several processes. */
import {err, ok, type Result} from 'neverthrow';

/** Reason why a request cannot be explained: no log lines at all, or none with its ID. */
export interface ExplainError {
  readonly code: 'no_lines' | 'unknown_request';
  readonly message: string;
}

/** A parsed log line with its required fields and all fields. */
interface LogLine {
  readonly time: string;
  readonly process: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * Fields that are not printed as `name=value`, because they are printed at the start of each line or are the same in
 * all lines.
 */
const prefixFields: ReadonlySet<string> = new Set([
  'time',
  'level',
  'process',
  'message',
  'request',
]);
/** Log messages that report a state of the process; the state lasts until the next message of the same kind. */
const processStateMessages: ReadonlySet<string> = new Set([
  'configuration',
  'key-value service lost',
  'key-value service regained',
  'stopping',
  'started',
]);

/** Parses the JSON of a line; text before it, such as a log collector's prefix, is ignored. */
function parseLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  let parsed: unknown;
  try {
    parsed = JSON.parse(text.slice(start));
  } catch {
    return undefined;
  }
  if (typeof parsed !== 'object' || parsed === null) return undefined;
  const fields = parsed as Record<string, unknown>;
  const {time, process, message} = fields;
  if (typeof time !== 'string' || typeof process !== 'string' || typeof message !== 'string') {
    return undefined;
  }
  return {time, process, message, fields};
}

/**
 * Returns the log lines that explain a request, in order of time: the state of each process involved when the request
 * started, the decisions on the request, and state changes until its last line.
 */
export function explainRequest(
  id: string,
  input: Iterable<string>,
): Result<readonly string[], ExplainError> {
  const lines = [...input]
    .map(parseLine)
    .filter((line) => line !== undefined)
    .sort((a, b) => (a.time < b.time ? -1 : 1));
  if (lines.length === 0) {
    return err({code: 'no_lines', message: 'the input contains no marigoldfold log lines'});
  }
  const requestLines = lines.filter(({fields}) => fields.request === id);
  const [first] = requestLines;
  const last = requestLines.at(-1);
  if (first === undefined || last === undefined) {
    const message = `no log line has request ID ${id}; under load, routine lines are dropped first`;
    return err({code: 'unknown_request', message});
  }
  const processes = new Set(requestLines.map(({process}) => process));
  const endpoints = new Set(requestLines.map(({fields}) => fields.endpoint));
  const relevantLines = lines.filter((line) => {
    if (line.fields.request === id) return true;
    if (!processes.has(line.process)) return false;
    const isWithin = line.time >= first.time && line.time <= last.time;
    if (processStateMessages.has(line.message)) return isWithin;
    return isWithin && line.message === 'endpoint' && endpoints.has(line.fields.endpoint);
  });
  const earlierStates = [...processes].flatMap((process) =>
    latestStatesBefore(lines, process, endpoints, first.time),
  );
  const explanation = [...earlierStates, ...relevantLines].toSorted((a, b) =>
    a.time < b.time ? -1 : 1,
  );
  return ok(explanation.map(formatLine));
}

/** The latest state line of each kind that a process logged before a time. */
function latestStatesBefore(
  lines: readonly LogLine[],
  process: string,
  endpoints: ReadonlySet<unknown>,
  time: string,
): readonly LogLine[] {
  const latestByKind = new Map<string, LogLine>();
  for (const line of lines) {
    if (line.process !== process || line.time >= time) continue;
    const {message, fields} = line;
    if (processStateMessages.has(message)) latestByKind.set(toStateKind(message), line);
    if (message === 'endpoint' && endpoints.has(fields.endpoint)) {
      latestByKind.set(`endpoint ${String(fields.endpoint)}`, line);
    }
  }
  return [...latestByKind.values()];
}

/**
 * Returns the kind of a state message. Loss and recovery of the key-value service are the same kind, so a recovery
 * replaces the loss.
 */
function toStateKind(message: string): string {
  return message.startsWith('key-value service') ? 'key-value service' : message;
}

function formatLine({time, process, message, fields}: LogLine): string {
  const details = Object.entries(fields)
    .filter(([name]) => !prefixFields.has(name))
    .map(([name, value]) => `${name}=${String(value)}`);
  return [time, process, message, ...details].join('  ');
}
