import {silentLogger, VirtualClock} from '@marigoldfold/runtime';
import {expect, test} from 'vitest';
import {EndpointRegistry} from '../endpointRegistry.js';
import {EngineTimings} from '../engineTimings.js';
import type {PromptSize} from '../placementRequest.js';
import {estimateSlotWaitMs, limitBySlots} from '../slotDemand.js';

const SLOTS = 12;
const isLong = ({promptTokens}: PromptSize) => promptTokens > 2000;

function createEndpoints(streams: readonly {readonly long: number; readonly short: number}[]) {
  const clock = new VirtualClock();
  const registry = new EndpointRegistry({clock, logger: silentLogger});
  for (const [index, {long, short}] of streams.entries()) {
    const id = `e${index}`;
    const address = '10.0.0.1:80';
    registry.put({
      id,
      service: 'model',
      address,
      failureDomain: 'a',
      slots: SLOTS,
      isLeaving: false,
      startedAtMs: 1,
    });
    for (let number = 0; number < long + short; number += 1) {
      registry.find(id)?.localRequests.add({
        requestId: String(number),
        sentAtMs: 0,
        objectiveMs: 600,
        prefillMs: 0,
        prompt: {parts: [], promptTokens: number < long ? 9000 : 500, maxOutputTokens: 200},
        pauseTargetMs: 150,
        uncachedTokens: 0,
        firstEventAtMs: undefined,
        lastEventAtMs: undefined,
        lastGapMs: undefined,
        longestPauseMs: 0,
      });
    }
  }
  return registry.usable('model');
}

test('a request waits for a slot only when all are taken, and longer behind others that wait', () => {
  const timings = new EngineTimings();
  const waits = [SLOTS - 1, SLOTS, SLOTS + 6].map((short) =>
    createEndpoints([{long: 0, short}]).map((endpoint) => estimateSlotWaitMs(endpoint, timings)),
  );
  const [[free], [full], [queued]] = waits as [[number], [number], [number]];
  expect(free).toBe(0);
  expect(full).toBeGreaterThan(0);
  expect(queued).toBeCloseTo(full * 7);
});

test('the division of the endpoints stays as preferred while both groups have slots', () => {
  const endpoints = createEndpoints(Array.from({length: 10}, () => ({long: 1, short: 1})));
  expect(limitBySlots(6, endpoints, isLong)).toBe(6);
});

test('a group whose streams lack slots gets more endpoints', () => {
  const manyShort = createEndpoints(Array.from({length: 10}, () => ({long: 1, short: 7})));
  expect(limitBySlots(8, manyShort, isLong)).toBeLessThanOrEqual(3);
  const manyLong = createEndpoints(Array.from({length: 10}, () => ({long: 7, short: 1})));
  expect(limitBySlots(2, manyLong, isLong)).toBeGreaterThanOrEqual(7);
});

test('both groups keep an endpoint when all slots are taken many times over', () => {
  const endpoints = createEndpoints(Array.from({length: 4}, () => ({long: 30, short: 1})));
  expect(limitBySlots(2, endpoints, isLong)).toBe(3);
});
