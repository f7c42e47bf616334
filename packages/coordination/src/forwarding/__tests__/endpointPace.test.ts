import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {EndpointPace, type PaceDecrease} from '../endpointPace.js';

const SLOTS = 48;
const OBJECTIVE_MS = 100;
const inTime = {elapsedMs: 50, objectiveMs: OBJECTIVE_MS, weight: 1};
const late = {elapsedMs: 150, objectiveMs: OBJECTIVE_MS, weight: 1};
const noEquals = () => 0;

function createPace(slots = SLOTS) {
  const decreases: PaceDecrease[] = [];
  const onDecrease = (_: number, reason: PaceDecrease) => decreases.push(reason);
  return {pace: new EndpointPace({slots, onDecrease}), decreases};
}

describe('the window of a pace', () => {
  test('begins at a sixteenth of the slots, but not below 2', () => {
    expect(createPace().pace.window).toBe(3);
    expect(createPace(8).pace.window).toBe(2);
  });

  test('rises by one with each answer in time, and slower once more than a few are late', () => {
    const {pace} = createPace();
    for (let count = 0; count < 7; count += 1) pace.recordAnswer(1000, inTime);
    expect(pace.window).toBe(10);
    // Guards against an endpoint that is kept at a few requests for single late answers, as any endpoint has them.
    pace.recordAnswer(1001, late);
    expect(pace.window).toBe(10);
    pace.recordAnswer(1002, late);
    expect(pace.window).toBe(9);
    pace.recordAnswer(1100, inTime);
    expect(pace.window).toBeCloseTo(9 + 1 / 9);
    for (let count = 0; count < 2; count += 1) pace.recordAnswer(1200, inTime);
    expect(pace.window).toBeCloseTo(11 + 1 / 9);
  });

  test('rises by the number of answers for which a reported one stands', () => {
    const {pace} = createPace();
    pace.recordAnswer(1000, {...inTime, weight: 3});
    expect(pace.window).toBe(6);
  });

  test('is lowered once in the time of an answer, however many requests fail together', () => {
    const {pace, decreases} = createPace();
    for (let count = 0; count < 21; count += 1) pace.recordAnswer(1000, inTime);
    for (let count = 0; count < 10; count += 1) pace.recordFailure(1001);
    expect(pace.window).toBe(12);
    pace.recordFailure(1060);
    expect(pace.window).toBe(6);
    expect(decreases).toEqual(['failed', 'failed']);
  });

  test('is halved when nothing is answered within twice the objective', () => {
    const {pace, decreases} = createPace();
    for (let count = 0; count < 5; count += 1) pace.recordAnswer(1000, inTime);
    pace.recordSend(1000, OBJECTIVE_MS);
    pace.checkSilence(1000 + 2 * OBJECTIVE_MS);
    expect(pace.window).toBe(8);
    pace.checkSilence(1001 + 2 * OBJECTIVE_MS);
    expect(pace.window).toBe(4);
    // An endpoint at which nothing is in flight is not silent.
    pace.checkSilence(5000);
    expect(decreases).toEqual(['silent']);
  });

  test('never falls below 2', () => {
    const step = fc.constantFrom('inTime', 'late', 'failed', 'silent');
    fc.assert(
      fc.property(fc.array(fc.tuple(step, fc.integer({min: 0, max: 400}))), (steps) => {
        const {pace} = createPace();
        let nowMs = 1000;
        for (const [kind, gapMs] of steps) {
          nowMs += gapMs;
          pace.recordSend(nowMs, OBJECTIVE_MS);
          if (kind === 'inTime') pace.recordAnswer(nowMs, inTime);
          else if (kind === 'late') pace.recordAnswer(nowMs, late);
          else if (kind === 'failed') pace.recordFailure(nowMs);
          else pace.checkSilence(nowMs);
          expect(pace.window).toBeGreaterThanOrEqual(2);
        }
      }),
    );
  });
});

describe('a pace', () => {
  test('ends when the window reaches the slots and the number in flight at its equals', () => {
    const {pace} = createPace();
    for (let count = 0; count < 45; count += 1) pace.recordAnswer(1000, inTime);
    expect(pace.isProven(1000, () => 49)).toBe(false);
    expect(pace.isProven(1000, () => 48)).toBe(true);
  });

  test('ends after 10 s with at least 8 answers of which one in four is bad', () => {
    const {pace} = createPace();
    pace.recordSend(1000, OBJECTIVE_MS);
    for (let count = 0; count < 5; count += 1) pace.recordAnswer(2000, inTime);
    pace.recordFailure(2000);
    pace.recordAnswer(2000, late);
    expect(pace.isProven(11_000, noEquals)).toBe(false);
    pace.recordAnswer(2000, inTime);
    expect(pace.isProven(10_999, noEquals)).toBe(false);
    expect(pace.isProven(11_000, noEquals)).toBe(true);
  });

  test('of an endpoint that fails part of its requests goes on, until a trial is passed', () => {
    const {pace} = createPace();
    for (let atMs = 1000; atMs < 41_000; atMs += 100) {
      pace.recordSend(atMs, OBJECTIVE_MS);
      if (atMs % 300 === 0) pace.recordFailure(atMs);
      else pace.recordAnswer(atMs, inTime);
      expect(pace.isProven(atMs, noEquals)).toBe(false);
      expect(pace.window).toBeLessThan(SLOTS / 4);
    }
    for (let atMs = 41_000; atMs <= 61_000; atMs += 100) pace.recordAnswer(atMs, inTime);
    expect(pace.isProven(61_100, noEquals)).toBe(true);
  });

  test('does not end by a single answer after a crash', () => {
    const {pace} = createPace();
    pace.recordAnswer(20_000, inTime);
    expect(pace.isProven(40_000, noEquals)).toBe(false);
  });
});
