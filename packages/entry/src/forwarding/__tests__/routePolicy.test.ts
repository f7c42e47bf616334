import {RoutingTable} from '@marigoldfold/state';
import {describe, expect, test} from 'vitest';
import {createRoutingConfiguration, createRoute} from '../__fixtures__/forwardRig.js';
import {chooseService, isIdempotent, patienceMs, computeQueueRank} from '../routePolicy.js';

describe('a split route', () => {
  const services = ['a', 'b'].map((name) => ({
    name,
    healthPath: '/',
    connectionLimit: 1,
    engine: undefined,
  }));
  const table = new RoutingTable(createRoutingConfiguration({services}));

  test('gives each service its share of the requests, and a request always the same service', () => {
    const route = createRoute({
      shares: [
        {service: 'a', weight: 90},
        {service: 'b', weight: 10},
      ],
    });
    const names = Array.from({length: 2000}, (_, number) =>
      chooseService({route, table}, `id-${number}`),
    ).map((service) => service?.name);
    const share = names.filter((name) => name === 'b').length / names.length;
    expect(share).toBeGreaterThan(0.07);
    expect(share).toBeLessThan(0.13);
    expect(chooseService({route, table}, 'id-1')).toBe(chooseService({route, table}, 'id-1'));
  });
});

describe('the rank of a request', () => {
  test('depends on the account first, then the route, then whether the objective can still be met', () => {
    const ranks = [
      computeQueueRank(0, 0, false),
      computeQueueRank(0, 1, true),
      computeQueueRank(0, 1, false),
      computeQueueRank(1, 0, true),
      computeQueueRank(1, 2, true),
    ];
    expect(ranks).toEqual(ranks.toSorted((a, b) => a - b));
    expect(new Set(ranks).size).toBe(5);
  });

  test('never exceeds the maximum rank', () => {
    expect(computeQueueRank(7, 2, false)).toBe(9);
  });
});

describe('a stream', () => {
  test('may be retried only if it can be resumed', () => {
    expect(isIdempotent(createRoute({kind: 'stream'}))).toBe(false);
    expect(isIdempotent(createRoute({kind: 'stream', isResumable: true}))).toBe(true);
    expect(isIdempotent(createRoute({kind: 'nonIdempotent', isResumable: true}))).toBe(false);
  });

  test('is abandoned by clients after the longest of a minimum and multiples of the latency and pause objectives', () => {
    expect(patienceMs(createRoute({targetMs: 100}))).toBe(2000);
    expect(patienceMs(createRoute({targetMs: 600}))).toBe(2400);
    expect(patienceMs(createRoute({targetMs: 100, pauseTargetMs: 400}))).toBe(3200);
  });
});
