import {VirtualClock} from '@marigoldfold/runtime';
import {describe, expect, test} from 'vitest';
import {ConfigurationVersions} from '../configurationVersions.js';

describe('the time for which the store has lacked the highest version', () => {
  test('is 0 as long as the store has it', async () => {
    const clock = new VirtualClock();
    const versions = new ConfigurationVersions(clock);
    versions.recordStored(3, 0);
    await clock.advance(1000);
    versions.recordStored(4, 100);
    expect(versions.lackingForMs).toBe(0);
    expect(versions.highest).toEqual({version: 4, ageMs: 0});
  });

  test('counts from when the store was last confirmed to have it', async () => {
    const clock = new VirtualClock(10_000);
    const versions = new ConfigurationVersions(clock);
    versions.recordStored(4, 0);
    await clock.advance(5000);
    versions.recordStored(2, 800);
    await clock.advance(100);
    expect(versions.lackingForMs).toBe(900);
    versions.recordStored(3, 0);
    expect(versions.lackingForMs).toBe(900);
    versions.recordStored(4, 0);
    expect(versions.lackingForMs).toBe(0);
  });

  test('counts from when another instance first had it', async () => {
    const clock = new VirtualClock(10_000);
    const versions = new ConfigurationVersions(clock);
    versions.recordReported(5, 2000);
    versions.recordStored(4, Number.POSITIVE_INFINITY);
    await clock.advance(500);
    expect(versions.lackingForMs).toBe(2500);
    versions.recordStored(5, 0);
    expect(versions.lackingForMs).toBe(0);
  });
});
