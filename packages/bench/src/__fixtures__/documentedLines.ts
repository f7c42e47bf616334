/** Extracts the command lines from the README and the operators' pages. */
import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';

/** A command line and where it is documented. */
export interface DocumentedCommandLine {
  /** `file:number` of the line. */
  readonly location: string;
  readonly text: string;
}

const root = join(import.meta.dirname, '../../../..');
const FENCE = /^```(\w*)/;
const shells = new Set(['sh', 'bash', 'shell', 'console']);

/** Absolute path of a file of the repository. */
export function resolveRepositoryFile(path: string): string {
  return join(root, path);
}

/** The command lines of all shell blocks; continued lines are joined, `&&` separates commands. */
export function readDocumentedCommandLines(): readonly DocumentedCommandLine[] {
  const names = readdirSync(resolveRepositoryFile('docs/operators'));
  const pages = names.filter((name) => name.endsWith('.md')).sort();
  const files = ['README.md', ...pages.map((name) => `docs/operators/${name}`)];
  return files.flatMap((file) =>
    parseLines(file, readFileSync(resolveRepositoryFile(file), 'utf8')),
  );
}

function parseLines(file: string, text: string): readonly DocumentedCommandLine[] {
  const commands: DocumentedCommandLine[] = [];
  let language: string | undefined;
  let pending = '';
  for (const [index, line] of text.split('\n').entries()) {
    const fence = FENCE.exec(line.trim());
    if (fence !== null) {
      language = language === undefined ? fence[1] : undefined;
      continue;
    }
    const command = line.replace(/(^|\s)#.*$/, '').trim();
    if (!shells.has(language ?? '') || command === '') continue;
    pending += command;
    if (pending.endsWith('\\')) {
      pending = `${pending.slice(0, -1).trim()} `;
      continue;
    }
    const location = `${file}:${index + 1}`;
    for (const text of pending.split('&&')) commands.push({location, text: text.trim()});
    pending = '';
  }
  return commands;
}

/** Splits a command line into words; double-quoted words stay together. */
export function splitWords(text: string): readonly string[] {
  const words = text.match(/"[^"]*"|\S+/g) ?? [];
  return words.map((word) => word.replace(/^"(.*)"$/, '$1'));
}
