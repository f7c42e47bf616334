/** Removes hop-by-hop headers, which apply to a single connection. */

const hopByHopHeaders: ReadonlySet<string> = new Set([
  'connection',
  'expect',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Filters alternating names and values, keeping order and case; the caller sets `content-length`. */
export function endToEndHeaders(rawHeaders: readonly string[]): string[] {
  const dropped = new Set(hopByHopHeaders);
  for (const [name, value] of headerPairs(rawHeaders)) {
    if (name.toLowerCase() !== 'connection') continue;
    for (const option of value.split(',')) dropped.add(option.trim().toLowerCase());
  }
  dropped.add('content-length');
  // A client that sends `connection: host` must not remove the header that names the target of its request.
  dropped.delete('host');
  const kept: string[] = [];
  for (const [name, value] of headerPairs(rawHeaders)) {
    if (!dropped.has(name.toLowerCase())) kept.push(name, value);
  }
  return kept;
}

function* headerPairs(
  rawHeaders: readonly string[],
): Generator<readonly [name: string, value: string]> {
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    yield [rawHeaders[index] ?? '', rawHeaders[index + 1] ?? ''];
  }
}
