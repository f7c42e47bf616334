/** The fault matrix as a markdown table. */
import {type Cell, cells, type Expectation, steps, uncoveredSteps} from './cells.js';
import {faults} from './faults.js';

/** Markers around the generated part of the page. */
export const tableMarkers = {
  begin: '<!-- fault matrix: begin -->',
  end: '<!-- fault matrix: end -->',
} as const;

const expectationLetters: Readonly<Record<Expectation, string>> = {whole: 'W', told: 'T', cut: 'C'};

/** Formats the generated part of the page: the table, the steps and the reasons for impossible cells. */
export function formatMatrix(): string {
  const reasons = listReasons();
  const lines = [
    `| step | ${faults.join(' | ')} |`,
    `|${'---|'.repeat(faults.length + 1)}`,
    ...steps.map((step) => {
      const row = cells.filter((cell) => cell.step === step);
      return `| ${step.name} | ${row.map((cell) => formatCell(cell, reasons)).join(' | ')} |`;
    }),
    '',
    ...steps.map(({name, text}) => `- **${name}**: ${text}.`),
    '',
    ...reasons.map((reason, index) => `- **${index + 1}**: cannot occur, since ${reason}.`),
    '',
    `Not covered yet: ${uncoveredSteps.join(', ')}.`,
  ];
  return lines.join('\n');
}

function listReasons(): readonly string[] {
  const reasons = new Set<string>();
  for (const cell of cells) if ('impossible' in cell) reasons.add(cell.impossible);
  return [...reasons];
}

function formatCell(cell: Cell, reasons: readonly string[]): string {
  if ('impossible' in cell) return String(reasons.indexOf(cell.impossible) + 1);
  return expectationLetters[cell.expectation];
}

/** Returns the page with its generated part replaced; undefined if the markers are missing. */
export function updatePage(page: string): string | undefined {
  const begin = page.indexOf(tableMarkers.begin);
  const end = page.indexOf(tableMarkers.end);
  if (begin === -1 || end < begin) return undefined;
  const head = page.slice(0, begin + tableMarkers.begin.length);
  return `${head}\n\n${formatMatrix()}\n\n${page.slice(end)}`;
}
