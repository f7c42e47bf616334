/** Service-level burn report as plain text. */
import {formatTable} from '../table.js';
import type {ClassBurn, WindowBurn} from './burnRates.js';

const MS_PER_SECOND = 1000;
const SECONDS_PER_MINUTE = 60;
const PERCENT = 100;

/** Formats one line per class; the heading of a window that is only partly covered shows the covered time. */
export function formatBurnTable(burns: readonly ClassBurn[]): string {
  const longestWindows = burns.reduce<readonly WindowBurn[]>(
    (found, {windows}) => (windows.length > found.length ? windows : found),
    [],
  );
  const heading = [
    'CLASS',
    'ACT',
    'OBJECTIVE',
    'BUDGET LEFT',
    ...longestWindows.map((window) => `BURN ${formatWindow(window)}`),
    'ATTAINED',
    'MISSED',
    'LIMITED',
  ];
  const rows = burns.map((burn) => {
    const longest = burn.windows.at(-1);
    return [
      burn.class,
      burn.urgency,
      formatPercent(burn.objective),
      formatPercent(burn.budgetLeft),
      ...longestWindows.map((_, index) => formatRate(burn.windows[index]?.burnRate)),
      longest?.attained,
      longest?.missed,
      longest?.limited,
    ];
  });
  return formatTable(heading, rows);
}

/** Formats the name of a window, followed by the time covered by data if it is shorter than the window. */
export function formatWindow({window, lengthMs, coveredMs}: WindowBurn): string {
  return coveredMs < lengthMs ? `${window} (${formatDuration(coveredMs)})` : window;
}

/** Burn rate with two decimals; `-` without requests. */
export function formatRate(rate: number | undefined): string {
  return rate === undefined ? '-' : rate.toFixed(2);
}

/** Share from 0 to 1 as a percentage; `-` without requests. */
export function formatPercent(part: number | undefined): string {
  return part === undefined ? '-' : `${Number((part * PERCENT).toFixed(1))}%`;
}

function formatDuration(ms: number): string {
  const seconds = Math.round(ms / MS_PER_SECOND);
  if (seconds < SECONDS_PER_MINUTE) return `${seconds}s`;
  const minutes = Math.round(seconds / SECONDS_PER_MINUTE);
  return minutes < SECONDS_PER_MINUTE
    ? `${minutes}m`
    : `${(minutes / SECONDS_PER_MINUTE).toFixed(1)}h`;
}
