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

/** One turn that takes so long; returns the earliest arrival of what it read at its end. */
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

describe('a request that waited unread looks as if it had just come', () => {
  test('unless the loop waited for input', async () => {
    await runTurn(500);
    await waitIdle(20);
    expect(await runTurn(30)).toBe(1520);
  });

  test('not after a long turn', async () => {
    await waitIdle(20);
    await runTurn(500);
    expect(await runTurn(0)).toBe(1020);
  });

  test('and not for the length of turns before the last one', async () => {
    await runTurn(500);
    await runTurn(40);
    expect(await runTurn(0)).toBe(1500);
  });

  test('and not if timers ran between the turns', async () => {
    await runTurn(500);
    await clock.advance(5);
    expect(await runTurn(0)).toBe(1000);
  });
});

test('a turn with several inputs is told once, with its whole length', async () => {
  loop.recordInput();
  await clock.advance(10);
  loop.recordInput();
  await clock.advance(10);
  endTurn?.();
  expect(turns).toEqual([20]);
});
