/** Reads the sample lines of the Prometheus text format that our processes write. */

/** One sample of a metric. */
export interface MetricSample {
  readonly name: string;
  readonly labels: ReadonlyMap<string, string>;
  readonly value: number;
}

const samplePattern = /^([a-zA-Z_:][\w:]*)(?:\{(.*)\})?\s+(\S+)/;
const labelPattern = /(\w+)="((?:[^"\\]|\\.)*)"/g;
const escapes: Readonly<Record<string, string>> = {'\\n': '\n', '\\"': '"', '\\\\': '\\'};

/** The samples of one metric; lines of others, comments and unreadable lines are passed over. */
export function parseMetricSamples(text: string, metric: string): readonly MetricSample[] {
  const samples: MetricSample[] = [];
  for (const line of text.split('\n')) {
    if (!line.startsWith(metric)) continue;
    const [, name, labels = '', value] = samplePattern.exec(line) ?? [];
    if (name !== metric || !Number.isFinite(Number(value))) continue;
    samples.push({name, labels: parseLabels(labels), value: Number(value)});
  }
  return samples;
}

function parseLabels(text: string): ReadonlyMap<string, string> {
  const labels = new Map<string, string>();
  for (const [, name, value] of text.matchAll(labelPattern)) {
    if (name === undefined || value === undefined) continue;
    labels.set(
      name,
      value.replace(/\\[n"\\]/g, (escape) => escapes[escape] ?? escape),
    );
  }
  return labels;
}
