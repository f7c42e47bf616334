import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {agents, createEngineConfiguration} from '../__fixtures__/fleet.js';
import {listCandidates} from '../candidates.js';
import {chooseSubset} from '../subset.js';

const location = {self: 'entry-1', failureDomain: 'north', region: 'lombardy'};

function candidatesOf(count: number, north: number) {
  const instances = agents(count, (index) => ({failureDomain: index <= north ? 'north' : 'south'}));
  return listCandidates(createEngineConfiguration(count), instances);
}

const names = (members: readonly {readonly instance: {readonly name: string}}[]) =>
  members.map(({instance}) => instance.name);

describe('the subset of a model', () => {
  it('prefers the same failure domain and fills up from the region', () => {
    const {members, reserve} = chooseSubset(location, 'reader', candidatesOf(40, 10), 16);
    expect(members).toHaveLength(16);
    const domains = members.map(({instance}) => instance.failureDomain);
    expect(domains.filter((domain) => domain === 'north')).toHaveLength(10);
    expect(reserve.every(({instance}) => instance.failureDomain === 'south')).toBe(true);
    expect(names(reserve).some((name) => names(members).includes(name))).toBe(false);
  });

  it('changes by at most one member when one endpoint is removed', () => {
    const all = candidatesOf(60, 60);
    const before = names(chooseSubset(location, 'reader', all, 16).members);
    fc.assert(
      fc.property(fc.integer({min: 0, max: 59}), (removed) => {
        const rest = all.filter((_, index) => index !== removed);
        const after = names(chooseSubset(location, 'reader', rest, 16).members);
        const kept = before.filter((name) => after.includes(name));
        const wasMember = before.includes(all[removed]!.instance.name);
        expect(kept).toHaveLength(wasMember ? 15 : 16);
      }),
      {seed: 4, numRuns: 60},
    );
  });

  it('distributes entries evenly over endpoints', () => {
    const all = candidatesOf(50, 50);
    const uses = new Map<string, number>();
    for (let entry = 0; entry < 200; entry += 1) {
      const {members} = chooseSubset({...location, self: `entry-${entry}`}, 'reader', all, 16);
      for (const name of names(members)) uses.set(name, (uses.get(name) ?? 0) + 1);
    }
    // 64 entries per endpoint are expected; five standard deviations of the binomial distribution are 33.
    expect(uses.size).toBe(50);
    for (const count of uses.values()) expect(Math.abs(count - 64)).toBeLessThan(33);
  });

  it('excludes instances that are listed as leaving', () => {
    const instances = agents(3, (index) => ({state: index === 2 ? 'leaving' : 'live'}));
    expect(names(listCandidates(createEngineConfiguration(3), instances))).toEqual([
      'agent-1',
      'agent-3',
    ]);
  });
});
