import {describe, expect, test} from 'vitest';
import {endToEndHeaders} from '../endToEndHeaders.js';

describe('end-to-end headers', () => {
  test('are without those that the connection names, in their order and case', () => {
    const lines = [
      'A',
      '1',
      'Connection',
      'x-hop, close',
      'X-Hop',
      '2',
      'Keep-Alive',
      '3',
      'a',
      '4',
    ];
    expect(endToEndHeaders(lines, [])).toEqual(['A', '1', 'a', '4']);
  });

  // Guards against a connection option that removes what the other end needs: the request would run without its model.
  test('have those that the other end needs, even if the connection names them', () => {
    const lines = ['Connection', 'X-Model, host', 'X-Model', 'm', 'Host', 'a'];
    expect(endToEndHeaders(lines, ['x-model'])).toEqual(['X-Model', 'm', 'Host', 'a']);
  });
});
