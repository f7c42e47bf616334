/** Compares paths of calls the way the most lenient service might read them. */

const MAX_DECODINGS = 4;

/**
 * The form of a path by which rules are matched: decoded, in lower case, without empty, `.` and `..`
 * segments and without parameters. Two spellings that some service could take for the same path have
 * the same form; a rule that matches too much only asks for a key. Undefined when it cannot be decoded.
 */
export function normalizePath(path: string): string | undefined {
  const decoded = decodeFully(path.split(/[?#]/, 1)[0] ?? '');
  if (decoded === undefined) return undefined;
  const segments: string[] = [];
  for (const part of decoded.toLowerCase().split(/[/\\]/)) {
    const segment = (part.split(';', 1)[0] ?? '').trim();
    if (segment === '' || segment === '.') continue;
    if (segment === '..') segments.pop();
    else segments.push(segment);
  }
  return `/${segments.join('/')}`;
}

/** Whether a rule's path, which may end with `*`, covers a comparable path. */
export function matchesRulePath(rulePath: string, path: string): boolean {
  if (!rulePath.endsWith('*')) return normalizePath(rulePath) === path;
  const prefix = rulePath.slice(0, -1);
  const normalized = normalizePath(prefix) ?? '/';
  if (!prefix.endsWith('/') || normalized === '/') return path.startsWith(normalized);
  return path === normalized || path.startsWith(`${normalized}/`);
}

/** Decodes until nothing changes, so that a double encoding is seen through as well. */
function decodeFully(text: string): string | undefined {
  let decoded = text;
  for (let count = 0; count < MAX_DECODINGS; count += 1) {
    let next: string;
    try {
      next = decodeURIComponent(decoded);
    } catch {
      return undefined;
    }
    if (next === decoded) return hasControl(decoded) ? undefined : decoded;
    decoded = next;
  }
  return undefined;
}

function hasControl(text: string): boolean {
  for (const character of text) {
    if (character < ' ' || character === '\u007f') return true;
  }
  return false;
}
