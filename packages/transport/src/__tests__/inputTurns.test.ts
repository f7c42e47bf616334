import {beforeEach, expect, test} from 'vitest';
import {InputTurns} from '../inputTurns.js';

let nowMs: number;
let nextTurn: (() => void)[];
let turns: InputTurns;

beforeEach(() => {
  nowMs = 0;
  nextTurn = [];
  turns = new InputTurns({now: () => nowMs, inNextTurn: (action) => nextTurn.push(action)});
});

function parseFor(ms: number): void {
  turns.run(() => {
    nowMs += ms;
  });
}

function beginTurn(): void {
  for (const action of nextTurn.splice(0)) action();
}

// Guards against an event loop that 300 connections with chunks of one byte hold for over a second in each turn.
test('bodies of all connections together have a few milliseconds in each turn', () => {
  for (let count = 0; count < 4; count += 1) parseFor(1);
  expect(turns.hasTime).toBe(true);
  parseFor(1);
  expect(turns.hasTime).toBe(false);
  beginTurn();
  expect(turns.hasTime).toBe(true);
});

test('connections that wait go on in order, two in each turn', () => {
  const resumed: number[] = [];
  for (let number = 0; number < 5; number += 1) turns.wait(() => resumed.push(number));
  const lengths = [];
  while (nextTurn.length > 0) {
    beginTurn();
    lengths.push(resumed.length);
  }
  expect(lengths).toEqual([2, 4, 5]);
  expect(resumed).toEqual([0, 1, 2, 3, 4]);
});

// Guards against memory that is held for connections that have closed while they waited.
test('a connection that has closed does not go on', () => {
  const resumed: string[] = [];
  turns.wait(() => resumed.push('first'))[Symbol.dispose]();
  turns.wait(() => resumed.push('second'));
  beginTurn();
  expect(resumed).toEqual(['second']);
});
