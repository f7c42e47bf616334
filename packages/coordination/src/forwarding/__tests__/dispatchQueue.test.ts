import {VirtualClock} from '@marigoldfold/runtime';
import {beforeEach, describe, expect, test} from 'vitest';
import {DispatchQueue} from '../dispatchQueue.js';

let clock: VirtualClock;
let queue: DispatchQueue;
let endTurn: (() => void) | undefined;
let begun: string[];
let over: string[];
let overdue: string[];

beforeEach(() => {
  clock = new VirtualClock();
  queue = new DispatchQueue({clock, afterInput: (action) => (endTurn = action)});
  begun = [];
  over = [];
  overdue = [];
});

function add(name: string, rank = 0, isAbandoned: () => boolean = () => false, takesMs = 0): void {
  const send = {rank, isAbandoned, overdueAtMs: 100};
  const wait = queue.enqueue(send, () => {
    begun.push(name);
    return advanceNow(takesMs);
  });
  void wait.then(({kind}) => {
    if (kind === 'over') over.push(name);
    if (kind === 'overdue') overdue.push(name);
  });
}

/** Lets time pass within a turn. */
function advanceNow(ms: number): Promise<void> {
  clock.schedule(ms, () => undefined);
  clock.step();
  return Promise.resolve();
}

/** Ends the current turn of the event loop. */
async function turn(): Promise<void> {
  const end = endTurn;
  endTurn = undefined;
  end?.();
  await Promise.resolve();
}

describe('a send is begun before the close behind its request is read', () => {
  test('in the turn that read the request', async () => {
    add('a');
    await turn();
    expect(begun).toEqual([]);
    await turn();
    expect(begun).toEqual(['a']);
  });

  test('when the close comes in the next turn', async () => {
    let hasLeft = false;
    add('a', 0, () => hasLeft);
    await turn();
    hasLeft = true;
    await turn();
    await Promise.resolve();
    expect(begun).toEqual([]);
    expect(over).toEqual(['a']);
    expect(queue.size).toBe(0);
  });
});

describe('what waits is sent in the wrong order', () => {
  test('when a less urgent request came first', async () => {
    add('late', 3);
    add('urgent', 0);
    await turn();
    await turn();
    expect(begun).toEqual(['urgent', 'late']);
  });

  test('when urgent requests never end, and a rank starves', async () => {
    add('low', 9);
    for (let index = 0; index < 20; index += 1) add(`urgent-${index}`);
    await turn();
    await turn();
    expect(begun.indexOf('low')).toBe(7);
  });
});

test('one turn begins all that waits, so that nothing is read meanwhile', async () => {
  for (let index = 0; index < 10; index += 1) add(`r-${index}`, 0, () => false, 2);
  await turn();
  await turn();
  expect(begun).toHaveLength(3);
  await turn();
  expect(begun).toHaveLength(6);
});

describe('a request waits for longer than it has', () => {
  test('when a turn takes so long that it is late', async () => {
    add('a');
    await clock.advance(99);
    await turn();
    await clock.advance(1);
    await turn();
    await Promise.resolve();
    expect(overdue).toEqual(['a']);
    expect(begun).toEqual([]);
  });

  test('and is refused although a less urgent one was sent', async () => {
    for (let index = 0; index < 7; index += 1) add(`first-${index}`, 0, () => false, 1);
    add('low', 5, () => false, 5);
    await turn();
    add('urgent', 0);
    await turn();
    await turn();
    expect(begun.at(-1)).toBe('low');
    add('later', 5);
    await clock.advance(200);
    await turn();
    await Promise.resolve();
    expect(begun.at(-1)).toBe('urgent');
    expect(overdue).toEqual(['later']);
  });
});
