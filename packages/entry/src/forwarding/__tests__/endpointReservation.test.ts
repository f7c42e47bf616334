import {sleep, VirtualClock} from '@marigoldfold/runtime';
import type {Endpoint, EndpointPermits, Placement} from '@marigoldfold/coordination';
import {expect, test} from 'vitest';
import {reserveEndpoint} from '../endpointReservation.js';

const ENDPOINT_COUNT = 20;
/** Time after which a silent home counts as a denial, in milliseconds. */
const DENIAL_MS = 60;
const WAIT_MS = 250;

test('a request that many silent homes deny is refused within the time that it may wait', async () => {
  const clock = new VirtualClock();
  const open = Array.from({length: ENDPOINT_COUNT}, (_, index) => ({record: {id: `e${index}`}}));
  const [limited] = open;
  const placement = {
    choose: () => open.pop() as unknown as Endpoint | undefined,
    chooseLimited: () => limited as unknown as Endpoint,
  };
  const permits: Pick<EndpointPermits, 'acquire'> = {
    acquire: async (_endpoint, {waitMs}) => {
      await sleep(clock, waitMs + DENIAL_MS);
      return {isGranted: false, retryAfterMs: 1000};
    },
  };
  let endedAtMs = Number.POSITIVE_INFINITY;
  const request = {
    placementRequest: {
      id: 'r1',
      service: 'app',
      targetLeftMs: 500,
      patienceLeftMs: 2000,
      pauseTargetMs: undefined,
      prompt: undefined,
    },
    engine: undefined,
    excluded: new Set<string>(),
    rank: 1,
    waitMs: WAIT_MS,
  };
  const options = {placement: placement as unknown as Placement, permits};
  void reserveEndpoint(options, request).then(() => {
    endedAtMs = clock.now();
  });
  for (let passed = 0; passed < 3000; passed += 10) await clock.advance(10);
  expect(endedAtMs).toBeLessThanOrEqual(WAIT_MS + 2 * DENIAL_MS);
});
