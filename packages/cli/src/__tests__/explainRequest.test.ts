import {describe, expect, test} from 'vitest';
import {explainRequest} from '../explainRequest.js';

let second = 0;

function line(process: string, message: string, fields: Record<string, unknown> = {}): string {
  second += 1;
  const time = `2026-01-01T00:00:${String(second).padStart(2, '0')}.000Z`;
  return JSON.stringify({time, level: 'info', process, message, ...fields});
}

const log = [
  line('front-1', 'configuration', {version: 1}),
  line('front-1', 'configuration', {version: 2}),
  line('front-1', 'endpoint', {endpoint: 'e1', state: 'ready'}),
  line('front-1', 'endpoint', {endpoint: 'e2', state: 'ready'}),
  line('front-2', 'configuration', {version: 3}),
  line('front-1', 'sent', {request: 'r-1', endpoint: 'e1'}),
  line('front-1', 'sent', {request: 'r-2', endpoint: 'e1'}),
  line('front-1', 'endpoint', {endpoint: 'e1', state: 'gone'}),
  line('front-1', 'failed', {request: 'r-1', status: 502, reason: 'answer_broken'}),
  line('front-1', 'endpoint', {endpoint: 'e1', state: 'ready'}),
];

describe('explainRequest', () => {
  test('returns only the decisions on the request and the state of the processes during the request', () => {
    const explanation = explainRequest('r-1', log)._unsafeUnwrap();
    expect(explanation.map((text) => text.split('  ').slice(1).join(' '))).toEqual([
      'front-1 configuration version=2',
      'front-1 endpoint endpoint=e1 state=ready',
      'front-1 sent endpoint=e1',
      'front-1 endpoint endpoint=e1 state=gone',
      'front-1 failed status=502 reason=answer_broken',
    ]);
  });

  test('sorts lines by time, whatever the order of the files', () => {
    expect(explainRequest('r-1', log.toReversed())._unsafeUnwrap()).toEqual(
      explainRequest('r-1', log)._unsafeUnwrap(),
    );
  });

  test('accepts text before the JSON and ignores lines of other programs', () => {
    const input = ['not a line', ...log.map((text) => `  12.3 front-1 ${text}`), '{"x":1}'];
    expect(explainRequest('r-1', input).isOk()).toBe(true);
  });

  test('returns an error code when there are no matching lines', () => {
    expect(explainRequest('r-9', log)._unsafeUnwrapErr().code).toBe('unknown_request');
    expect(explainRequest('r-1', ['x'])._unsafeUnwrapErr().code).toBe('no_lines');
  });
});
