/** Leaves out the headers that concern one connection only. */

const hopByHop: ReadonlySet<string> = new Set([
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
export function endToEndHeaders(raw: readonly string[]): string[] {
  const dropped = new Set(hopByHop);
  for (const [name, value] of pairs(raw)) {
    if (name.toLowerCase() !== 'connection') continue;
    for (const option of value.split(',')) dropped.add(option.trim().toLowerCase());
  }
  dropped.add('content-length');
  // A connection option cannot take away what names the request's target.
  dropped.delete('host');
  const kept: string[] = [];
  for (const [name, value] of pairs(raw)) {
    if (!dropped.has(name.toLowerCase())) kept.push(name, value);
  }
  return kept;
}

function* pairs(raw: readonly string[]): Generator<readonly [name: string, value: string]> {
  for (let index = 0; index + 1 < raw.length; index += 2) {
    yield [raw[index] ?? '', raw[index + 1] ?? ''];
  }
}
