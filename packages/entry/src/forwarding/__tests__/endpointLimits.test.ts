import {afterEach, describe, expect, test} from 'vitest';
import {respondOk} from '../__fixtures__/endpointScripts.js';
import {ForwardFleet} from '../__fixtures__/forwardFleet.js';
import {createSignedHeaders, type EndpointScript} from '../__fixtures__/forwardRig.js';

/** Requests beyond the rate that any window may have, for all instances together. */
const WINDOW_SLACK = 5;
/** Ratio to the stated rate that any window may have. */
const WINDOW_RATIO = 1.5;
const WINDOW_MS = 4000;
const LIMIT = 2;

let fleet: ForwardFleet;

afterEach(async () => {
  await fleet.stop();
});

/** Endpoint script that states a limit while there is one, and records the time of each request. */
function createLimitedEndpoint(limit: () => number | undefined) {
  const timesMs: number[] = [];
  const script: EndpointScript = (response, {request}) => {
    timesMs.push(fleet.first.clock.now());
    const perSecond = limit();
    const stated = perSecond === undefined ? {} : {'x-limit': String(perSecond)};
    response.writeHead(200, {...createSignedHeaders(request), ...stated}).end('well');
  };
  return {timesMs, script};
}

/** Requests in the busiest window that begins at or after `fromMs`. */
function busiestWindow(timesMs: readonly number[], fromMs: number): number {
  let busiest = 0;
  for (const startMs of timesMs.filter((timeMs) => timeMs >= fromMs)) {
    const count = timesMs.filter((timeMs) => timeMs >= startMs && timeMs < startMs + WINDOW_MS);
    busiest = Math.max(busiest, count.length);
  }
  return busiest;
}

describe('an endpoint that states a limit', () => {
  test.each([1, 3])('gets no more requests from %i instances together', async (instances) => {
    fleet = await ForwardFleet.create(instances);
    const {timesMs, script} = createLimitedEndpoint(() => LIMIT);
    await fleet.first.addEndpoint('limited', script);
    await fleet.first.addEndpoint('other', respondOk);
    await fleet.start();
    await fleet.sendAtRate(1000, 50);
    const settledAtMs = fleet.first.clock.now();
    const results = await fleet.sendAtRate(9000, 50);
    const allowed = WINDOW_RATIO * LIMIT * (WINDOW_MS / 1000) + WINDOW_SLACK;
    expect(busiestWindow(timesMs, settledAtMs)).toBeLessThanOrEqual(allowed);
    expect(results.every(({status}) => status === 200)).toBe(true);
  });
});
