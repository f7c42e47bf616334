import {Agent} from 'node:http';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {answerWell, events, inTurn, startWith} from '../__fixtures__/endpointScripts.js';
import {
  configurationOf,
  type EndpointScript,
  ForwardRig,
  routeOf,
  signed,
  until,
} from '../__fixtures__/forwardRig.js';
import {mirrorTimes} from '../forwardProcess.js';

let rig: ForwardRig;

beforeEach(() => {
  rig = new ForwardRig();
});

afterEach(async () => {
  await rig.stop();
});

describe('the configuration', () => {
  test('that is not confirmed any more stops requests with a key, not anonymous ones', async () => {
    await rig.addEndpoint('e1', answerWell);
    const routes = [
      routeOf({prefix: '/keyed/'}),
      routeOf({prefix: '/open/', allowsAnonymous: true}),
    ];
    await rig.start(configurationOf({routes}));
    rig.access.isDown = true;
    await rig.pass(2500);
    expect((await rig.ask({}, {path: '/keyed/'})).status).toBe(200);
    await rig.pass(1000);
    expect((await rig.ask({}, {path: '/keyed/'})).status).toBe(503);
    expect((await rig.ask({}, {path: '/open/'})).status).toBe(200);
    expect((await rig.ask({}, {path: '/unknown/'})).status).toBe(503);
    expect(rig.process.isReady).toBe(false);
    rig.access.isDown = false;
    await rig.pass(2000);
    expect((await rig.ask({}, {path: '/keyed/'})).status).toBe(200);
  });

  test('never goes back to an older version', async () => {
    await startWith(rig, answerWell);
    await rig.configure(
      configurationOf({version: 7, accounts: [{name: 'a', keys: ['new'], priority: 1}]}),
    );
    await rig.follow();
    await rig.configure(configurationOf({version: 6}));
    await rig.follow();
    expect((await rig.ask()).status).toBe(401);
    expect((await rig.ask({'x-key': 'new'})).status).toBe(200);
  });

  test('takes a key away also from a request that waits for its next attempt', async () => {
    let release: (() => void) | undefined;
    const failLater: EndpointScript = async (response, {request}) => {
      await new Promise<void>((resolve) => (release = resolve));
      response.writeHead(500, signed(request)).end();
    };
    const {seen} = await startWith(rig, failLater);
    const result = rig.ask();
    await until(() => release !== undefined);
    await rig.configure(configurationOf({version: 2, accounts: []}));
    await rig.follow();
    release?.();
    expect((await result).status).toBe(500);
    expect(seen()).toHaveLength(1);
  });
});

describe('the wait of a watch', () => {
  const repeats = {ratio: 0, windowMs: 1, slack: 0};

  test.each([
    [2000, 5000],
    [3000, 5000],
    [1000, 2000],
  ])('leaves keyed requests served at bounds of %i and %i ms', (configurationMs, revocationMs) => {
    const {watchMs, batchMs} = mirrorTimes({configurationMs, revocationMs, stopMs: 1, repeats});
    expect(watchMs).toBeGreaterThan(0);
    // Two watches and a pause, each answered late by what a slow store takes.
    expect(2 * (watchMs + 200) + batchMs).toBeLessThanOrEqual(0.75 * revocationMs);
    expect(watchMs + batchMs).toBeLessThan(configurationMs);
  });
});

