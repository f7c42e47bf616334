import {RequestMetrics} from '@marigoldfold/entry';
import {Registry} from 'prom-client';
import {describe, expect, it} from 'vitest';
import {buildBurnPage} from '../burnPage.js';
import {computeClassBurns, computeIncreases} from '../burnRates.js';
import {formatBurnTable} from '../burnTable.js';
import {parseMetricSamples} from '../metricSamples.js';
import {parseObjectives} from '../objectives.js';
import {parseClassCounts, formatSample, parseHistory, type HistorySample} from '../samples.js';

const MINUTE_MS = 60_000;
const objective95 = () => 0.95;

function sample(minute: number, classes: HistorySample['classes'], entry = 'a:1'): HistorySample {
  return {atMs: minute * MINUTE_MS, entry, classes};
}

describe('parsing the metrics of an entry', () => {
  it('parses the output of the metrics registry', async () => {
    const registry = new Registry();
    const metrics = new RequestMetrics(registry);
    metrics.requests.inc({class: 'urgent', outcome: 'attained'}, 7);
    metrics.requests.inc({class: 'urgent', outcome: 'late'}, 2);
    metrics.requests.inc({class: 'bulk', outcome: 'limited'}, 1);
    expect(parseClassCounts(await registry.metrics())).toEqual({
      urgent: {attained: 7, late: 2},
      bulk: {limited: 1},
    });
  });

  it('unescapes labels and skips metrics with a similar name', () => {
    const text = 'm{a="x\\"y\\\\z\\n"} 4 1700000\nm_total 3\n# TYPE m counter\nm{a="b"} NaN\n';
    const samples = parseMetricSamples(text, 'm');
    expect(samples).toHaveLength(1);
    expect(samples[0]).toMatchObject({value: 4});
    expect(samples[0]?.labels.get('a')).toBe('x"y\\z\n');
  });
});

describe('computeIncreases', () => {
  it('computes increases per entry and handles a restart', () => {
    const samples = [
      sample(0, {urgent: {attained: 100}}),
      sample(0, {urgent: {attained: 5}}, 'b:1'),
      sample(1, {urgent: {attained: 110, late: 1}}),
      sample(1, {urgent: {attained: 9}}, 'b:1'),
      sample(2, {urgent: {attained: 3, failed: 2}}),
    ];
    const tallies = computeIncreases(samples).map(({attained, missed}) => [attained, missed]);
    expect(tallies).toEqual([
      [10, 1],
      [4, 0],
      [3, 2],
    ]);
  });

  it('counts a class from its first request on and does not count cancelled requests', () => {
    const samples = [sample(0, {}), sample(1, {bulk: {attained: 1, limited: 3, cancelled: 4}})];
    expect(computeIncreases(samples)).toEqual([
      {atMs: MINUTE_MS, class: 'bulk', attained: 1, missed: 0, limited: 3},
    ]);
  });
});

describe('computeClassBurns', () => {
  it('divides the missed share by the allowed share in each window', () => {
    const samples = [
      sample(0, {urgent: {attained: 0, late: 0}}),
      sample(25, {urgent: {attained: 900, late: 0}}),
      sample(60, {urgent: {attained: 990, late: 10}}),
    ];
    const [burn] = computeClassBurns(samples, objective95);
    expect(burn?.windows.map(({window}) => window)).toEqual(['5m', '30m', '1h']);
    const [five, thirty, hour] = burn?.windows ?? [];
    expect(five?.burnRate).toBeCloseTo(2);
    expect(thirty?.burnRate).toBeCloseTo(2);
    expect(hour?.burnRate).toBeCloseTo(0.2);
    expect(burn?.budgetLeft).toBeCloseTo(0.8);
  });

  it('reports windows up to the first one that the samples cover only partly', () => {
    const [burn] = computeClassBurns([sample(0, {a: {}}), sample(2, {a: {late: 1}})], objective95);
    expect(burn?.windows).toMatchObject([{window: '5m', coveredMs: 2 * MINUTE_MS}]);
    expect(burn?.budgetLeft).toBeCloseTo(-19);
  });

  it('lists the most urgent class first and marks a class as urgent only while its burn rate is still high', () => {
    const steady = {attained: 0, failed: 0};
    const samples = [sample(0, {calm: steady, past: steady, burning: steady, idle: {}})];
    for (let minute = 1; minute <= 60; minute += 1) {
      samples.push(
        sample(minute, {
          calm: {attained: minute * 10},
          past: {attained: minute * 10, failed: Math.min(minute, 30) * 30},
          burning: {attained: minute, failed: minute * 20},
          idle: {},
        }),
      );
    }
    const burns = computeClassBurns(samples, objective95);
    expect(burns.map((burn) => [burn.class, burn.urgency])).toEqual([
      ['burning', 'now'],
      ['past', 'watch'],
      ['calm', 'none'],
      ['idle', 'none'],
    ]);
    expect(burns.at(-1)?.budgetLeft).toBeUndefined();
    const lines = formatBurnTable(burns).split('\n');
    expect(lines).toHaveLength(5);
    expect(lines[4]).toContain('-');
  });
});

describe('parseObjectives', () => {
  it('accepts an objective for all classes and an objective for one class', () => {
    const of = parseObjectives(['95', '90', 'urgent=99.5%'])._unsafeUnwrap();
    expect([of('urgent'), of('bulk')]).toEqual([0.995, 0.9]);
  });

  it.each(['100', '0', 'urgent=', 'x', '-5', 'urgent=101'])(
    'rejects %s and quotes the value in the error',
    (text) => {
      expect(parseObjectives([text])._unsafeUnwrapErr()).toContain(`--objective ${text}`);
    },
  );
});

describe('parseHistory', () => {
  it('parses samples written by formatSample and reports the lines that it skips', () => {
    const kept = [sample(2, {a: {late: 1}}), sample(1, {a: {}})];
    const text = `${kept.map(formatSample).join('')}{"atMs":1}\n{"atMs":3,"en`;
    const {samples, problems} = parseHistory(text, 'burn.jsonl');
    expect(samples).toEqual([kept[1], kept[0]]);
    expect(problems).toHaveLength(2);
    expect(problems[0]).toContain('burn.jsonl:3');
    expect(problems[0]).toContain('entry');
    expect(problems[1]).toContain('burn.jsonl:4');
  });
});

describe('buildBurnPage', () => {
  const samples = [
    sample(0, {'<b>': {}, urgent: {}}),
    sample(1, {'<b>': {late: 1}, urgent: {attained: 5}}),
    sample(2, {'<b>': {late: 1}, urgent: {attained: 8, late: 1}}),
  ];
  const page = buildBurnPage({
    burns: computeClassBurns(samples, objective95),
    increases: computeIncreases(samples),
    fromMs: 0,
    toMs: 2 * MINUTE_MS,
    entries: ['a:1'],
    problems: ['b:1: not reachable'],
  });

  it('has no external references and escapes names', () => {
    expect(page).not.toMatch(/https?:|src=|href=|@import|url\(|<script/);
    expect(page).not.toContain('<b>');
    expect(page).toContain('&lt;b&gt;');
    expect(page).toContain('b:1: not reachable');
  });

  it('has a plot with units, a line for each class and dark colours', () => {
    expect(page).toContain('time (UTC)');
    expect(page).toContain('burn rate (times the sustainable rate)');
    expect(page).toContain('prefers-color-scheme: dark');
    expect(page.match(/<polyline/g)).toHaveLength(1);
    expect(page.match(/<circle/g)).toHaveLength(1);
    expect(page).not.toMatch(/NaN|Infinity|undefined/);
  });
});
