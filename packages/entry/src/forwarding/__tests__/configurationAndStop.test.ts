import {Agent} from 'node:http';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {respondOk, events, inSequence, startRouter} from '../__fixtures__/endpointScripts.js';
import {
  createRoutingConfiguration,
  type EndpointScript,
  ForwardRig,
  createRoute,
  createSignedHeaders,
  waitUntil,
} from '../__fixtures__/forwardRig.js';
import {watchTimings} from '../storeTimings.js';

let rig: ForwardRig;

beforeEach(() => {
  rig = new ForwardRig();
});

afterEach(async () => {
  await rig.stop();
});

describe('the configuration', () => {
  test('that is no longer confirmed stops requests with a key, but not anonymous ones', async () => {
    await rig.addEndpoint('e1', respondOk);
    const routes = [
      createRoute({prefix: '/keyed/'}),
      createRoute({prefix: '/open/', allowsAnonymous: true}),
    ];
    await rig.start(createRoutingConfiguration({routes}));
    rig.switchableStore.isDown = true;
    await rig.advance(2500);
    expect((await rig.sendRequest({}, {path: '/keyed/'})).status).toBe(200);
    await rig.advance(1000);
    expect((await rig.sendRequest({}, {path: '/keyed/'})).status).toBe(503);
    expect((await rig.sendRequest({'x-key': undefined}, {path: '/open/'})).status).toBe(200);
    expect((await rig.sendRequest({}, {path: '/unknown/'})).status).toBe(503);
    expect(rig.process.isReady).toBe(false);
    rig.switchableStore.isDown = false;
    await rig.advance(2000);
    expect((await rig.sendRequest({}, {path: '/keyed/'})).status).toBe(200);
  });

  // Guards against runs without the name of the account whose key a request has, on routes that need no key.
  test.each([
    ['a known key', {}, 200, 'account-1', 503],
    ['an unknown key', {'x-key': 'key-2'}, 401, undefined, 503],
    ['no key', {'x-key': undefined}, 200, undefined, 200],
  ])(
    'decides by the key on a route that needs none: %s',
    async (_name, headers, status, account, staleStatus) => {
      const {received} = await rig.addEndpoint('e1', respondOk);
      const routes = [createRoute({allowsAnonymous: true})];
      await rig.start(createRoutingConfiguration({routes}));
      expect((await rig.sendRequest(headers)).status).toBe(status);
      expect(received.map(({request}) => request.headers['x-account'])).toEqual(
        status === 200 ? [account] : [],
      );
      const runs = received.length;
      rig.switchableStore.isDown = true;
      await rig.advance(4000);
      const {status: lateStatus, headers: lateHeaders} = await rig.sendRequest(headers);
      expect(lateStatus).toBe(staleStatus);
      expect(lateHeaders['retry-after'] !== undefined).toBe(staleStatus === 503);
      expect(received).toHaveLength(staleStatus === 503 ? runs : runs + 1);
    },
  );

  test('is never replaced by an older version', async () => {
    await startRouter(rig, respondOk);
    await rig.configure(
      createRoutingConfiguration({version: 7, accounts: [{name: 'a', keys: ['new'], priority: 1}]}),
    );
    await rig.syncStore();
    await rig.configure(createRoutingConfiguration({version: 6}));
    await rig.syncStore();
    expect((await rig.sendRequest()).status).toBe(401);
    expect((await rig.sendRequest({'x-key': 'new'})).status).toBe(200);
  });

  test('that revokes a key also prevents retries of requests in flight with that key', async () => {
    let release: (() => void) | undefined;
    const failLater: EndpointScript = async (response, {request}) => {
      await new Promise<void>((resolve) => (release = resolve));
      response.writeHead(500, createSignedHeaders(request)).end();
    };
    const {received} = await startRouter(rig, failLater);
    const result = rig.sendRequest();
    await waitUntil(() => release !== undefined);
    await rig.configure(createRoutingConfiguration({version: 2, accounts: []}));
    await rig.syncStore();
    release?.();
    expect((await result).status).toBe(500);
    expect(received()).toHaveLength(1);
  });
});

// The connection was checked only against whether the request is still allowed at all.
test('a request whose route moves to another service while its connection opens goes there', async () => {
  const e1 = await rig.addEndpoint('e1', respondOk);
  const e2 = await rig.addEndpoint('e2', respondOk, {service: 'other'});
  const moved = createRoutingConfiguration({
    version: 2,
    routes: [createRoute({shares: [{service: 'other', weight: 1}]})],
    services: [{name: 'other', healthPath: '/', connectionLimit: 100, engine: undefined}],
  });
  await rig.start(createRoutingConfiguration());
  rig.onLog = (message) => {
    if (message !== 'sent') return;
    rig.onLog = undefined;
    void rig.configure(moved);
  };
  expect((await rig.sendRequest()).status).toBe(200);
  expect([e1.received.length, e2.received.length]).toEqual([0, 1]);
});

