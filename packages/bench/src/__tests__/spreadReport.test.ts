import {describe, expect, it} from 'vitest';
import {measureFleet} from '../spread/measureFleet.js';
import {fitLine} from '../spread/slope.js';
import {gossipDesignLimits, createGossipReport} from '../spread/gossipReport.js';

describe('a fitted line', () => {
  it('passes through points that lie on it', () => {
    const line = fitLine([1, 4, 9].map((x) => ({x, y: 3 + 2 * x})));
    expect(line.intercept).toBeCloseTo(3);
    expect(line.slope).toBeCloseTo(2);
  });

  it('is constant through a single point', () => {
    expect(fitLine([{x: 5, y: 7}])).toEqual({intercept: 7, slope: 0});
  });
});

describe('gossip measurements', () => {
  it('are the same for the same seed, and their extrapolation is within the limits', async () => {
    const measurement = {instances: 40, domains: 2, tickets: 3, seed: 4};
    const [first, second] = [await measureFleet(measurement), await measureFleet(measurement)];
    expect(second.inForceMs).toEqual(first.inForceMs);
    expect(second.rest.messages).toBe(first.rest.messages);
    expect(second.serviceCallsPerSecond).toBe(first.serviceCallsPerSecond);
    // Processor time is not checked, as it depends on the machine.
    const {carried} = createGossipReport([first], []);
    for (const {name, value, limit} of carried) {
      if (limit === gossipDesignLimits.cpuUsPerSecond) continue;
      expect(value, name).toBeGreaterThan(0);
      expect(value, name).toBeLessThanOrEqual(limit);
    }
  });
});
