/** Tells the story of one request from the log lines of several processes. */
import {err, ok, type Result} from 'neverthrow';

/** Why there is no story. */
export interface ExplainError {
  readonly code: 'no_lines' | 'unknown_request';
  readonly message: string;
}

/** A log line with the fields that the story needs. */
interface LogLine {
  readonly time: string;
  readonly process: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Fields that are told at the beginning of a line. */
const prefixFields: ReadonlySet<string> = new Set([
  'time',
  'level',
  'process',
  'message',
  'request',
]);
/** Beliefs of a process that hold until the next line of the same kind. */
const processStateMessages: ReadonlySet<string> = new Set([
  'configuration',
  'key-value service lost',
  'key-value service regained',
  'stopping',
  'started',
]);

/** Lines of other text in the input, such as a prefix of the collector, are allowed before the JSON. */
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

/** The story of a request: what each process believed, then each decision in the order of time. */
export function explainRequest(
  id: string,
  input: Iterable<string>,
): Result<readonly string[], ExplainError> {
  const lines = [...input]
    .map(parseLine)
    .filter((line) => line !== undefined)
    .sort((a, b) => (a.time < b.time ? -1 : 1));
  if (lines.length === 0) {
    return err({code: 'no_lines', message: 'the input has no log lines of marigoldfold'});
  }
  const requestLines = lines.filter(({fields}) => fields.request === id);
  const [first] = requestLines;
  const last = requestLines.at(-1);
  if (first === undefined || last === undefined) {
    const message = `no line names request ${id}; routine lines are left out first under load`;
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

/** The newest belief of each kind that a process had before a time. */
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

/** A service that was regained takes the place of its loss. */
function toStateKind(message: string): string {
  return message.startsWith('key-value service') ? 'key-value service' : message;
}

function formatLine({time, process, message, fields}: LogLine): string {
  const details = Object.entries(fields)
    .filter(([name]) => !prefixFields.has(name))
    .map(([name, value]) => `${name}=${String(value)}`);
  return [time, process, message, ...details].join('  ');
}