describe('the watch timeout', () => {
  const retryBudget = {ratio: 0, windowMs: 1, slack: 0};

  test.each([
    [2000, 5000],
    [3000, 5000],
    [1000, 2000],
  ])('keeps keyed requests admitted at bounds of %i and %i ms', (configurationMs, revocationMs) => {
    const {watchMs, batchMs, maxAgeMs} = watchTimings({
      configurationMs,
      revocationMs,
      stopMs: 1,
      retryBudget,
    });
    expect(watchMs).toBeGreaterThan(0);
    // Maximum age of the configuration: a watch that ends with a change, late by the 200 ms of a slow store, one batch
    // delay, and the watch after it, which is shortened to the maximum age and late as well.
    const ageMs = watchMs + 200 + batchMs;
    const nextWatchMs = Math.max(10, Math.min(watchMs, maxAgeMs - ageMs));
    expect(ageMs + nextWatchMs + 200).toBeLessThanOrEqual(0.75 * revocationMs);
    expect(watchMs + batchMs).toBeLessThan(configurationMs);
  });
});

describe('an endpoint', () => {
  test('that is leaving gets no new requests', async () => {
    const e1 = await rig.addEndpoint('e1', respondOk);
    const e2 = await rig.addEndpoint('e2', respondOk);
    await rig.start();
    await rig.register({id: 'e1', isLeaving: true});
    await rig.syncStore();
    for (let count = 0; count < 5; count += 1) await rig.sendRequest();
    expect([e1.received.length, e2.received.length]).toEqual([0, 5]);
  });

  test('whose record cannot be read is not used, while the others are', async () => {
    const e1 = await rig.addEndpoint('e1', respondOk);
    await rig.addEndpoint('e2', respondOk);
    await rig.start();
    await rig.put('endpoints/e1', 'garbage');
    await rig.syncStore();
    for (let count = 0; count < 5; count += 1) expect((await rig.sendRequest()).status).toBe(200);
    expect(e1.received).toHaveLength(0);
    expect(rig.logEntries.map(({message}) => message)).toContain('endpoint record cannot be read');
  });

  test('whose record expired during a store outage is used until the end of its grace period', async () => {
    const {received} = await startRouter(rig, respondOk, {}, ['e1']);
    rig.switchableStore.isDown = true;
    await rig.advance(2000);
    await rig.remove('endpoints/e1');
    rig.switchableStore.isDown = false;
    await rig.advance(1500);
    expect((await rig.sendRequest()).status).toBe(200);
    await rig.advance(3000);
    expect((await rig.sendRequest()).status).toBe(503);
    expect(received()).toHaveLength(1);
  });
});

describe('a graceful shutdown', () => {
  test('finishes requests in flight and new ones, and asks clients to close their connections', async () => {
    let release: (() => void) | undefined;
    const respondLater: EndpointScript = async (response, {request}) => {
      await new Promise<void>((resolve) => (release = resolve));
      response.writeHead(200, createSignedHeaders(request)).end('late');
    };
    const {received} = await startRouter(rig, inSequence(respondLater, respondOk), {}, ['e1']);
    const first = rig.sendRequest();
    await waitUntil(() => received().length === 1);
    const stopped = rig.process.stop();
    expect(rig.process.isReady).toBe(false);
    await rig.advance(1000);
    const second = await rig.sendRequest();
    expect(second.status).toBe(200);
    expect(second.headers.connection).toBe('close');
    await rig.advance(4000);
    release?.();
    expect(await first).toMatchObject({status: 200, body: 'late', isComplete: true});
    await rig.advance(1000);
    await stopped;
  });

  test('refuses a late request on a connection that was kept alive', async () => {
    let release: (() => void) | undefined;
    const streamLong: EndpointScript = async (response, {request}) => {
      response.writeHead(200, createSignedHeaders(request)).write(events(1, 1));
      await new Promise<void>((resolve) => (release = resolve));
      response.end(events(2, 2));
    };
    const {received} = await startRouter(rig, inSequence(streamLong, respondOk), {kind: 'stream'}, [
      'e1',
    ]);
    const agent = new Agent({keepAlive: true, maxSockets: 1});
    const first = rig.sendRequest({}, {agent});
    await waitUntil(() => received().length === 1 && release !== undefined);
    await rig.advance(100);
    const stopped = rig.process.stop();
    await rig.advance(4000);
    const second = rig.sendRequest({'x-id': 'id-2'}, {agent});
    release?.();
    expect(await first).toMatchObject({body: events(1, 2), isComplete: true});
    const refused = await second;
    expect(refused.status).toBe(503);
    expect(refused.headers.connection).toBe('close');
    expect(received()).toHaveLength(1);
    await rig.advance(1000);
    await stopped;
    agent.destroy();
  });
});

describe('the metrics', () => {
  test('cover endpoints, store calls and the retry budget, and drop an endpoint that is gone', async () => {
    await rig.addEndpoint('e1', respondOk);
    await rig.start();
    expect((await rig.sendRequest()).status).toBe(200);
    const sends = 'marigoldfold_forward_endpoint_sends_total{endpoint="e1",outcome="delivered"} 1';
    const metrics = await rig.process.metrics();
    expect(metrics).toContain(sends);
    expect(metrics).toMatch(/store_calls_total\{call="watch",outcome="answered"\} [1-9]/);
    expect(metrics).toContain('marigoldfold_forward_endpoints 1');
    expect(metrics).toMatch(/repeats_left\{service="app"\} [1-9]/);
    await rig.remove('endpoints/e1');
    await rig.syncStore();
    expect(await rig.process.metrics()).not.toContain('endpoint="e1"');
  });
});
