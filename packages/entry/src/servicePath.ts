/** Compares calls' paths with the paths of rules, in every spelling that some service may accept. */

const MAX_DECODING_PASSES = 4;

/**
 * Normalizes a path for matching against rules: decoded, in lower case, without empty, `.` and `..`
 * segments and without parameters; undefined when it cannot be decoded. Two spellings that some service
 * may treat as the same path get the same form. A rule that matches too much only requires a key.
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

/** Whether a rule's path, which may end with `*`, matches a normalized path. */
export function matchesRulePath(rulePath: string, path: string): boolean {
  if (!rulePath.endsWith('*')) return normalizePath(rulePath) === path;
  const prefix = rulePath.slice(0, -1);
  const normalized = normalizePath(prefix) ?? '/';
  if (!prefix.endsWith('/') || normalized === '/') return path.startsWith(normalized);
  return path === normalized || path.startsWith(`${normalized}/`);
}

/** Decodes repeatedly, so that multiply encoded paths are recognized too. */
function decodeFully(text: string): string | undefined {
  let decoded = text;
  for (let count = 0; count < MAX_DECODING_PASSES; count += 1) {
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
