/** Request counts by class and outcome, read from entries, and their history in a file. */
import {type RequestOutcome, requestOutcomes, requestsMetricName} from '@marigoldfold/entry';
import type {HttpClient} from '@marigoldfold/transport';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {parseMetricSamples} from './metricSamples.js';

const countsSchema = z.partialRecord(z.enum(requestOutcomes), z.number().min(0));

/** Schema of one line of a history file. */
const sampleSchema = z.object({
  /** Time of the sample, in milliseconds since 1970. */
  atMs: z.number(),
  /** Address of the entry. */
  entry: z.string(),
  /** Counts since the start of the entry, by class. */
  classes: z.record(z.string(), countsSchema),
});

/** Counts since the start of an entry, by outcome. */
export type OutcomeCounts = Readonly<Partial<Record<RequestOutcome, number>>>;

/** The counts of one entry at one time, as stored in a history file. */
export type HistorySample = Readonly<z.infer<typeof sampleSchema>>;

const READ_TIMEOUT_MS = 5000;
const OK = 200;

/** Fetches `/metrics` of an entry and parses its counts; the error is a message with the address. */
export async function fetchEntryCounts(
  client: HttpClient,
  entry: string,
  atMs: number,
): Promise<Result<HistorySample, string>> {
  const request = {
    address: entry,
    method: 'GET',
    path: '/metrics',
    timeoutMs: READ_TIMEOUT_MS,
  };
  const answer = await client.fetch(request);
  if (answer.isErr()) return err(`${entry}: ${answer.error.message}`);
  const {status, body} = answer.value;
  if (status !== OK) return err(`${entry}: /metrics returned status ${status}`);
  return ok({atMs, entry, classes: parseClassCounts(body.toString())});
}

/** Parses the counts from the metrics text of an entry; unknown outcomes are skipped. */
export function parseClassCounts(text: string): HistorySample['classes'] {
  const classes: Record<string, Partial<Record<RequestOutcome, number>>> = {};
  for (const {labels, value} of parseMetricSamples(text, requestsMetricName)) {
    const className = labels.get('class');
    const outcome = requestOutcomes.find((known) => known === labels.get('outcome'));
    if (className === undefined || outcome === undefined) continue;
    const counts = (classes[className] ??= {});
    counts[outcome] = value;
  }
  return classes;
}

/** Samples in order of time, with a message for each line that was skipped. */
export interface SampleHistory {
  readonly samples: readonly HistorySample[];
  readonly problems: readonly string[];
}

/** Parses a history file; invalid lines are reported and skipped. */
export function parseHistory(text: string, file: string): SampleHistory {
  const samples: HistorySample[] = [];
  const problems: string[] = [];
  for (const [index, line] of text.split('\n').entries()) {
    if (line.trim() === '') continue;
    const sample = parseLine(line);
    if (sample.isOk()) samples.push(sample.value);
    else problems.push(`${file}:${index + 1}: skipped: ${sample.error}`);
  }
  samples.sort((a, b) => a.atMs - b.atMs);
  return {samples, problems};
}

/** Formats a sample as a line of a history file. */
export function formatSample(sample: HistorySample): string {
  return `${JSON.stringify(sample)}\n`;
}

function parseLine(line: string): Result<HistorySample, string> {
  let document: unknown;
  try {
    document = JSON.parse(line);
  } catch {
    return err('the line is not JSON');
  }
  const checked = sampleSchema.safeParse(document);
  if (checked.success) return ok(checked.data);
  const [issue] = checked.error.issues;
  return err(`${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'the line is not a sample'}`);
}
