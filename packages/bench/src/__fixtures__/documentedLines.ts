/** The command lines that the pages show. */
import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';

/** A command line with its place. */
export interface DocumentedLine {
  /** `file:number` of the line. */
  readonly location: string;
  readonly text: string;
}

const root = join(import.meta.dirname, '../../../..');
const FENCE = /^```(\w*)/;
const shells = new Set(['sh', 'bash', 'shell', 'console']);

/** Absolute path of a file of the repository. */
export function repositoryFile(path: string): string {
  return join(root, path);
}

/** The lines of all shell blocks of the README and the operators' pages. */
export function documentedLines(): readonly DocumentedLine[] {
  const names = readdirSync(repositoryFile('docs/operators'));
  const pages = names.filter((name) => name.endsWith('.md')).sort();
  const files = ['README.md', ...pages.map((name) => `docs/operators/${name}`)];
  return files.flatMap((file) => parseLines(file, readFileSync(repositoryFile(file), 'utf8')));
}

function parseLines(file: string, text: string): readonly DocumentedLine[] {
  const found: DocumentedLine[] = [];
  let language: string | undefined;
  let joined = '';
  for (const [index, line] of text.split('\n').entries()) {
    const fence = FENCE.exec(line.trim());
    if (fence !== null) {
      language = language === undefined ? fence[1] : undefined;
      continue;
    }
    const command = line.replace(/(^|\s)#.*$/, '').trim();
    if (!shells.has(language ?? '') || command === '') continue;
    joined += command;
    if (joined.endsWith('\\')) {
      joined = `${joined.slice(0, -1).trim()} `;
      continue;
    }
    const location = `${file}:${index + 1}`;
    for (const part of joined.split('&&')) found.push({location, text: part.trim()});
    joined = '';
  }
  return found;
}

/** Splits a command line into words; double quotes hold words together. */
export function splitWords(text: string): readonly string[] {
  const words = text.match(/"[^"]*"|\S+/g) ?? [];
  return words.map((word) => word.replace(/^"(.*)"$/, '$1'));
}