describe('an endpoint', () => {
  test('that is leaving gets no new request', async () => {
    const e1 = await rig.addEndpoint('e1', answerWell);
    const e2 = await rig.addEndpoint('e2', answerWell);
    await rig.start();
    await rig.register({id: 'e1', isLeaving: true});
    await rig.follow();
    for (let count = 0; count < 5; count += 1) await rig.ask();
    expect([e1.seen.length, e2.seen.length]).toEqual([0, 5]);
  });

  test('whose record cannot be read is not used, the others are', async () => {
    const e1 = await rig.addEndpoint('e1', answerWell);
    await rig.addEndpoint('e2', answerWell);
    await rig.start();
    await rig.put('endpoints/e1', 'garbage');
    await rig.follow();
    for (let count = 0; count < 5; count += 1) expect((await rig.ask()).status).toBe(200);
    expect(e1.seen).toHaveLength(0);
    expect(rig.lines.map(({message}) => message)).toContain('endpoint record cannot be read');
  });

  test('whose record lapsed while the store was away is used until its grace is over', async () => {
    const {seen} = await startWith(rig, answerWell, {}, ['e1']);
    rig.access.isDown = true;
    await rig.pass(2000);
    await rig.remove('endpoints/e1');
    rig.access.isDown = false;
    await rig.pass(1500);
    expect((await rig.ask()).status).toBe(200);
    await rig.pass(3000);
    expect((await rig.ask()).status).toBe(503);
    expect(seen()).toHaveLength(1);
  });
});

describe('a planned stop', () => {
  test('finishes what is under way and what still comes, and asks clients to close', async () => {
    let release: (() => void) | undefined;
    const answerLater: EndpointScript = async (response, {request}) => {
      await new Promise<void>((resolve) => (release = resolve));
      response.writeHead(200, signed(request)).end('late');
    };
    const {seen} = await startWith(rig, inTurn(answerLater, answerWell), {}, ['e1']);
    const first = rig.ask();
    await until(() => seen().length === 1);
    const stopped = rig.process.stop();
    expect(rig.process.isReady).toBe(false);
    await rig.pass(1000);
    const second = await rig.ask();
    expect(second.status).toBe(200);
    expect(second.headers.connection).toBe('close');
    await rig.pass(4000);
    release?.();
    expect(await first).toMatchObject({status: 200, body: 'late', isWhole: true});
    await rig.pass(1000);
    await stopped;
  });

  test('refuses what comes too late on a connection that was kept', async () => {
    let release: (() => void) | undefined;
    const streamLong: EndpointScript = async (response, {request}) => {
      response.writeHead(200, signed(request)).write(events(1, 1));
      await new Promise<void>((resolve) => (release = resolve));
      response.end(events(2, 2));
    };
    const {seen} = await startWith(rig, inTurn(streamLong, answerWell), {kind: 'stream'}, ['e1']);
    const agent = new Agent({keepAlive: true, maxSockets: 1});
    const first = rig.ask({}, {agent});
    await until(() => seen().length === 1 && release !== undefined);
    await rig.pass(100);
    const stopped = rig.process.stop();
    await rig.pass(4000);
    const second = rig.ask({'x-id': 'id-2'}, {agent});
    release?.();
    expect(await first).toMatchObject({body: events(1, 2), isWhole: true});
    const refused = await second;
    expect(refused.status).toBe(503);
    expect(refused.headers.connection).toBe('close');
    expect(seen()).toHaveLength(1);
    await rig.pass(1000);
    await stopped;
    agent.destroy();
  });
});

describe('the metrics', () => {
  test('tell of endpoints, store calls and the budget, and forget an endpoint that is gone', async () => {
    await rig.addEndpoint('e1', answerWell);
    await rig.start();
    expect((await rig.ask()).status).toBe(200);
    const sends = 'marigoldfold_forward_endpoint_sends_total{endpoint="e1",outcome="delivered"} 1';
    const metrics = await rig.process.metrics();
    expect(metrics).toContain(sends);
    expect(metrics).toMatch(/store_calls_total\{call="watch",outcome="answered"\} [1-9]/);
    expect(metrics).toContain('marigoldfold_forward_endpoints 1');
    expect(metrics).toMatch(/repeats_left\{service="app"\} [1-9]/);
    await rig.remove('endpoints/e1');
    await rig.follow();
    expect(await rig.process.metrics()).not.toContain('endpoint="e1"');
  });
});
