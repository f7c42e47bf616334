import {VirtualClock} from '@marigoldfold/runtime';
import {describe, expect, test} from 'vitest';
import {FleetTime} from '../fleetTime.js';

function createTime(wallErrorMs = 0) {
  const clock = new VirtualClock(1000);
  let errorMs = wallErrorMs;
  const time = new FleetTime({clock, wallTimeMs: () => clock.now() + errorMs});
  return {
    clock,
    time,
    /** Error of the corrected time. */
    errorMs: () => time.nowMs - clock.now(),
    stepWallClock: (stepMs: number) => (errorMs += stepMs),
    /** Lets peers state their times, which differ from the true time, in a message of some delay. */
    hear: (errors: readonly number[], delayMs = 0) => {
      for (const [peer, peerErrorMs] of errors.entries())
        time.observe(`p${peer}`, {ownMs: clock.now() + peerErrorMs - delayMs});
    },
    run: async (durationMs: number, during: () => void = () => undefined) => {
      for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 500) {
        during();
        time.followWallClock();
        await clock.advance(500);
      }
    },
  };
}

describe('the corrected time', () => {
  test('is that of the wall clock at the start of the process', () => {
    expect(createTime(5000).errorMs()).toBe(5000);
  });

  test('follows a step of the wall clock only after 60 seconds', async () => {
    const {errorMs, stepWallClock, run} = createTime();
    stepWallClock(3000);
    await run(59_000);
    expect(errorMs()).toBe(0);
    await run(3000);
    expect(errorMs()).toBe(3000);
  });

  test('does not follow a step that is taken back', async () => {
    const {errorMs, stepWallClock, run} = createTime();
    stepWallClock(3000);
    await run(40_000);
    stepWallClock(-3000);
    await run(1000);
    stepWallClock(3000);
    await run(40_000);
    expect(errorMs()).toBe(0);
  });

  test('is the median of this and the other clocks', () => {
    const {errorMs, hear, time} = createTime(9000);
    hear([0, 0, -50_000, 10]);
    expect(Math.abs(errorMs())).toBeLessThan(100);
    expect(time.statement.agreedMs).toBe(time.nowMs);
  });

  test('is not corrected by a single other clock, which may be the wrong one', () => {
    const {errorMs, hear, time} = createTime();
    hear([9000]);
    expect(errorMs()).toBe(0);
    expect(time.statement.agreedMs).toBeUndefined();
  });

  test('is what another instance has derived from more clocks', () => {
    const {clock, errorMs, time} = createTime(9000);
    time.observe('holder', {ownMs: clock.now() + 4000, agreedMs: clock.now()});
    expect(errorMs()).toBe(0);
  });

  test('is not set back because messages are delayed', async () => {
    const {errorMs, hear, run} = createTime();
    let number = 0;
    await run(10_000, () => {
      hear([0, 0, 0, 0], 400 * ((number++ % 4) / 3));
    });
    expect(errorMs()).toBe(0);
  });

  test('does not change when the wall clock is followed while others agree', async () => {
    const {errorMs, hear, run, stepWallClock} = createTime();
    stepWallClock(9000);
    await run(120_000, () => {
      hear([0, 0, 0]);
    });
    expect(errorMs()).toBe(0);
  });

  test('follows a set wall clock in a fleet of two', async () => {
    const {errorMs, hear, run, stepWallClock} = createTime();
    stepWallClock(9000);
    await run(70_000, () => {
      hear([9000]);
    });
    expect(errorMs()).toBe(9000);
  });
});
