import {VirtualClock} from '@marigoldfold/runtime';
import {beforeEach, describe, expect, test} from 'vitest';
import {DispatchQueue} from '../dispatchQueue.js';

let clock: VirtualClock;
let queue: DispatchQueue;
let endTurn: (() => void) | undefined;
let sent: string[];
let abandoned: string[];
let overdue: string[];

beforeEach(() => {
  clock = new VirtualClock();
  queue = new DispatchQueue({clock, afterInput: (action) => (endTurn = action)});
  sent = [];
  abandoned = [];
  overdue = [];
});

function add(
  name: string,
  rank = 0,
  isAbandoned: () => boolean = () => false,
  durationMs = 0,
  overdueAtMs = 100,
): void {
  const request = {rank, isAbandoned, overdueAtMs};
  const outcome = queue.enqueue(request, () => {
    sent.push(name);
    return advanceNow(durationMs);
  });
  void outcome.then(({kind}) => {
    if (kind === 'over') abandoned.push(name);
    if (kind === 'overdue') overdue.push(name);
  });
}

/** Advances the clock without ending the current event loop turn. */
function advanceNow(ms: number): Promise<void> {
  clock.schedule(ms, () => undefined);
  clock.step();
  return Promise.resolve();
}

/** Ends the current turn of the event loop. */
async function finishTurn(): Promise<void> {
  const end = endTurn;
  endTurn = undefined;
  end?.();
  await Promise.resolve();
}

describe('detection of a client that disconnects', () => {
  test('sends a request one turn after the turn that read it', async () => {
    add('a');
    await finishTurn();
    expect(sent).toEqual([]);
    await finishTurn();
    expect(sent).toEqual(['a']);
  });

  test('drops a request whose connection closes in the next turn', async () => {
    let hasDisconnected = false;
    add('a', 0, () => hasDisconnected);
    await finishTurn();
    hasDisconnected = true;
    await finishTurn();
    await Promise.resolve();
    expect(sent).toEqual([]);
    expect(abandoned).toEqual(['a']);
    expect(queue.size).toBe(0);
  });
});

describe('order of sends', () => {
  test('sends an urgent request before a less urgent one that came first', async () => {
    add('late', 3);
    add('urgent', 0);
    await finishTurn();
    await finishTurn();
    expect(sent).toEqual(['urgent', 'late']);
  });

  test('sends the oldest request as every eighth, although more urgent ones still wait', async () => {
    add('low', 9);
    for (let index = 0; index < 20; index += 1) add(`urgent-${index}`);
    await finishTurn();
    await finishTurn();
    expect(sent.indexOf('low')).toBe(7);
  });
});

test('limits the time for sends in one turn, so that input is read in between', async () => {
  for (let index = 0; index < 10; index += 1) add(`r-${index}`, 0, () => false, 2);
  await finishTurn();
  await finishTurn();
  expect(sent).toHaveLength(3);
  await finishTurn();
  expect(sent).toHaveLength(6);
});

describe('overdue requests', () => {
  test('are refused after a turn that took too long', async () => {
    add('a');
    await clock.advance(99);
    await finishTurn();
    await clock.advance(1);
    await finishTurn();
    await Promise.resolve();
    expect(overdue).toEqual(['a']);
    expect(sent).toEqual([]);
  });

  // An urgent route has a shorter objective, and so a shorter time to wait, than a less urgent one.
  test('are not refused while a less urgent request that may wait for longer is sent', async () => {
    for (let index = 0; index < 4; index += 1) {
      add(`urgent-${index}`, 0, () => false, 2, 125);
      add(`low-${index}`, 1, () => false, 2, 300);
    }
    await finishTurn();
    await clock.advance(200);
    for (let turn = 0; turn < 6; turn += 1) await finishTurn();
    expect(overdue.filter((name) => name.startsWith('urgent'))).toEqual([]);
    expect(sent.slice(0, 4)).toEqual(['urgent-0', 'urgent-1', 'urgent-2', 'urgent-3']);
  });

  test('are sent if a less urgent request was sent after they arrived', async () => {
    for (let index = 0; index < 7; index += 1) add(`first-${index}`, 0, () => false, 1);
    add('low', 5, () => false, 5);
    await finishTurn();
    add('urgent', 0);
    await finishTurn();
    await finishTurn();
    expect(sent.at(-1)).toBe('low');
    add('later', 5);
    await clock.advance(200);
    await finishTurn();
    await Promise.resolve();
    expect(sent.at(-1)).toBe('urgent');
    expect(overdue).toEqual(['later']);
  });
});
