/** Parses samples in the Prometheus text format, as far as Marigoldfold's processes use it. */

/** One sample of a metric with its labels. */
export interface MetricSample {
  readonly name: string;
  readonly labels: ReadonlyMap<string, string>;
  readonly value: number;
}

const samplePattern = /^([a-zA-Z_:][\w:]*)(?:\{(.*)\})?\s+(\S+)/;
const labelPattern = /(\w+)="((?:[^"\\]|\\.)*)"/g;
const escapes: Readonly<Record<string, string>> = {'\\n': '\n', '\\"': '"', '\\\\': '\\'};

/** Parses the samples of one metric; other metrics, comments and invalid lines are skipped. */
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
