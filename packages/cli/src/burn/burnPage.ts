/** Service-level burn report as one HTML page without external resources. */
import type {ClassBurn, CountIncrease} from './burnRates.js';
import {drawPlot, escapeMarkup} from './burnPlot.js';
import {formatPercent, formatRate, formatWindow} from './burnTable.js';

/** Burn rates, period, entries and problems that the report page shows. */
export interface BurnPageOptions {
  readonly burns: readonly ClassBurn[];
  readonly increases: readonly CountIncrease[];
  readonly fromMs: number;
  readonly toMs: number;
  readonly entries: readonly string[];
  readonly problems: readonly string[];
}

const style = `
:root { color-scheme: light dark; --text: #1b1b1f; --back: #ffffff; --grid: #d8d8de; --alarm: #b3261e; --soft: #5f5f6b;
  --c0: #0b5fa5; --c1: #b3470b; --c2: #1b7a3d; --c3: #8a2a8a; --c4: #7a6200; --c5: #0f7d85; --c6: #a3254f; }
@media (prefers-color-scheme: dark) {
  :root { --text: #ececf1; --back: #17171b; --grid: #3a3a42; --alarm: #ff8a80; --soft: #a5a5b2;
    --c0: #7fbdf5; --c1: #ffab70; --c2: #7fd99b; --c3: #e49be4; --c4: #e0c95a; --c5: #74d5dc; --c6: #ff9ab8; } }
body { font: 15px/1.5 system-ui, sans-serif; color: var(--text); background: var(--back); margin: 2rem auto; max-width: 64rem; padding: 0 1rem; }
table { border-collapse: collapse; width: 100%; font-variant-numeric: tabular-nums; }
th, td { text-align: right; padding: 0.3rem 0.6rem; border-bottom: 1px solid var(--grid); }
th:first-child, td:first-child, th:nth-child(2), td:nth-child(2) { text-align: left; }
.scroll { overflow-x: auto; } .over { color: var(--alarm); font-weight: 600; } .soft { color: var(--soft); }
svg { width: 100%; height: auto; } svg text { fill: var(--text); font-size: 12px; } svg .note { fill: var(--soft); }
.grid { stroke: var(--grid); } .axis { stroke: var(--text); } .budget { stroke: var(--alarm); stroke-dasharray: 4 4; }
.line { fill: none; stroke-width: 2.2; } .c0 { stroke: var(--c0); } .c1 { stroke: var(--c1); } .c2 { stroke: var(--c2); }
.c3 { stroke: var(--c3); } .c4 { stroke: var(--c4); } .c5 { stroke: var(--c5); } .c6 { stroke: var(--c6); } .dot { stroke-width: 2; fill: none; }
`;

/** Builds the HTML text; names and messages are escaped. */
export function buildBurnPage(options: BurnPageOptions): string {
  const {burns, fromMs, toMs, entries, problems} = options;
  const span = `${new Date(fromMs).toISOString()} to ${new Date(toMs).toISOString()}`;
  const notes = problems.map((problem) => `<li>${escapeMarkup(problem)}</li>`).join('');
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>Service-level burn</title>
<style>${style}</style>
</head>
<body>
<h1>Service-level burn</h1>
<p class="soft">${span}, from ${entries.map(escapeMarkup).join(', ')}. Classes are listed worst first.</p>
<div class="scroll">${buildTable(burns)}</div>
${drawPlot(options)}
<p class="soft">The burn rate is the share of requests that missed a target of their class, divided by the share
that the objective allows to miss. Requests refused because of an account's own limit and requests cancelled by
callers are not counted.</p>
${notes === '' ? '' : `<h2>Unreadable data</h2><ul>${notes}</ul>`}
</body>
</html>
`;
}

function buildTable(burns: readonly ClassBurn[]): string {
  const windows = burns[0]?.windows ?? [];
  const heading = ['Class', 'Act', 'Objective', 'Budget left']
    .concat(windows.map((window) => `Burn ${formatWindow(window)}`))
    .concat(['Attained', 'Missed', 'Limited'])
    .map((text) => `<th scope="col">${escapeMarkup(text)}</th>`)
    .join('');
  return `<table><thead><tr>${heading}</tr></thead><tbody>${burns.map(buildRow).join('')}</tbody></table>`;
}

function buildRow({class: name, urgency, objective, budgetLeft, windows}: ClassBurn): string {
  const longest = windows.at(-1);
  const cells = [
    cell(name),
    cell(urgency, urgency === 'now'),
    cell(formatPercent(objective)),
    cell(formatPercent(budgetLeft), (budgetLeft ?? 0) < 0),
    ...windows.map(({burnRate}) => cell(formatRate(burnRate), (burnRate ?? 0) > 1)),
    cell(String(longest?.attained ?? 0)),
    cell(String(longest?.missed ?? 0)),
    cell(String(longest?.limited ?? 0)),
  ];
  return `<tr>${cells.join('')}</tr>`;
}

function cell(text: string, isOver = false): string {
  return `<td${isOver ? ' class="over"' : ''}>${escapeMarkup(text)}</td>`;
}
