import type {EndpointSet} from '@marigoldfold/state';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {isNonIdempotent} from '../serviceCall.js';

function ledgerSet(path: string): EndpointSet {
  return {
    type: 'service',
    models: [],
    service: 'ledger',
    nonIdempotent: [{method: 'POST', path}],
    slots: 1,
    checksFencing: false,
    minimumReady: 0,
  };
}

const sets = [ledgerSet('/postings')];
const needsKey = (path: string) => isNonIdempotent(sets, 'ledger', 'POST', path);

describe('a call that may run at most once is recognized by its path', () => {
  it.each([
    '/postings',
    '/postings/',
    '//postings',
    '/./postings',
    '/x/../postings',
    '/x/%2e%2E/postings',
    '/%70ostings',
    '/%2570ostings',
    '/%2Fpostings',
    '/x\\..\\postings',
    '/POSTINGS',
    '/postings;v=1',
    '/postings?dry=1',
    '/postings#top',
    '/../postings',
    '/%zzpostings',
    '/postings%00',
  ])('%s', (path) => {
    expect(needsKey(path)).toBe(true);
  });

  it.each(['/', '/balances/a', '/posting', '/postings/1', '/postings/../balances'])(
    'and does not match %s',
    (path) => {
      expect(needsKey(path)).toBe(false);
    },
  );

  it('when any endpoint set of the service has a rule for it', () => {
    const both = [ledgerSet('/other'), ledgerSet('/postings')];
    expect(isNonIdempotent(both, 'ledger', 'POST', '/postings')).toBe(true);
    expect(isNonIdempotent(both, 'balances', 'POST', '/postings')).toBe(false);
    expect(isNonIdempotent(both, 'ledger', 'GET', '/postings')).toBe(false);
  });

  it('when it is below the prefix of a rule that ends with *', () => {
    const prefixed = [ledgerSet('/orders/*')];
    expect(isNonIdempotent(prefixed, 'ledger', 'POST', '/orders/7')).toBe(true);
    expect(isNonIdempotent(prefixed, 'ledger', 'POST', '/x/..//orders/7/lines')).toBe(true);
    expect(isNonIdempotent(prefixed, 'ledger', 'POST', '/ordersheet')).toBe(false);
  });

  it('when it is written with encoded characters, repeated slashes or dot segments', () => {
    const spelling = fc
      .tuple(
        fc.array(fc.constantFrom('/', '/./', '/a/../', '//', '/a/b/../../'), {maxLength: 4}),
        fc.array(fc.boolean(), {minLength: 8, maxLength: 8}),
        fc.constantFrom('', '/', '//', '/.'),
      )
      .map(([prefixes, encoded, suffix]) => {
        const name = 'postings'
          .split('')
          .map((character, index) =>
            encoded[index] === true ? `%${character.charCodeAt(0).toString(16)}` : character,
          );
        return `/${prefixes.join('')}${name.join('')}${suffix}`;
      });
    fc.assert(
      fc.property(spelling, (path) => needsKey(path)),
      {seed: 6, numRuns: 500},
    );
  });
});
