import type {EndpointRecord} from '@marigoldfold/state';
import {afterEach, describe, expect, test} from 'vitest';
import {respondOk} from '../__fixtures__/endpointScripts.js';
import {ForwardFleet} from '../__fixtures__/forwardFleet.js';
import {
  type ClientResult,
  createRoutingConfiguration,
  createSignedHeaders,
  type EndpointScript,
} from '../__fixtures__/forwardRig.js';

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

  test('is known to instances that have had no response from it', async () => {
    fleet = await ForwardFleet.create(2);
    const {script} = createLimitedEndpoint(() => LIMIT);
    await fleet.first.addEndpoint('limited', script);
    await fleet.start();
    await fleet.first.sendRequest();
    await fleet.first.advance(200);
    for (const rig of fleet.rigs) {
      const beliefs = rig.logEntries.filter(({state}) => state === 'limited');
      expect(beliefs).toEqual([expect.objectContaining({endpoint: 'limited', perSecond: LIMIT})]);
    }
  });

  test('gets more requests once a response states no limit any more', async () => {
    fleet = await ForwardFleet.create(2);
    let limit: number | undefined = LIMIT;
    const {timesMs, script} = createLimitedEndpoint(() => limit);
    await fleet.first.addEndpoint('limited', script);
    await fleet.first.addEndpoint('other', respondOk);
    await fleet.start();
    await fleet.sendAtRate(3000, 50);
    limit = undefined;
    await fleet.sendAtRate(1000, 50);
    const endedAtMs = fleet.first.clock.now();
    await fleet.sendAtRate(3000, 50);
    expect(timesMs.filter((timeMs) => timeMs > endedAtMs).length).toBeGreaterThan(30);
  });

  test('gets requests without a limit after a restart', async () => {
    fleet = await ForwardFleet.create(1);
    let limit: number | undefined = LIMIT;
    const {timesMs, script} = createLimitedEndpoint(() => limit);
    await fleet.first.addEndpoint('limited', script);
    await fleet.start();
    await fleet.sendAtRate(500, 50);
    limit = undefined;
    const current = (await fleet.first.store.get('endpoints/limited'))._unsafeUnwrap();
    const record = JSON.parse(current!.value) as EndpointRecord;
    await fleet.first.put('endpoints/limited', JSON.stringify({...record, startedAtMs: 2}));
    await fleet.first.syncStore();
    timesMs.length = 0;
    await fleet.sendAtRate(500, 50);
    expect(timesMs).toHaveLength(10);
  });
});

describe('a request that finds the limits of all endpoints used up', () => {
  test('is not executed, and its client returns when the limit allows a request', async () => {
    fleet = await ForwardFleet.create(1);
    const {script} = createLimitedEndpoint(() => 0.5);
    await fleet.first.addEndpoint('limited', script);
    await fleet.start();
    const results = await fleet.sendAtRate(6000, 250);
    const refused = results.filter(({status}) => status === 503);
    expect(results.filter(({status}) => status === 200).length).toBeGreaterThanOrEqual(3);
    expect(refused.length).toBeGreaterThan(15);
    expect(refused.every(({headers}) => Number(headers['retry-after']) > 0)).toBe(true);
    expect(Math.max(...refused.map(({headers}) => Number(headers['retry-after'])))).toBeGreaterThan(
      1.5,
    );
  });

  test('waits behind more urgent requests of other instances', async () => {
    fleet = await ForwardFleet.create(2);
    const {timesMs, script} = createLimitedEndpoint(() => 5);
    await fleet.first.addEndpoint('limited', script);
    const accounts = [
      {name: 'urgent', keys: ['key-urgent'], priority: 0},
      {name: 'other', keys: ['key-other'], priority: 2},
    ];
    await fleet.start(createRoutingConfiguration({accounts}));
    await fleet.sendAtRate(500, 100, {'x-key': 'key-urgent'});
    timesMs.length = 0;
    const [urgentRig, otherRig] = fleet.rigs;
    const urgent: Promise<ClientResult>[] = [];
    const other: Promise<ClientResult>[] = [];
    for (let sent = 0; sent < 60; sent += 1) {
      const headers = {'x-id': `u${sent}`, 'x-key': 'key-urgent'};
      if (sent % 2 === 0) urgent.push(urgentRig!.sendRequest(headers));
      other.push(otherRig!.sendRequest({'x-id': `o${sent}`, 'x-key': 'key-other'}));
      await fleet.first.advance(100);
    }
    await fleet.first.advance(1000);
    const count = async (results: readonly Promise<ClientResult>[]) =>
      (await Promise.all(results)).filter(({status}) => status === 200).length;
    expect(await count(urgent)).toBeGreaterThan(2 * (await count(other)));
    expect(await count(other)).toBeGreaterThan(0);
  });
});
