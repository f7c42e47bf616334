/** Leaves out the headers that concern one connection only. */

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

/** Names and values by turns, as they came; `content-length` is left to the sender. */
export function endToEndHeaders(rawHeaders: readonly string[]): string[] {
  const dropped = new Set(hopByHopHeaders);
  for (const [name, value] of headerPairs(rawHeaders)) {
    if (name.toLowerCase() !== 'connection') continue;
    for (const option of value.split(',')) dropped.add(option.trim().toLowerCase());
  }
  dropped.add('content-length');
  // A connection option cannot take away what names the request's target.
  dropped.delete('host');
  const kept: string[] = [];
  for (const [name, value] of headerPairs(rawHeaders)) {
    if (!dropped.has(name.toLowerCase())) kept.push(name, value);
  }
  return kept;
}

function* headerPairs(raw: readonly string[]): Generator<readonly [name: string, value: string]> {
  for (let index = 0; index + 1 < raw.length; index += 2) {
    yield [raw[index] ?? '', raw[index + 1] ?? ''];
  }
}
