import {beforeEach, describe, expect, test} from 'vitest';
import {EventLoopMonitor} from '../eventLoopMonitor.js';
import {VirtualClock} from '../virtualClock.js';

let clock: VirtualClock;
let loop: EventLoopMonitor;
let idleMs: number;
let turns: number[];
let endTurn: (() => void) | undefined;

beforeEach(() => {
  clock = new VirtualClock(1000);
  idleMs = 0;
  turns = [];
  loop = new EventLoopMonitor({
    clock,
    idleMs: () => idleMs,
    afterInput: (action) => (endTurn = action),
    onTurn: (durationMs) => turns.push(durationMs),
  });
});

/** Runs a turn of the given duration; returns the earliest arrival time of its input. */
async function runTurn(durationMs: number): Promise<number> {
  loop.recordInput();
  await clock.advance(durationMs);
  const earliest = loop.earliestArrivalMs;
  endTurn?.();
  return earliest;
}

async function waitIdle(durationMs: number): Promise<void> {
  await clock.advance(durationMs);
  idleMs += durationMs;
}

describe('the earliest arrival of input', () => {
  test('is the start of the turn if the loop was idle before', async () => {
    await runTurn(500);
    await waitIdle(20);
    expect(await runTurn(30)).toBe(1520);
  });

  test('is the start of a long previous turn', async () => {
    await waitIdle(20);
    await runTurn(500);
    expect(await runTurn(0)).toBe(1020);
  });

  test('does not go back beyond the previous turn', async () => {
    await runTurn(500);
    await runTurn(40);
    expect(await runTurn(0)).toBe(1500);
  });

  test('is the start of the previous turn if only timers ran in between', async () => {
    await runTurn(500);
    await clock.advance(5);
    expect(await runTurn(0)).toBe(1000);
  });
});

test('a turn with several inputs is reported once, with its whole duration', async () => {
  loop.recordInput();
  await clock.advance(10);
  loop.recordInput();
  await clock.advance(10);
  endTurn?.();
  expect(turns).toEqual([20]);
});
