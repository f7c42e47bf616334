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

/**
 * Filters alternating names and values, keeping order and case; the caller sets `content-length`. The end-to-end names, in
 * lower case, are those that a message needs at its other end.
 */
export function endToEndHeaders(
  rawHeaders: readonly string[],
  endToEndNames: readonly string[],
): string[] {
  const dropped = new Set(hopByHopHeaders);
  for (const [name, value] of headerPairs(rawHeaders)) {
    if (name.toLowerCase() !== 'connection') continue;
    for (const option of value.split(',')) dropped.add(option.trim().toLowerCase());
  }
  dropped.add('content-length');
  // Such a connection option is invalid (RFC 9110, section 7.6.1), and must not change what the message says.
  dropped.delete('host');
  for (const name of endToEndNames) dropped.delete(name);
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
