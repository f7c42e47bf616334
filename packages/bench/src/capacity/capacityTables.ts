/** Renders the tables of the capacity page from measured slopes. */
import type {SlopeReport} from '../slopes/slope.js';
import {
  computeAgentBudgets,
  type CapacityBudget,
  computeTrafficFigures,
  computeEntryBudgets,
  type CapacityFigure,
  computeServiceFigures,
  CostSlopeTable,
} from './figures.js';

const SIGNIFICANT_DIGITS = 3;

/** Markdown tables by the name of their placeholder in the page. */
export function formatCapacityTables(report: SlopeReport): ReadonlyMap<string, string> {
  const table = new CostSlopeTable(report);
  const entry = computeEntryBudgets(table);
  const agent = computeAgentBudgets(table);
  return new Map([
    ['machine', describeMachine(report)],
    ['slopes', slopeTable(report)],
    ['entry', entry.map(describeBudget).join('\n\n')],
    ['agent', agent.map(describeBudget).join('\n\n')],
    ['carriage', figureTable(computeTrafficFigures(table))],
    ['service', figureTable(computeServiceFigures())],
    ['limits', limitsTable([...withRole('entry', entry), ...withRole('agent', agent)])],
  ]);
}

/** Replaces the tables between their markers. Throws when a placeholder has no table or a table no placeholder. */
export function fillTables(page: string, tables: ReadonlyMap<string, string>): string {
  const unused = new Set(tables.keys());
  const filled = page.replace(
    /(<!-- table: (\w+) -->\n)[\s\S]*?(<!-- end -->)/g,
    (_whole, open: string, name: string, close: string) => {
      const table = tables.get(name);
      if (table === undefined)
        throw new Error(`the page has a placeholder for an unknown table: ${name}`);
      unused.delete(name);
      return `${open}\n${table}\n\n${close}`;
    },
  );
  if (unused.size > 0)
    throw new Error(`the page has no placeholders for the tables: ${[...unused].join(', ')}`);
  return filled;
}

function describeMachine({node, cores, loadAverage}: SlopeReport): string {
  const load = loadAverage.toFixed(1);
  return `Measured with Node.js ${node} on one machine with ${cores} cores, whose load was ${load} during the run.`;
}

function slopeTable({slopes: all}: SlopeReport): string {
  const rows = all.map(({id, unit, points, intercept, slope}) => {
    const shown = points.map(({x, y}) => `${x}: ${formatNumber(y)}`).join(', ');
    return [`\`${id}\``, unit, shown, formatNumber(intercept), formatNumber(slope)];
  });
  return markdownTable(['cost/size', 'unit', 'measured', 'at zero', 'per one'], rows);
}

function describeBudget({title, parts, sum, unit, limit, isWithinLimit}: CapacityBudget): string {
  const rows = parts.map(figureRow);
  const verdict = isWithinLimit ? 'held' : '**not held**';
  rows.push([
    '**sum**',
    `limit ${formatNumber(limit)} ${unit}: ${verdict}`,
    `${formatNumber(sum)} ${unit}`,
  ]);
  return `**${title}**\n\n${markdownTable(['item', 'formula', 'value'], rows)}`;
}

function figureTable(all: readonly CapacityFigure[]): string {
  return markdownTable(['item', 'formula', 'value'], all.map(figureRow));
}

function figureRow({item, formula, value, unit}: CapacityFigure): readonly string[] {
  return [item, `\`${formula}\``, `${formatNumber(value)} ${unit}`];
}

interface NamedBudget {
  readonly role: string;
  readonly budget: CapacityBudget;
}

function withRole(role: string, budgets: readonly CapacityBudget[]): readonly NamedBudget[] {
  return budgets.map((budget) => ({role, budget}));
}

function limitsTable(all: readonly NamedBudget[]): string {
  const rows = all.map(({role, budget: {title, sum, unit, limit, isWithinLimit}}) => [
    `${role}: ${title}`,
    `${formatNumber(limit)} ${unit}`,
    `${formatNumber(sum)} ${unit}`,
    isWithinLimit ? 'held' : '**not held**',
  ]);
  return markdownTable(['limit', 'allowed', 'from the slopes', 'verdict'], rows);
}

function markdownTable(heading: readonly string[], rows: readonly (readonly string[])[]): string {
  const line = (cells: readonly string[]) => `| ${cells.join(' | ')} |`;
  return [line(heading), line(heading.map(() => '---')), ...rows.map(line)].join('\n');
}

function formatNumber(value: number): string {
  const rounded = Number(value.toPrecision(SIGNIFICANT_DIGITS));
  const isPlain = rounded === 0 || Math.abs(rounded) >= 0.001;
  return isPlain
    ? rounded.toLocaleString('en-GB', {maximumSignificantDigits: SIGNIFICANT_DIGITS})
    : rounded.toExponential();
}
