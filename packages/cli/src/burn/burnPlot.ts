/** SVG plot of burn rates over time. */
import {type ClassBurn, computeBurnRate, type CountIncrease, sumTallies} from './burnRates.js';

/** Burn rates and the period, in milliseconds since 1970, that the plot shows. */
export interface PlotOptions {
  readonly burns: readonly ClassBurn[];
  readonly increases: readonly CountIncrease[];
  readonly fromMs: number;
  readonly toMs: number;
}

interface Point {
  readonly atMs: number;
  readonly rate: number;
}

const WIDTH = 960;
const HEIGHT = 400;
const MARGIN = {left: 72, right: 180, maxRate: 24, bottom: 56} as const;
const SLICES = 48;
const TICKS = 5;
const MIN_AXIS_RATE = 2;
const LABEL_HEIGHT = 16;
/** SVG dash patterns, one per line, so that the lines can be told apart without colour. */
const dashPatterns = ['', '8 4', '2 3', '10 3 2 3', '5 5', '1 4', '12 6'] as const;
/** Number of line colours in the page's style sheet (classes `c0` to `c6`). */
export const LINE_COLOUR_COUNT = 7;

/** Draws one line per class as an SVG element; time slices without requests leave a gap. */
export function drawPlot({burns, increases, fromMs, toMs}: PlotOptions): string {
  const lines = burns.map((burn) => ({
    burn,
    segments: buildSegments(burn, increases, fromMs, toMs),
  }));
  const rates = lines.flatMap(({segments}) => segments.flat().map(({rate}) => rate));
  const maxRate = Math.ceil(Math.max(MIN_AXIS_RATE, ...rates));
  const x = (atMs: number) => scale(atMs, fromMs, toMs, MARGIN.left, WIDTH - MARGIN.right);
  const y = (rate: number) => scale(rate, 0, maxRate, HEIGHT - MARGIN.bottom, MARGIN.maxRate);
  const parts = [...drawAxes(maxRate, fromMs, toMs, x, y)];
  for (const [index, {segments}] of lines.entries()) {
    const style = `class="line c${index % LINE_COLOUR_COUNT}" stroke-dasharray="${dashPatterns[index % dashPatterns.length] ?? ''}"`;
    for (const segment of segments) {
      const points = segment
        .map(({atMs, rate}) => `${formatCoordinate(x(atMs))},${formatCoordinate(y(rate))}`)
        .join(' ');
      const [first] = segment;
      if (segment.length > 1) parts.push(`<polyline ${style} points="${points}"/>`);
      else if (first !== undefined) {
        parts.push(
          `<circle class="dot c${index % LINE_COLOUR_COUNT}" cx="${formatCoordinate(x(first.atMs))}" cy="${formatCoordinate(y(first.rate))}" r="3"/>`,
        );
      }
    }
  }
  parts.push(...drawLegend(burns));
  const label = 'Burn rate of each class over time';
  return `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" role="img" aria-label="${label}">${parts.join('\n')}</svg>`;
}

/** Escapes text for HTML and SVG. */
export function escapeMarkup(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}

function buildSegments(
  {class: name, objective}: ClassBurn,
  increases: readonly CountIncrease[],
  fromMs: number,
  toMs: number,
): readonly (readonly Point[])[] {
  const sliceMs = Math.max(1, (toMs - fromMs) / SLICES);
  const slices: CountIncrease[][] = Array.from({length: SLICES}, () => []);
  for (const increase of increases) {
    if (increase.class !== name) continue;
    const index = Math.min(SLICES - 1, Math.floor((increase.atMs - fromMs) / sliceMs));
    slices[index]?.push(increase);
  }
  const segments: Point[][] = [];
  let isOpen = false;
  for (const [index, slice] of slices.entries()) {
    // A slice without samples has no data and does not break the line.
    if (slice.length === 0) continue;
    const rate = computeBurnRate(sumTallies(slice), objective);
    if (rate === undefined) {
      isOpen = false;
      continue;
    }
    if (!isOpen) segments.push([]);
    isOpen = true;
    segments.at(-1)?.push({atMs: fromMs + (index + 0.5) * sliceMs, rate});
  }
  return segments;
}

function drawAxes(
  maxRate: number,
  fromMs: number,
  toMs: number,
  x: (atMs: number) => number,
  y: (rate: number) => number,
): readonly string[] {
  const left = MARGIN.left;
  const right = WIDTH - MARGIN.right;
  const bottom = HEIGHT - MARGIN.bottom;
  const parts: string[] = [];
  for (let tick = 0; tick <= TICKS; tick += 1) {
    const rate = (maxRate * tick) / TICKS;
    const atMs = fromMs + ((toMs - fromMs) * tick) / TICKS;
    parts.push(
      `<line class="grid" x1="${left}" x2="${right}" y1="${formatCoordinate(y(rate))}" y2="${formatCoordinate(y(rate))}"/>`,
      `<text x="${left - 8}" y="${formatCoordinate(y(rate) + 4)}" text-anchor="end">${Number(rate.toFixed(1))}</text>`,
      `<text x="${formatCoordinate(x(atMs))}" y="${bottom + 20}" text-anchor="middle">${formatTime(atMs, toMs - fromMs)}</text>`,
    );
  }
  parts.push(
    `<line class="budget" x1="${left}" x2="${right}" y1="${formatCoordinate(y(1))}" y2="${formatCoordinate(y(1))}"/>`,
    `<text class="note" x="${right - 4}" y="${formatCoordinate(y(1) - 5)}" text-anchor="end">1 = budget used up exactly at the end of the period</text>`,
    `<line class="axis" x1="${left}" x2="${left}" y1="${MARGIN.maxRate}" y2="${bottom}"/>`,
    `<line class="axis" x1="${left}" x2="${right}" y1="${bottom}" y2="${bottom}"/>`,
    `<text x="${(left + right) / 2}" y="${HEIGHT - 12}" text-anchor="middle">time (UTC)</text>`,
    `<text transform="translate(18 ${(MARGIN.maxRate + bottom) / 2}) rotate(-90)" text-anchor="middle">burn rate (times the sustainable rate)</text>`,
  );
  return parts;
}

function drawLegend(burns: readonly ClassBurn[]): readonly string[] {
  const left = WIDTH - MARGIN.right + 16;
  const parts: string[] = [];
  for (const [index, burn] of burns.entries()) {
    const y = MARGIN.maxRate + index * LABEL_HEIGHT;
    const colour = `c${index % LINE_COLOUR_COUNT}`;
    const dash = dashPatterns[index % dashPatterns.length] ?? '';
    parts.push(
      `<line class="line ${colour}" stroke-dasharray="${dash}" x1="${left}" x2="${left + 28}" y1="${y}" y2="${y}"/>`,
      `<text x="${left + 34}" y="${y + 4}">${escapeMarkup(burn.class)}</text>`,
    );
  }
  return parts;
}

function scale(value: number, from: number, to: number, start: number, end: number): number {
  if (to <= from) return start;
  return start + ((value - from) / (to - from)) * (end - start);
}

function formatCoordinate(value: number): string {
  return value.toFixed(1);
}

const DAY_MS = 86_400_000;

/** Formats a time in UTC; with the date if the plot spans more than a day, with seconds if it spans up to an hour. */
function formatTime(atMs: number, spanMs: number): string {
  const text = new Date(atMs).toISOString();
  if (spanMs > DAY_MS) return text.slice(5, 16).replace('T', ' ');
  const HOUR_MS = 3_600_000;
  return spanMs > HOUR_MS ? text.slice(11, 16) : text.slice(11, 19);
}
