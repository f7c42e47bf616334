import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {respondOk, startRouter} from '../__fixtures__/endpointScripts.js';
import {
  createRoute,
  createRoutingConfiguration,
  createSignedHeaders,
  type EndpointScript,
  ForwardRig,
  type TestEndpoint,
} from '../__fixtures__/forwardRig.js';

let rig: ForwardRig;

beforeEach(() => {
  rig = new ForwardRig();
});

afterEach(async () => {
  await rig.stop();
});

const refuse =
  (headers: Readonly<Record<string, string>>): EndpointScript =>
  (response, {request}) => {
    const id = String(request.headers['x-id']);
    response.writeHead(503, {'x-id': id, 'x-not-executed': '1', ...headers}).end();
  };

const respondLeaving: EndpointScript = (response, {request}) => {
  response.writeHead(200, {...createSignedHeaders(request), 'x-leaving': '1'}).end('well');
};

let requestCount = 0;

async function sendRequests(count: number): Promise<readonly number[]> {
  const statuses: number[] = [];
  for (let sent = 0; sent < count; sent += 1) {
    requestCount += 1;
    statuses.push((await rig.sendRequest({'x-id': `r${requestCount}`})).status);
  }
  return statuses;
}

/** Starts two endpoints and sends requests until the first one has had one. */
async function startPair(script: EndpointScript): Promise<TestEndpoint> {
  const first = await rig.addEndpoint('e1', script);
  await rig.addEndpoint('e2', respondOk);
  await rig.start(createRoutingConfiguration({routes: [createRoute({kind: 'idempotent'})]}));
  while (first.received.length === 0) await sendRequests(1);
  return first;
}

describe('an endpoint that states in a response that it is leaving', () => {
  test.each([
    ['a success', respondLeaving],
    ['a refusal', refuse({'x-leaving': '1'})],
  ])('gets no further request after %s', async (_name, script) => {
    const {received} = await startPair(script);
    expect(await sendRequests(10)).toEqual(Array(10).fill(200));
    expect(received).toHaveLength(1);
  });

  test('is not brought back by a record of the same lifetime', async () => {
    const {received} = await startPair(respondLeaving);
    const current = (await rig.store.get('endpoints/e1'))._unsafeUnwrap();
    await rig.put('endpoints/e1', JSON.stringify({...JSON.parse(current!.value), slots: 9}));
    await rig.syncStore();
    await sendRequests(10);
    expect(received).toHaveLength(1);
  });

  // Guards against requests to an endpoint whose record a late write brings back after it has left.
  test('is not brought back by a record that was removed and is written again', async () => {
    const {received} = await startPair(respondLeaving);
    const current = (await rig.store.get('endpoints/e1'))._unsafeUnwrap();
    await rig.remove('endpoints/e1');
    await rig.syncStore();
    // More slots than the other endpoint has make it the first choice.
    await rig.put('endpoints/e1', JSON.stringify({...JSON.parse(current!.value), slots: 80}));
    await rig.syncStore();
    expect(await sendRequests(10)).toEqual(Array(10).fill(200));
    expect(received).toHaveLength(1);
  });

  test('gets requests again after a restart', async () => {
    const {received} = await startPair(respondLeaving);
    const current = (await rig.store.get('endpoints/e1'))._unsafeUnwrap();
    await rig.put('endpoints/e1', JSON.stringify({...JSON.parse(current!.value), startedAtMs: 2}));
    await rig.syncStore();
    await sendRequests(10);
    expect(received).toHaveLength(2);
  });
});

describe('an endpoint that refuses a request with 503 and a time', () => {
  test('gets no request of the instance for that time', async () => {
    const {received} = await startPair(refuse({'retry-after': '2.5'}));
    await rig.advance(2000);
    expect(await sendRequests(10)).toEqual(Array(10).fill(200));
    expect(received).toHaveLength(1);
    await rig.advance(1000);
    await sendRequests(10);
    expect(received).toHaveLength(2);
  });

  test('gets further requests if it states no time', async () => {
    const {received} = await startPair(refuse({}));
    await sendRequests(10);
    expect(received.length).toBeGreaterThan(1);
  });

  test('is not tried for lack of others, and clients return after the time', async () => {
    const {received} = await startRouter(rig, refuse({'retry-after': '3'}), {}, ['e1']);
    await sendRequests(1);
    await rig.advance(1000);
    const {status, headers} = await rig.sendRequest({'x-id': 'later'});
    expect(status).toBe(503);
    expect(Number(headers['retry-after'])).toBeGreaterThan(1.9);
    expect(received()).toHaveLength(1);
  });
});
