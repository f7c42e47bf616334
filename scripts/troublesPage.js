/**
 * Writes docs/TROUBLES.md: how often each kind of trouble was played in the journal entries named. What follows the
 * end marker on the page is kept.
 */
import {readdirSync, readFileSync, writeFileSync} from 'node:fs';

const journal = new URL('../journal/', import.meta.url);
const page = new URL('../docs/TROUBLES.md', import.meta.url);

/** Line after which the page is written by hand. */
const END_MARKER = '<!-- end -->';

/** The part of a page that is written by hand, with its marker; empty if there is none. */
export function keptPart(text) {
  const start = text.indexOf(END_MARKER);
  return start < 0 ? '' : text.slice(start);
}

/** Counts days and days with a broken rule by kind of trouble. */
export function countTroubles(entries) {
  const counts = new Map();
  for (const {days} of entries) {
    for (const {troubles, rules} of days) {
      for (const kind of troubles) {
        const count = counts.get(kind) ?? {days: 0, broken: 0};
        count.days += 1;
        if (Object.keys(rules).length > 0) count.broken += 1;
        counts.set(kind, count);
      }
    }
  }
  return [...counts].sort(([a], [b]) => (a < b ? -1 : 1));
}

/** The page for some entries. */
export function formatPage(entries) {
  const rows = countTroubles(entries).map(
    ([kind, {days, broken}]) => `| \`${kind}\` | ${days} | ${broken} |`,
  );
  const plays = entries.map(
    ({id, cmd, site, days}) => `\`${id}\` (${cmd} ${site}, ${days.length} days)`,
  );
  return [
    '# Troubles played',
    '',
    `Made by \`node scripts/troublesPage.js ID...\` from the journal entries ${plays.join(', ')}.`,
    'A day has several kinds; a broken rule counts for each of them.',
    '',
    '| kind | days | with a broken rule |',
    '| --- | --- | --- |',
    ...rows,
    '',
  ].join('\n');
}

function readEntries(ids) {
  const files = readdirSync(journal).filter((name) => name.endsWith('.json'));
  return ids.map((id) => {
    const file = files.find((name) => name.endsWith(`-${id}.json`));
    if (file === undefined) throw new Error(`no journal entry ${id}`);
    return JSON.parse(readFileSync(new URL(file, journal), 'utf8'));
  });
}

if (process.argv[1] === new URL(import.meta.url).pathname) {
  const kept = keptPart(readFileSync(page, 'utf8'));
  writeFileSync(page, formatPage(readEntries(process.argv.slice(2))) + kept);
}
