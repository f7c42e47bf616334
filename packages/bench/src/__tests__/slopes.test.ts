import {readFileSync} from 'node:fs';
import {format, resolveConfig} from 'prettier';
import {describe, expect, it} from 'vitest';
import {resolveRepositoryFile} from '../__fixtures__/documentedLines.js';
import {formatCapacityTables, fillTables} from '../capacity/capacityTables.js';
import {computeSampleQuantiles} from '../overhead/quantiles.js';
import {fitSlope, type SlopeReport} from '../slopes/slope.js';

describe('a slope', () => {
  it('goes through points on a line', () => {
    const points = [1, 2, 5].map((x) => ({x, y: 10 + 3 * x}));
    const {intercept, slope} = fitSlope('a', 'B', points);
    expect(intercept).toBeCloseTo(10);
    expect(slope).toBeCloseTo(3);
  });

  it('is zero when all points have the same size', () => {
    const points = [2, 4].map((y) => ({x: 7, y}));
    expect(fitSlope('a', 'B', points)).toMatchObject({intercept: 3, slope: 0});
  });
});

describe('quantiles', () => {
  it('are taken from the sorted values', () => {
    const values = Array.from({length: 200}, (_, index) => 200 - index);
    expect(computeSampleQuantiles(values)).toEqual({p50: 101, p99: 199});
  });
});

describe('the capacity page', () => {
  it('contains the tables computed from docs/capacity/slopes.json', async () => {
    const file = resolveRepositoryFile('docs/CAPACITY.md');
    const page = readFileSync(file, 'utf8');
    const text = readFileSync(resolveRepositoryFile('docs/capacity/slopes.json'), 'utf8');
    const tables = formatCapacityTables(JSON.parse(text) as SlopeReport);
    const options = await resolveConfig(file);
    const current = await format(fillTables(page, tables), {...options, parser: 'markdown'});
    expect(page).toBe(current);
  });

  it('is rejected if a table has no marker or a marker has no table', () => {
    const tables = new Map([['a', 'text']]);
    expect(fillTables('<!-- table: a -->\nold\n<!-- end -->', tables)).toContain('text');
    expect(() => fillTables('', tables)).toThrow('no placeholders for the tables: a');
    expect(() => fillTables('<!-- table: b -->\n<!-- end -->', tables)).toThrow('unknown table: b');
  });
});
